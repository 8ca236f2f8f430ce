#include "UnitTests/Routing/TrafficFixture.h"

#include "Core/Model/Hash.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace bronzepass::unit_tests::routing {

namespace {

/// Sends requests until one has to wait; returns the ids of those sent on.
std::vector<model::AttemptId> fill(TrafficFixture &Core, uint64_t &NextId) {
  std::vector<model::AttemptId> Started;
  for (;;) {
    Core.send(RequestArrived{Core.modelRequest(NextId++)});
    if (!Core.started())
      return Started;
    Started.push_back(Core.started());
  }
}

void answer(TrafficFixture &Core, model::AttemptId Attempt) {
  Core.send(AttemptHead{Attempt, 200});
  Core.send(AttemptEnded{Attempt, AttemptOutcome::Complete, 200, ""});
}

/// Teaches the core that an answer takes this long.
void teach(TrafficFixture &Core, uint64_t Id, model::Duration Service) {
  for (int Times = 0; Times < 100; ++Times) {
    Core.send(RequestArrived{Core.modelRequest(Id + Times)});
    model::AttemptId Attempt = Core.started();
    REQUIRE(Attempt);
    Core.m_Now += Service;
    answer(Core, Attempt);
  }
}

} // namespace

TEST_CASE("a window that can't be met is refused at once as not run, with when "
          "to come back") {
  TrafficFixture Core(smallInputs(1, 0));
  teach(Core, 1000, 2 * Second);
  uint64_t NextId = 1;
  fill(Core, NextId);
  model::Request Hasty = Core.modelRequest(500);
  Hasty.m_Deadline = Core.m_Now + 2 * Second;
  Core.send(RequestArrived{Hasty});
  REQUIRE(Core.last<RefuseRequest>() != nullptr);
  const model::Refusal &Refusal = Core.last<RefuseRequest>()->m_Refusal;
  CHECK((Refusal.m_Reason == model::RefusalReason::WindowTooShort));
  CHECK((Refusal.m_RunState == model::RunState::NotRun));
  CHECK(Refusal.m_RetryAfter > model::Duration(0));
}

TEST_CASE("a waiting request is told as soon as its window is hopeless") {
  TrafficFixture Core(smallInputs(1, 0));
  teach(Core, 1000, 2 * Second);
  uint64_t NextId = 1;
  fill(Core, NextId);
  uint64_t Waiting = NextId - 1;
  CHECK(Core.last<RefuseRequest>() == nullptr);
  Core.pass(8 * Second + 100 * Millisecond);
  bool Told = false;
  for (const RefuseRequest &Each : Core.all<RefuseRequest>())
    Told |= Each.m_Request.m_Value == Waiting;
  CHECK(Told);
}

TEST_CASE("a caller's burst does not hold up another caller") {
  TrafficFixture Core(smallInputs(1, 0));
  uint64_t NextId = 1;
  std::vector<model::AttemptId> Running = fill(Core, NextId);
  for (int Count = 0; Count < 20; ++Count)
    Core.send(RequestArrived{Core.modelRequest(NextId++)});
  model::Request Other = Core.modelRequest(900);
  Other.m_Caller = model::CallerId("guard");
  Core.send(RequestArrived{Other});
  CHECK(Core.last<RefuseRequest>() == nullptr);
  std::set<uint64_t> Next;
  for (int Count = 0; Count < 2; ++Count) {
    answer(Core, Running[Count]);
    REQUIRE(Core.last<StartAttempt>() != nullptr);
    Next.insert(Core.last<StartAttempt>()->m_Request.m_Value);
  }
  CHECK(Next.contains(900));
}

TEST_CASE("a batch request yields to an interactive one that came later") {
  TrafficSettings Settings;
  // The same room for both: their order alone decides.
  Settings.m_BatchSlotShare = 1 + Settings.m_SlotOvercommitShare;
  TrafficFixture Core(smallInputs(1, 0), Settings);
  uint64_t NextId = 1;
  std::vector<model::AttemptId> Running = fill(Core, NextId);
  Core.send(RequestArrived{Core.modelRequest(799)});
  model::Request Batch = Core.modelRequest(800);
  Batch.m_Priority = model::Priority::Batch;
  Batch.m_Deadline += 100 * Second;
  Core.send(RequestArrived{Batch});
  Core.send(RequestArrived{Core.modelRequest(801)});
  std::vector<uint64_t> Order;
  for (model::AttemptId Attempt : Running) {
    answer(Core, Attempt);
    if (Core.last<StartAttempt>() != nullptr)
      Order.push_back(Core.last<StartAttempt>()->m_Request.m_Value);
  }
  REQUIRE(Order.size() >= 2);
  auto Late = std::find(Order.begin(), Order.end(), 801);
  auto Early = std::find(Order.begin(), Order.end(), 800);
  REQUIRE(Early != Order.end());
  CHECK(Late < Early);
}

TEST_CASE("a full queue refuses by count and by bytes") {
  TrafficSettings Settings;
  Settings.m_QueueRequests = 2;
  Settings.m_QueueBytes = 1000;
  TrafficFixture Core(smallInputs(1, 0), Settings);
  uint64_t NextId = 1;
  fill(Core, NextId);
  model::Request Large = Core.modelRequest(700);
  Large.m_BodyBytes = 2000;
  Core.send(RequestArrived{Large});
  REQUIRE(Core.last<RefuseRequest>() != nullptr);
  CHECK((Core.last<RefuseRequest>()->m_Refusal.m_Reason ==
         model::RefusalReason::QueueFull));
  Core.send(RequestArrived{Core.modelRequest(701)});
  CHECK(Core.last<RefuseRequest>() == nullptr);
  Core.send(RequestArrived{Core.modelRequest(702)});
  CHECK(Core.last<RefuseRequest>() != nullptr);
}

TEST_CASE("a batch request gives up its place in a full queue") {
  TrafficSettings Settings;
  Settings.m_QueueRequests = 2;
  TrafficFixture Core(smallInputs(1, 0), Settings);
  uint64_t NextId = 1;
  fill(Core, NextId);
  model::Request Batch = Core.modelRequest(800);
  Batch.m_Priority = model::Priority::Batch;
  Core.send(RequestArrived{Batch});
  Core.send(RequestArrived{Core.modelRequest(801)});
  REQUIRE(Core.last<RefuseRequest>() != nullptr);
  CHECK(Core.last<RefuseRequest>()->m_Request.m_Value == 800);
  CHECK((Core.last<RefuseRequest>()->m_Refusal.m_RunState ==
         model::RunState::NotRun));
}

TEST_CASE("an endpoint that refuses connections gets nothing new until it is "
          "tried again, one request at a time") {
  TrafficFixture Core(smallInputs(2, 0));
  Core.send(RequestArrived{Core.modelRequest(1)});
  model::EndpointId Refusing = Core.last<StartAttempt>()->m_Endpoint;
  Core.send(AttemptEnded{Core.started(), AttemptOutcome::NotSent, 0, ""});
  CHECK(Core.last<StartAttempt>()->m_Endpoint != Refusing);
  for (uint64_t Id = 2; Id < 5; ++Id) {
    Core.send(RequestArrived{Core.modelRequest(Id)});
    if (Core.last<StartAttempt>() != nullptr)
      CHECK(Core.last<StartAttempt>()->m_Endpoint != Refusing);
  }
  Core.pass(3 * Second);
  uint32_t Probes = 0;
  for (uint64_t Id = 5; Id < 12; ++Id) {
    Core.send(RequestArrived{Core.modelRequest(Id)});
    if (Core.last<StartAttempt>() != nullptr)
      Probes += Core.last<StartAttempt>()->m_Endpoint == Refusing;
  }
  CHECK(Probes == 1);
}

TEST_CASE("a limit holds over all nodes after one period of news") {
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
    // This node sees 30 requests a second; the other uses 8 of the 10.
    for (int Count = 0; Count < 3; ++Count) {
      Core.send(RequestArrived{Core.modelRequest(++Id)});
      if (model::AttemptId Attempt = Core.started()) {
        ++Admitted;
        answer(Core, Attempt);
      }
    }
    if (Tenth % 10 == 0)
      Core.send(ports::UsageSeen{{{model::CallerId("crew"), 8, 0, 0}}});
    Core.pass(100 * Millisecond);
  }
  // An equal part is always free: 5 a second, and no more once the news is in.
  CHECK(Admitted >= Seconds * 2);
  CHECK(Admitted <= Seconds * 5 + 10);
}

namespace {

/// What an engine publishes of prompts with these hashes of text.
std::vector<uint64_t> cachedOf(const model::Request &Request,
                               std::vector<uint64_t> TextHashes) {
  const std::string Artifact =
      model::toString(model::ArtifactId{Request.m_Model, "1", {}});
  for (uint64_t &Hash : TextHashes)
    Hash = model::cachedPrefix(Hash, Artifact);
  return TextHashes;
}

} // namespace

TEST_CASE("a request goes where its prompt's beginning is cached, until the "
          "engine says that it is gone") {
  TrafficFixture Core(smallInputs(3, 0));
  auto Ask = [&Core](uint64_t Id) {
    model::Request Request = Core.modelRequest(Id);
    Request.m_PrefixHashes = {11, 12, 13};
    Request.m_PromptTokens = 200;
    Core.send(RequestArrived{Request});
    model::EndpointId Chosen = Core.last<StartAttempt>()->m_Endpoint;
    answer(Core, Core.started());
    return Chosen;
  };
  const model::Request Sample = Core.modelRequest(9);
  Core.send(CacheChanged{
      model::EndpointId("e2"), 1, cachedOf(Sample, {11, 12, 13}), {}, false});
  CHECK(Ask(1) == model::EndpointId("e2"));
  CHECK(Ask(2) == model::EndpointId("e2"));
  Core.send(CacheChanged{model::EndpointId("e2"), 2, {}, {}, true});
  Core.send(CacheChanged{
      model::EndpointId("e0"), 1, cachedOf(Sample, {11, 12}), {}, false});
  CHECK(Ask(3) == model::EndpointId("e0"));
}

TEST_CASE("a request that lands where no copy is driven is handed on once") {
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
  const StartAttempt *Start = Core.last<StartAttempt>();
  REQUIRE(Start != nullptr);
  CHECK(Start->m_ToNode);
  CHECK(Start->m_Endpoint.empty());
  model::Address First = Start->m_Address;
  Core.send(AttemptEnded{Core.started(), AttemptOutcome::NotSent, 0, ""});
  REQUIRE(Core.last<StartAttempt>() != nullptr);
  CHECK(Core.last<StartAttempt>()->m_ToNode);
  CHECK(Core.last<StartAttempt>()->m_Address != First);
  // A node that breaks is left alone as well, and its endpoint not blamed.
  Core.send(AttemptEnded{Core.started(), AttemptOutcome::Broken, 0, ""});
  REQUIRE(Core.last<StartAttempt>() != nullptr);
  CHECK_FALSE(Core.last<StartAttempt>()->m_ToNode);
  model::Request Forwarded = Core.modelRequest(2);
  Forwarded.m_Forwarded = true;
  Core.send(RequestArrived{Forwarded});
  REQUIRE(Core.last<StartAttempt>() != nullptr);
  CHECK_FALSE(Core.last<StartAttempt>()->m_ToNode);
}

TEST_CASE("every choice and refusal writes a decision") {
  TrafficFixture Core(smallInputs(3, 0));
  Core.send(RequestArrived{Core.modelRequest(1)});
  const model::Decision *Line = Core.last<model::Decision>();
  REQUIRE(Line != nullptr);
  CHECK(Line->m_Action == "route");
  CHECK(Line->m_RunnersUp.size() == 2);
  CHECK_FALSE(Line->m_Reason.empty());
  model::Request Unknown = Core.modelRequest(2);
  Unknown.m_Model = model::ModelId("none");
  Core.send(RequestArrived{Unknown});
  REQUIRE(Core.last<model::Decision>() != nullptr);
  CHECK(Core.last<model::Decision>()->m_Action == "refuse");
}

} // namespace bronzepass::unit_tests::routing
