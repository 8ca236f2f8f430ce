#include "Core/Residency/ResidencyCore.h"

#include <doctest/doctest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bronzepass::core::residency {

using namespace std::chrono_literals;

namespace {

gateway::EndpointEntry engine(uint32_t Number,
                              const std::vector<std::string> &Models) {
  gateway::EndpointEntry Entry;
  Entry.m_Id = model::EndpointId("e" + std::to_string(1000 + Number));
  Entry.m_Service = "s";
  Entry.m_Address = {"10.0.0.1", static_cast<uint16_t>(1000 + Number)};
  Entry.m_Slots = 4;
  for (const std::string &Each : Models)
    Entry.m_Models.push_back({Each, {}});
  return Entry;
}

/// A lease holder that reports are asked by and answered to.
class Holder {
public:
  Holder() : m_Core({}, model::NodeId("self")) {
    gateway::GatewayConfig Config;
    Config.m_Version = 1;
    gateway::ServiceSpec Service;
    Service.m_Name = "s";
    Service.m_Engine = gateway::EngineSpec();
    Service.m_Engine->m_WeightsMb = 100;
    Service.m_Engine->m_AdapterSlots = 2;
    Service.m_Engine->m_LoadsPerSecond = 10;
    for (const char *const Name : {"m", "n", "rare"})
      Service.m_Engine->m_Models.push_back({Name, 40, 1s, 2, 1});
    Config.m_Services = {Service};
    m_Core.setTable(std::make_shared<gateway::RouteTable>(Config));
  }

  void setEngines(const std::vector<gateway::EndpointEntry> &Entries) {
    m_Entries = Entries;
    m_Core.setEndpoints(Entries, m_Now, m_Out);
  }
  void takeLease() {
    model::HeldLease Lease;
    Lease.m_Token = {++m_Token};
    Lease.m_ValidUntil = m_Now + 1h;
    m_Core.setLease(Lease, m_Now, m_Out);
  }
  void pass(model::Duration Span) {
    for (model::Duration Gone{0}; Gone < Span; Gone += 20ms) {
      m_Now += 20ms;
      m_Core.tick(m_Now, m_Out);
      std::vector<model::EndpointId> Asked;
      for (const ResidencyEffect &Each : m_Out)
        if (const ReportAsk *const Ask = std::get_if<ReportAsk>(&Each))
          Asked.push_back(Ask->m_Endpoint);
        else if (const OrderSend *const Order = std::get_if<OrderSend>(&Each))
          m_Orders.push_back(Order->m_Order);
      m_Out.clear();
      m_MostAsked = std::max(m_MostAsked, Asked.size());
      for (const model::EndpointId &Id : Asked) {
        m_Reported.push_back(Id);
        if (m_Answers)
          report(Id);
      }
    }
  }
  void report(const model::EndpointId &Id) {
    gateway::EngineState State;
    for (const gateway::EndpointEntry &Each : m_Entries)
      if (Each.m_Id == Id)
        State.m_Models = Each.m_Models;
    m_Core.reported(Id, State, m_Now, m_Out);
  }

  ResidencyCore m_Core;
  model::TimePoint m_Now = model::TimePoint(100s);
  uint64_t m_Token = 0;
  bool m_Answers = true;
  std::vector<gateway::EndpointEntry> m_Entries;
  ResidencyEffectList m_Out;
  std::vector<model::EndpointId> m_Reported;
  std::vector<gateway::PlacementOrder> m_Orders;
  size_t m_MostAsked = 0;
};

std::vector<gateway::EndpointEntry> engines(uint32_t Count) {
  std::vector<gateway::EndpointEntry> Entries;
  for (uint32_t I = 0; I < Count; ++I)
    Entries.push_back(engine(I, {"m", "n"}));
  return Entries;
}

} // namespace

TEST_CASE("a new holder of many engines asks for a few reports at a time") {
  Holder Node;
  Node.setEngines(engines(840));
  Node.takeLease();
  Node.pass(3s);
  CHECK(Node.m_MostAsked <= ResidencySettings().m_MostReports);
  const std::set<model::EndpointId> Asked(Node.m_Reported.begin(),
                                          Node.m_Reported.end());
  CHECK(Asked.size() == 840);
}

TEST_CASE("engines that do not answer hold up no others beyond their time") {
  Holder Node;
  Node.m_Answers = false;
  Node.setEngines(engines(40));
  Node.takeLease();
  Node.pass(200ms);
  CHECK(Node.m_Reported.size() == ResidencySettings().m_MostReports);
  for (const model::EndpointId &Id : std::vector(Node.m_Reported))
    Node.m_Core.reported(Id, std::nullopt, Node.m_Now, Node.m_Out);
  Node.pass(40ms);
  CHECK(Node.m_Reported.size() == 2 * ResidencySettings().m_MostReports);
}

TEST_CASE("what a caller waits for is asked about first") {
  Holder Node;
  std::vector<gateway::EndpointEntry> Entries = engines(200);
  Entries.push_back(engine(500, {"rare"}));
  Node.setEngines(Entries);
  Node.takeLease();
  Node.m_Core.copyWanted({"s", {"rare", "a1"}}, Node.m_Now, Node.m_Out);
  Node.pass(40ms);
  REQUIRE_FALSE(Node.m_Reported.empty());
  CHECK(Node.m_Reported.front() == engine(500, {}).m_Id);
  REQUIRE(Node.m_Orders.size() == 1);
  CHECK(Node.m_Orders[0].m_ModelRef == gateway::ModelRef{"rare", "a1"});
}

TEST_CASE("a holder that plans does not pause for each engine that comes") {
  Holder Node;
  std::vector<gateway::EndpointEntry> Entries = engines(30);
  Node.setEngines(Entries);
  Node.takeLease();
  Node.pass(2s);
  // "rare" has no copy and room is made for it; then that engine is lost.
  REQUIRE_FALSE(Node.m_Orders.empty());
  const model::EndpointId Lost = Node.m_Orders[0].m_Endpoint;
  std::erase_if(Entries, [&](const gateway::EndpointEntry &Each) {
    return Each.m_Id == Lost;
  });
  Node.m_Orders.clear();
  for (uint32_t I = 0; I < 5; ++I) {
    Entries.push_back(engine(100 + I, {"m", "n"}));
    Node.setEngines(Entries);
    Node.pass(400ms);
  }
  CHECK_FALSE(Node.m_Orders.empty());
  // Many at once are waited for: what has no copy may lie on the next one.
  Holder Other;
  Other.setEngines(engines(30));
  Other.takeLease();
  Other.pass(3s);
  const size_t Before = Other.m_Orders.size();
  Other.setEngines(engines(60));
  Other.pass(1s);
  CHECK(Other.m_Orders.size() == Before);
}

} // namespace bronzepass::core::residency
