#include "UnitTests/Routing/TrafficFixture.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace bronzepass::unit_tests::routing {

TEST_CASE("a leaving or drained endpoint takes no new requests") {
  RoutingInputs Inputs = smallInputs(3, 1);
  Inputs.m_EndpointStates = {
      {model::EndpointId("e1"), model::Liveness::Leaving}};
  model::Intent Intent = *Inputs.m_Intent;
  Intent.m_Selectors.push_back({.m_Name = "empty e2",
                                .m_Action = model::SelectorAction::Drain,
                                .m_Endpoints = {model::EndpointId("e2")}});
  Inputs.m_Intent = std::make_shared<model::Intent>(Intent);
  std::shared_ptr<const RoutingTable> Table = RoutingTable::build(Inputs);
  const TableModel *Model = Table->findModel(model::ModelId("gas"));
  REQUIRE(Model != nullptr);
  CHECK(Model->m_Versions[0].m_Copies.m_Serving ==
        std::vector<EndpointIndex>{0});
}

TEST_CASE("an adapter answers only where its base version does too") {
  RoutingInputs Inputs = smallInputs(2, 0);
  model::Intent Intent = *Inputs.m_Intent;
  Intent.m_Adapters.push_back(
      {.m_Name = model::AdapterId("town"), .m_Base = model::ModelId("gas")});
  Inputs.m_Intent = std::make_shared<model::Intent>(Intent);
  model::ArtifactId Adapter{model::ModelId("gas"), "1",
                            model::AdapterId("town")};
  Inputs.m_Copies = {
      {Adapter, model::EndpointId("e0"), model::CopyState::Serving},
      {Adapter, model::EndpointId("e1"), model::CopyState::Serving},
      {Adapter.base(), model::EndpointId("e1"), model::CopyState::Serving}};
  std::shared_ptr<const RoutingTable> Table = RoutingTable::build(Inputs);
  const TableVersion &Version =
      Table->findModel(model::ModelId("gas"))->m_Versions[0];
  const TableAdapter *Found =
      RoutingTable::findAdapter(Version, model::AdapterId("town"));
  REQUIRE(Found != nullptr);
  CHECK(Found->m_Copies.m_Serving == std::vector<EndpointIndex>{1});
  CHECK(Table->findByName("town")->m_Model == model::ModelId("gas"));
  CHECK((Table->findByName("gas@1+town") == Adapter));
  CHECK_FALSE(Table->findByName("gas@2").has_value());
}

TEST_CASE("a path belongs to a service only at a path boundary") {
  std::shared_ptr<const RoutingTable> Table =
      RoutingTable::build(smallInputs(0, 1));
  CHECK_FALSE(Table->findServiceByPath("/bookings/confirm").has_value());
  CHECK(Table->findServiceByPath("/booking/list")->m_Repeatable);
  CHECK_FALSE(Table->findServiceByPath("/booking/confirm/7")->m_Repeatable);
}

TEST_CASE("a bounded set of nodes sends to an engine directly, and removing a "
          "node moves only its own endpoints") {
  RoutingInputs Inputs = smallInputs(40, 0);
  Inputs.m_Settings.m_DirectNodesPerEndpoint = 4;
  Inputs.m_Nodes.clear();
  for (int Index = 1; Index <= 30; ++Index)
    Inputs.m_Nodes.push_back(nodeNamed("n" + std::to_string(Index)));
  std::shared_ptr<const RoutingTable> Before = RoutingTable::build(Inputs);
  model::NodeId Gone = Inputs.m_Nodes.back().m_Node;
  Inputs.m_Nodes.pop_back();
  std::shared_ptr<const RoutingTable> After = RoutingTable::build(Inputs);
  std::shared_ptr<const RoutingTable> Again =
      RoutingTable::build(Inputs, Before.get());
  for (size_t Index = 0; Index < Before->endpoints().size(); ++Index) {
    CHECK(Again->endpoints()[Index].m_DirectNodes ==
          After->endpoints()[Index].m_DirectNodes);
    const std::vector<uint32_t> &Old = Before->endpoints()[Index].m_DirectNodes;
    const std::vector<uint32_t> &New = After->endpoints()[Index].m_DirectNodes;
    CHECK(Old.size() == 4);
    size_t Kept = 0;
    bool HadRemovedNode = false;
    for (uint32_t OldNode : Old) {
      const model::NodeId &Name = Before->nodes()[OldNode].m_Node;
      HadRemovedNode |= Name == Gone;
      Kept += std::any_of(New.begin(), New.end(), [&](uint32_t Other) {
        return After->nodes()[Other].m_Node == Name;
      });
    }
    CHECK(Kept == (HadRemovedNode ? 3 : 4));
  }
}

} // namespace bronzepass::unit_tests::routing
