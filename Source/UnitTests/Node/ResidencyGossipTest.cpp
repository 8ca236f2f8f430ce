#include "Core/Node/ResidencyGossip.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::node {

using namespace core;
using core::node::ResidencyGossip;
using core::node::ResidencyTable;
using namespace std::chrono_literals;

namespace {

const model::NodeId PeerA("a.1");
const model::NodeId PeerB("b.1");
const model::EndpointId Engine("engine-1");
const model::TimePoint Start(1h);

model::EngineReport reportAt(model::TimePoint MadeAt) {
  return {
      .m_Endpoint = Engine,
      .m_MadeAt = MadeAt,
      .m_Copies = {
          {{model::ModelId("gas"), "1", {}}, model::CopyState::Serving, 1}}};
}

ports::ResidencyOffer offerAt(model::TimePoint MadeAt) {
  return {{{Engine, MadeAt}}};
}

/// The sent messages of one type, each with its receiver.
template <typename MessageT>
std::vector<std::pair<model::NodeId, MessageT>>
sent(const ports::EffectList &Effects) {
  std::vector<std::pair<model::NodeId, MessageT>> Found;
  for (const ports::Effect &Each : Effects)
    if (const auto *Send = std::get_if<ports::PeerSend>(&Each))
      if (const auto *Message = std::get_if<MessageT>(&Send->m_Message))
        Found.emplace_back(Send->m_To, *Message);
  return Found;
}

} // namespace

TEST_CASE("a report offered by two neighbours is fetched once, and from the "
          "second if the first does not answer") {
  const ResidencyTable Table;
  ResidencyGossip Gossip(Table);
  Gossip.setNeighbours({PeerA, PeerB});
  ports::EffectList Effects;
  Gossip.onOffer(PeerA, offerAt(Start), Start, Effects);
  Gossip.onOffer(PeerB, offerAt(Start), Start, Effects);
  const auto First = sent<ports::ResidencyRequest>(Effects);
  REQUIRE(First.size() == 1);
  CHECK(First[0].first == PeerA);
  Effects.clear();
  Gossip.tick(Start + 500ms, Effects);
  CHECK(sent<ports::ResidencyRequest>(Effects).empty());
  Gossip.tick(Start + 1500ms, Effects);
  const auto Second = sent<ports::ResidencyRequest>(Effects);
  REQUIRE(Second.size() == 1);
  CHECK(Second[0].first == PeerB);
}

TEST_CASE(
    "a change is offered to all neighbours but those that sent or offered "
    "it; a new neighbour is offered everything") {
  ResidencyTable Table;
  ResidencyGossip Gossip(Table);
  const model::NodeId PeerC("c.1");
  Gossip.setNeighbours({PeerA, PeerB, PeerC});
  Table.update(reportAt(Start));
  Gossip.onReportStored(Engine, true, &PeerA);
  ports::EffectList Effects;
  Gossip.onOffer(PeerB, offerAt(Start), Start, Effects);
  Gossip.tick(Start, Effects);
  const auto Offers = sent<ports::ResidencyOffer>(Effects);
  REQUIRE(Offers.size() == 1);
  CHECK(Offers[0].first == PeerC);
  CHECK(sent<ports::ResidencyRequest>(Effects).empty());

  Effects.clear();
  Gossip.forget(PeerA);
  Gossip.setNeighbours({PeerA, PeerB, PeerC});
  Gossip.tick(Start + 1s, Effects);
  const auto Again = sent<ports::ResidencyOffer>(Effects);
  REQUIRE(Again.size() == 1);
  CHECK(Again[0].first == PeerA);
  CHECK(Again[0].second == offerAt(Start));
}

TEST_CASE(
    "known reports are sent on request, and an outdated offer is ignored") {
  ResidencyTable Table;
  ResidencyGossip Gossip(Table);
  Table.update(reportAt(Start));
  ports::EffectList Effects;
  Gossip.onReportRequest(PeerA, {{Engine, model::EndpointId("unknown")}},
                         Effects);
  const auto Replies = sent<ports::ResidencyReply>(Effects);
  REQUIRE(Replies.size() == 1);
  CHECK(Replies[0].second.m_Reports ==
        std::vector<model::EngineReport>{reportAt(Start)});
  Effects.clear();
  Gossip.onOffer(PeerA, offerAt(Start - 1s), Start, Effects);
  CHECK(Effects.empty());
}

} // namespace bronzepass::unit_tests::node
