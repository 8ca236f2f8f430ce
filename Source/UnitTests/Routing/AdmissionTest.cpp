#include "UnitTests/Routing/TrafficFixture.h"

#include "Core/Model/Hash.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace bronzepass::unit_tests::routing {

namespace {

/// Sends requests until one has to wait; returns the attempts of the others.
std::vector<model::AttemptId> fillEndpoint(TrafficFixture &Core,
                                           uint64_t &NextId) {
  std::vector<model::AttemptId> Started;
  for (;;) {
    Core.send(RequestArrived{Core.modelRequest(NextId++)});
    if (!Core.startedAttempt())
      return Started;
    Started.push_back(Core.startedAttempt());
  }
}

void answer(TrafficFixture &Core, model::AttemptId Attempt) {
  Core.send(AttemptHead{Attempt, 200});
  Core.send(AttemptEnded{Attempt, AttemptOutcome::Complete, 200, ""});
}

/// Sends and answers requests until the core predicts this service time.
void trainServiceTime(TrafficFixture &Core, uint64_t Id,
                      model::Duration Service) {
  for (int Times = 0; Times < 100; ++Times) {
    Core.send(RequestArrived{Core.modelRequest(Id + Times)});
    model::AttemptId Attempt = Core.startedAttempt();
    REQUIRE(Attempt);
    Core.m_Now += Service;
    answer(Core, Attempt);
  }
}

} // namespace

TEST_CASE("a request whose window can't be met is refused at once as not run, "
          "with a retry-after time") {
  TrafficFixture Core(smallInputs(1, 0));
  trainServiceTime(Core, 1000, 2 * Second);
  uint64_t NextId = 1;
  fillEndpoint(Core, NextId);
  model::Request Urgent = Core.modelRequest(500);
  Urgent.m_Deadline = Core.m_Now + 2 * Second;
  Core.send(RequestArrived{Urgent});
  REQUIRE(Core.effect<RefuseRequest>() != nullptr);
  const model::Refusal &Refusal = Core.effect<RefuseRequest>()->m_Refusal;
  CHECK((Refusal.m_Reason == model::RefusalReason::WindowTooShort));
  CHECK((Refusal.m_RunState == model::RunState::NotRun));
  CHECK(Refusal.m_RetryAfter > model::Duration(0));
}

TEST_CASE("a waiting request is refused as soon as its window can't be met") {
  TrafficFixture Core(smallInputs(1, 0));
  trainServiceTime(Core, 1000, 2 * Second);
  uint64_t NextId = 1;
  fillEndpoint(Core, NextId);
  uint64_t Waiting = NextId - 1;
  CHECK(Core.effect<RefuseRequest>() == nullptr);
  Core.advanceTime(8 * Second + 100 * Millisecond);
  bool WasRefused = false;
  for (const RefuseRequest &Each : Core.allEffects<RefuseRequest>())
    WasRefused |= Each.m_Request.m_Value == Waiting;
  CHECK(WasRefused);
}

TEST_CASE("a caller's burst does not hold up another caller") {
  TrafficFixture Core(smallInputs(1, 0));
  uint64_t NextId = 1;
  std::vector<model::AttemptId> Running = fillEndpoint(Core, NextId);
  for (int Count = 0; Count < 20; ++Count)
    Core.send(RequestArrived{Core.modelRequest(NextId++)});
  model::Request Other = Core.modelRequest(900);
  Other.m_Caller = model::CallerId("guard");
  Core.send(RequestArrived{Other});
  CHECK(Core.effect<RefuseRequest>() == nullptr);
  std::set<uint64_t> Next;
  for (int Count = 0; Count < 2; ++Count) {
    answer(Core, Running[Count]);
    REQUIRE(Core.effect<StartAttempt>() != nullptr);
    Next.insert(Core.effect<StartAttempt>()->m_Request.m_Value);
  }
  CHECK(Next.contains(900));
}

TEST_CASE("a batch request yields to an interactive one that came later") {
  TrafficSettings Settings;
  // The same slot limit for both priorities, so that only their order decides.
  Settings.m_BatchSlotShare = 1 + Settings.m_SlotOvercommitShare;
  TrafficFixture Core(smallInputs(1, 0), Settings);
  uint64_t NextId = 1;
  std::vector<model::AttemptId> Running = fillEndpoint(Core, NextId);
  Core.send(RequestArrived{Core.modelRequest(799)});
  model::Request Batch = Core.modelRequest(800);
  Batch.m_Priority = model::Priority::Batch;
  Batch.m_Deadline += 100 * Second;
  Core.send(RequestArrived{Batch});
  Core.send(RequestArrived{Core.modelRequest(801)});
  std::vector<uint64_t> Order;
  for (model::AttemptId Attempt : Running) {
    answer(Core, Attempt);
    if (Core.effect<StartAttempt>() != nullptr)
      Order.push_back(Core.effect<StartAttempt>()->m_Request.m_Value);
  }
  REQUIRE(Order.size() >= 2);
  auto Late = std::find(Order.begin(), Order.end(), 801);
  auto Early = std::find(Order.begin(), Order.end(), 800);
  REQUIRE(Early != Order.end());
  CHECK(Late < Early);
}

TEST_CASE("the queue is limited by request count and by bytes") {
  TrafficSettings Settings;
  Settings.m_QueueRequests = 2;
  Settings.m_QueueBytes = 1000;
  TrafficFixture Core(smallInputs(1, 0), Settings);
  uint64_t NextId = 1;
  fillEndpoint(Core, NextId);
  model::Request Large = Core.modelRequest(700);
  Large.m_BodyBytes = 2000;
  Core.send(RequestArrived{Large});
  REQUIRE(Core.effect<RefuseRequest>() != nullptr);
  CHECK((Core.effect<RefuseRequest>()->m_Refusal.m_Reason ==
         model::RefusalReason::QueueFull));
  Core.send(RequestArrived{Core.modelRequest(701)});
  CHECK(Core.effect<RefuseRequest>() == nullptr);
  Core.send(RequestArrived{Core.modelRequest(702)});
  CHECK(Core.effect<RefuseRequest>() != nullptr);
}

TEST_CASE("a batch request gives up its place in a full queue") {
  TrafficSettings Settings;
  Settings.m_QueueRequests = 2;
  TrafficFixture Core(smallInputs(1, 0), Settings);
  uint64_t NextId = 1;
  fillEndpoint(Core, NextId);
  model::Request Batch = Core.modelRequest(800);
  Batch.m_Priority = model::Priority::Batch;
  Core.send(RequestArrived{Batch});
  Core.send(RequestArrived{Core.modelRequest(801)});
  REQUIRE(Core.effect<RefuseRequest>() != nullptr);
  CHECK(Core.effect<RefuseRequest>()->m_Request.m_Value == 800);
  CHECK((Core.effect<RefuseRequest>()->m_Refusal.m_RunState ==
         model::RunState::NotRun));
}

TEST_CASE("an endpoint that refuses connections is ejected, then probed with "
          "one request at a time") {
  TrafficFixture Core(smallInputs(2, 0));
  Core.send(RequestArrived{Core.modelRequest(1)});
  model::EndpointId Refusing = Core.effect<StartAttempt>()->m_Endpoint;
  Core.send(
      AttemptEnded{Core.startedAttempt(), AttemptOutcome::NotSent, 0, ""});
  CHECK(Core.effect<StartAttempt>()->m_Endpoint != Refusing);
  for (uint64_t Id = 2; Id < 5; ++Id) {
    Core.send(RequestArrived{Core.modelRequest(Id)});
    if (Core.effect<StartAttempt>() != nullptr)
      CHECK(Core.effect<StartAttempt>()->m_Endpoint != Refusing);
  }
  Core.advanceTime(3 * Second);
  uint32_t Probes = 0;
  for (uint64_t Id = 5; Id < 12; ++Id) {
    Core.send(RequestArrived{Core.modelRequest(Id)});
    if (Core.effect<StartAttempt>() != nullptr)
      Probes += Core.effect<StartAttempt>()->m_Endpoint == Refusing;
  }
  CHECK(Probes == 1);
}

TEST_CASE("a caller's limit holds over all nodes once usage is reported") {
  RoutingInputs Inputs = smallInputs(4, 0);
  model::Intent Intent = *Inputs.m_Intent;
  Intent.m_Callers.push_back({.m_Name = model::CallerId("crew"),
                              .m_Limits = {.m_RequestsPerSecond = 10}});
  Inputs.m_Intent = std::make_shared<model::Intent>(Intent);
  Inputs.m_Nodes.push_back(nodeNamed("n2"));
  TrafficFixture Core(Inputs);
  uint32_t Admitted = 0;
  constexpr uint32_t Seconds = 20;
  uint64_t Id = 0;
  for (uint32_t Tenth = 0; Tenth < Seconds * 10; ++Tenth) {
    // This node gets 30 requests per second; the other node uses 8 of the 10.
    for (int Count = 0; Count < 3; ++Count) {
      Core.send(RequestArrived{Core.modelRequest(++Id)});
      if (model::AttemptId Attempt = Core.startedAttempt()) {
        ++Admitted;
        answer(Core, Attempt);
      }
    }
    if (Tenth % 10 == 0)
      Core.send(ports::PeerUsageUpdated{{{model::CallerId("crew"), 8, 0, 0}}});
    Core.advanceTime(100 * Millisecond);
  }
  // The equal share of 5 per second is always usable, and no more than that
  // once the usage of the other node is known.
  CHECK(Admitted >= Seconds * 2);
  CHECK(Admitted <= Seconds * 5 + 10);
}

namespace {

/// The cache hashes that an engine reports for prompts with these text hashes.
std::vector<uint64_t> cachedHashes(const model::Request &Request,
                                   std::vector<uint64_t> PromptHashes) {
  const std::string Artifact =
      model::toString(model::ArtifactId{Request.m_Model, "1", {}});
  for (uint64_t &Hash : PromptHashes)
    Hash = model::cachedPrefixHash(Hash, Artifact);
  return PromptHashes;
}

} // namespace

TEST_CASE("a request goes to the endpoint that caches its prompt prefix, until "
          "the engine reports that its cache was cleared") {
  TrafficFixture Core(smallInputs(3, 0));
  auto RouteRequest = [&Core](uint64_t Id) {
    model::Request Request = Core.modelRequest(Id);
    Request.m_PrefixHashes = {11, 12, 13};
    Request.m_PromptTokens = 200;
    Core.send(RequestArrived{Request});
    model::EndpointId Chosen = Core.effect<StartAttempt>()->m_Endpoint;
    answer(Core, Core.startedAttempt());
    return Chosen;
  };
  const model::Request Sample = Core.modelRequest(9);
  Core.send(CacheChanged{model::EndpointId("e2"),
                         1,
                         cachedHashes(Sample, {11, 12, 13}),
                         {},
                         false});
  CHECK(RouteRequest(1) == model::EndpointId("e2"));
  CHECK(RouteRequest(2) == model::EndpointId("e2"));
  Core.send(CacheChanged{model::EndpointId("e2"), 2, {}, {}, true});
  Core.send(CacheChanged{
      model::EndpointId("e0"), 1, cachedHashes(Sample, {11, 12}), {}, false});
  CHECK(RouteRequest(3) == model::EndpointId("e0"));
}

TEST_CASE("a node that sends directly to no copy forwards a request once") {
  RoutingInputs Inputs = smallInputs(1, 0);
  Inputs.m_Settings.m_DirectNodesPerEndpoint = 2;
  for (int Index = 2; Index <= 12; ++Index)
    Inputs.m_Nodes.push_back(nodeNamed("n" + std::to_string(Index)));
  std::shared_ptr<const RoutingTable> Table = RoutingTable::build(Inputs);
  for (const model::NodeInfo &Node : Table->nodes()) {
    Inputs.m_Self = Node;
    if (!RoutingTable::build(Inputs)->sendsDirectlyTo(model::EndpointId("e0")))
      break;
  }
  TrafficFixture Core(Inputs);
  Core.send(RequestArrived{Core.modelRequest(1)});
  const StartAttempt *Start = Core.effect<StartAttempt>();
  REQUIRE(Start != nullptr);
  CHECK(Start->m_ToNode);
  CHECK(Start->m_Endpoint.empty());
  model::Address First = Start->m_Address;
  Core.send(
      AttemptEnded{Core.startedAttempt(), AttemptOutcome::NotSent, 0, ""});
  REQUIRE(Core.effect<StartAttempt>() != nullptr);
  CHECK(Core.effect<StartAttempt>()->m_ToNode);
  CHECK(Core.effect<StartAttempt>()->m_Address != First);
  // A node with a broken connection is avoided too, without counting against
  // the endpoint.
  Core.send(AttemptEnded{Core.startedAttempt(), AttemptOutcome::Broken, 0, ""});
  REQUIRE(Core.effect<StartAttempt>() != nullptr);
  CHECK_FALSE(Core.effect<StartAttempt>()->m_ToNode);
  model::Request Forwarded = Core.modelRequest(2);
  Forwarded.m_Forwarded = true;
  Core.send(RequestArrived{Forwarded});
  REQUIRE(Core.effect<StartAttempt>() != nullptr);
  CHECK_FALSE(Core.effect<StartAttempt>()->m_ToNode);
}

TEST_CASE("every choice and refusal writes a decision") {
  TrafficFixture Core(smallInputs(3, 0));
  Core.send(RequestArrived{Core.modelRequest(1)});
  const model::Decision *Line = Core.effect<model::Decision>();
  REQUIRE(Line != nullptr);
  CHECK(Line->m_Action == "route");
  CHECK(Line->m_RunnersUp.size() == 2);
  CHECK_FALSE(Line->m_Reason.empty());
  model::Request Unknown = Core.modelRequest(2);
  Unknown.m_Model = model::ModelId("none");
  Core.send(RequestArrived{Unknown});
  REQUIRE(Core.effect<model::Decision>() != nullptr);
  CHECK(Core.effect<model::Decision>()->m_Action == "refuse");
}

} // namespace bronzepass::unit_tests::routing
