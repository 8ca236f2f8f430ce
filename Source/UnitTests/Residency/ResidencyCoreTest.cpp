#include "Core/Residency/ResidencyCore.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
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

/// Runs a lease holder and answers its report requests.
class LeaseHolder {
public:
  LeaseHolder() : m_Core({}, model::NodeId("self")) {
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
  void advance(model::Duration Span) {
    for (model::Duration Elapsed{0}; Elapsed < Span; Elapsed += 20ms) {
      m_Now += 20ms;
      m_Core.tick(m_Now, m_Out);
      std::vector<model::EndpointId> Requested;
      for (const ResidencyEffect &Each : m_Out)
        if (const RequestReport *const Request =
                std::get_if<RequestReport>(&Each))
          Requested.push_back(Request->m_Endpoint);
        else if (const SendOrder *const Order = std::get_if<SendOrder>(&Each))
          m_Sent.push_back(*Order);
      for (const SendOrder &Each : m_Sent)
        m_Orders.push_back(Each.m_Order);
      m_Out.clear();
      m_MaxReportsAtOnce = std::max(m_MaxReportsAtOnce, Requested.size());
      for (const SendOrder &Each : std::exchange(m_Sent, {}))
        if (m_AnswersOrders)
          answer(Each);
      for (const model::EndpointId &Id : Requested) {
        m_ReportRequests.push_back(Id);
        if (m_AnswersReports)
          report(Id);
      }
    }
  }
  void answer(const SendOrder &Sent) {
    if (m_OrderReply == gateway::OrderReply::Accepted)
      ++m_OrderCounts[Sent.m_Order.m_Endpoint];
    m_Core.onOrderReply(Sent.m_Number, m_OrderReply, m_Now, m_Out);
  }
  void report(const model::EndpointId &Id) {
    gateway::EngineState State;
    State.m_OrderCount = m_OrderCounts[Id];
    for (const gateway::EndpointEntry &Each : m_Entries)
      if (Each.m_Id == Id)
        State.m_Models = Each.m_Models;
    m_Core.onReport(Id, State, m_Now, m_Out);
  }

  ResidencyCore m_Core;
  model::TimePoint m_Now = model::TimePoint(100s);
  uint64_t m_Token = 0;
  bool m_AnswersReports = true;
  bool m_AnswersOrders = false;
  gateway::OrderReply m_OrderReply = gateway::OrderReply::AlreadySatisfied;
  std::map<model::EndpointId, uint64_t> m_OrderCounts;
  std::vector<SendOrder> m_Sent;
  std::vector<gateway::EndpointEntry> m_Entries;
  ResidencyEffectList m_Out;
  std::vector<model::EndpointId> m_ReportRequests;
  std::vector<gateway::PlacementOrder> m_Orders;
  size_t m_MaxReportsAtOnce = 0;
};

std::vector<gateway::EndpointEntry> engines(uint32_t Count) {
  std::vector<gateway::EndpointEntry> Entries;
  for (uint32_t I = 0; I < Count; ++I)
    Entries.push_back(engine(I, {"m", "n"}));
  return Entries;
}

} // namespace

TEST_CASE("a new lease holder asks many engines for reports, a few at a time") {
  LeaseHolder Node;
  Node.setEngines(engines(840));
  Node.takeLease();
  Node.advance(3s);
  CHECK(Node.m_MaxReportsAtOnce <= ResidencySettings().m_MaxOpenReports);
  const std::set<model::EndpointId> Requested(Node.m_ReportRequests.begin(),
                                              Node.m_ReportRequests.end());
  CHECK(Requested.size() == 840);
}

TEST_CASE("engines that do not answer delay others only until they time out") {
  LeaseHolder Node;
  Node.m_AnswersReports = false;
  Node.setEngines(engines(40));
  Node.takeLease();
  Node.advance(200ms);
  CHECK(Node.m_ReportRequests.size() == ResidencySettings().m_MaxOpenReports);
  for (const model::EndpointId &Id : std::vector(Node.m_ReportRequests))
    Node.m_Core.onReport(Id, std::nullopt, Node.m_Now, Node.m_Out);
  Node.advance(40ms);
  CHECK(Node.m_ReportRequests.size() ==
        2 * ResidencySettings().m_MaxOpenReports);
}

TEST_CASE("engines that can load a requested adapter are asked first") {
  LeaseHolder Node;
  std::vector<gateway::EndpointEntry> Entries = engines(200);
  Entries.push_back(engine(500, {"rare"}));
  Node.setEngines(Entries);
  Node.takeLease();
  Node.m_Core.onCopyRequest({"s", {"rare", "a1"}}, Node.m_Now, Node.m_Out);
  Node.advance(40ms);
  REQUIRE_FALSE(Node.m_ReportRequests.empty());
  CHECK(Node.m_ReportRequests.front() == engine(500, {}).m_Id);
  REQUIRE(Node.m_Orders.size() == 1);
  CHECK(Node.m_Orders[0].m_ModelRef == gateway::ModelRef{"rare", "a1"});
}

TEST_CASE("a settled lease holder does not pause for single new engines") {
  LeaseHolder Node;
  std::vector<gateway::EndpointEntry> Entries = engines(30);
  Node.setEngines(Entries);
  Node.takeLease();
  Node.advance(2s);
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
    Node.advance(400ms);
  }
  CHECK_FALSE(Node.m_Orders.empty());
  // Many at once pause planning: a model without a copy may be on the next.
  LeaseHolder Other;
  Other.setEngines(engines(30));
  Other.takeLease();
  Other.advance(3s);
  const size_t Before = Other.m_Orders.size();
  Other.setEngines(engines(60));
  Other.advance(1s);
  CHECK(Other.m_Orders.size() == Before);
}

// Guards against waiting for the store before the copies of an engine that
// leaves are replaced.
TEST_CASE("a model whose only engine says that it is leaving is loaded on "
          "another one at once, until that engine starts anew") {
  LeaseHolder Node;
  std::vector<gateway::EndpointEntry> Entries = {
      engine(0, {"m", "n"}), engine(1, {"rare"}), engine(2, {"m", "n"})};
  Node.m_AnswersOrders = true;
  Node.setEngines(Entries);
  Node.takeLease();
  Node.advance(5s);
  const auto LoadsOfRare = [&] {
    return std::count_if(Node.m_Orders.begin(), Node.m_Orders.end(),
                         [](const gateway::PlacementOrder &Each) {
                           return Each.m_Verb == gateway::OrderVerb::Load &&
                                  Each.m_ModelRef.m_Model == "rare";
                         });
  };
  CHECK(LoadsOfRare() == 0);
  Node.m_Core.onStatementChange({Entries[1].m_Id, {.m_IsLeaving = true}});
  for (int I = 0; I < 10 && LoadsOfRare() == 0; ++I) {
    Node.advance(200ms);
    for (const gateway::PlacementOrder &Each : Node.m_Orders)
      if (Each.m_Verb == gateway::OrderVerb::Unload)
        for (gateway::EndpointEntry &Entry : Entries)
          if (Entry.m_Id == Each.m_Endpoint)
            std::erase_if(Entry.m_Models, [&](const auto &Model) {
              return Model.m_Name == Each.m_ModelRef.m_Model;
            });
    Node.setEngines(Entries);
  }
  CHECK(LoadsOfRare() == 1);
  for (const gateway::PlacementOrder &Each : Node.m_Orders)
    CHECK(Each.m_Endpoint != Entries[1].m_Id);
  // Started anew and empty, it gets a copy like any other engine.
  Entries[1].m_StartedAtMs = 1;
  Entries[1].m_Models.clear();
  Node.m_Orders.clear();
  Node.setEngines(Entries);
  Node.advance(5s);
  CHECK(std::any_of(Node.m_Orders.begin(), Node.m_Orders.end(),
                    [&](const gateway::PlacementOrder &Each) {
                      return Each.m_Endpoint == Entries[1].m_Id;
                    }));
}

// Guards against orders and report requests to an engine that has asked this
// node for nothing.
TEST_CASE(
    "an engine that asked for a pause gets no order and no report request "
    "until it is over") {
  LeaseHolder Node;
  Node.m_AnswersOrders = true;
  const std::vector<gateway::EndpointEntry> Entries = {engine(0, {"m"}),
                                                       engine(1, {"m", "n"})};
  Node.setEngines(Entries);
  Node.takeLease();
  Node.advance(5s);
  Node.m_Orders.clear();
  Node.m_ReportRequests.clear();
  Node.m_Core.onPauseBegun({Entries[1].m_Id, 3s}, Node.m_Now);
  const model::TimePoint End = Node.m_Now + 3s;
  while (Node.m_Now + 100ms < End) {
    Node.m_Core.onCopyRequest({"s", {"n", "a1"}}, Node.m_Now, Node.m_Out);
    Node.advance(100ms);
  }
  const auto IsToPaused = [&](const gateway::PlacementOrder &Each) {
    return Each.m_Endpoint == Entries[1].m_Id;
  };
  CHECK(std::none_of(Node.m_Orders.begin(), Node.m_Orders.end(), IsToPaused));
  CHECK(std::count(Node.m_ReportRequests.begin(), Node.m_ReportRequests.end(),
                   Entries[1].m_Id) == 0);
  Node.m_Core.onCopyRequest({"s", {"n", "a1"}}, Node.m_Now, Node.m_Out);
  Node.advance(1s);
  CHECK(std::any_of(Node.m_Orders.begin(), Node.m_Orders.end(), IsToPaused));
}

// Guards against a load into a place that requests still use, and against
// making room again and again while one engine already makes it.
TEST_CASE("a wanted adapter is loaded once a report shows that there is room, "
          "and only one other is unloaded for it") {
  LeaseHolder Node;
  std::vector<gateway::EndpointEntry> Entries = {engine(0, {"m"}),
                                                 engine(1, {"m"})};
  for (gateway::EndpointEntry &Each : Entries)
    Each.m_Models[0].m_Adapters = {"a1", "a2"};
  Node.setEngines(Entries);
  Node.takeLease();
  Node.advance(600ms);
  Node.m_AnswersOrders = true;
  Node.m_OrderReply = gateway::OrderReply::Accepted;
  const auto WantAdapter = [&](model::Duration Span) {
    for (model::Duration Elapsed{0}; Elapsed < Span; Elapsed += 100ms) {
      Node.m_Core.onCopyRequest({"s", {"m", "a9"}}, Node.m_Now, Node.m_Out);
      Node.advance(100ms);
    }
    return std::count_if(Node.m_Orders.begin(), Node.m_Orders.end(),
                         [](const gateway::PlacementOrder &Each) {
                           return !Each.m_ModelRef.m_Adapter.empty();
                         });
  };
  CHECK(WantAdapter(6s) == 1);
  const auto Unload =
      std::find_if(Node.m_Orders.begin(), Node.m_Orders.end(),
                   [](const gateway::PlacementOrder &Each) {
                     return Each.m_Verb == gateway::OrderVerb::Unload &&
                            !Each.m_ModelRef.m_Adapter.empty();
                   });
  REQUIRE(Unload != Node.m_Orders.end());
  const gateway::PlacementOrder Dropped = *Unload;
  // The requests that used it have ended.
  for (gateway::EndpointEntry &Each : Node.m_Entries)
    if (Each.m_Id == Dropped.m_Endpoint)
      std::erase(Each.m_Models[0].m_Adapters, Dropped.m_ModelRef.m_Adapter);
  CHECK(WantAdapter(2s) == 2);
  const auto Load =
      std::find_if(Node.m_Orders.begin(), Node.m_Orders.end(),
                   [](const gateway::PlacementOrder &Each) {
                     return Each.m_Verb == gateway::OrderVerb::Load &&
                            Each.m_ModelRef == gateway::ModelRef{"m", "a9"};
                   });
  REQUIRE(Load != Node.m_Orders.end());
  CHECK(Load->m_Endpoint == Dropped.m_Endpoint);
}

} // namespace bronzepass::core::residency
