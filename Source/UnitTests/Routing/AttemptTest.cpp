#include "UnitTests/Routing/TrafficFixture.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::routing {

TEST_CASE("a complete stream is relayed and finished once") {
  TrafficFixture Core(smallInputs(2, 0));
  Core.send(RequestArrived{Core.modelRequest(1)});
  model::AttemptId Attempt = Core.startedAttempt();
  REQUIRE(Attempt);
  Core.send(AttemptHead{Attempt, 200});
  CHECK(Core.effect<RelayHead>() != nullptr);
  Core.send(AttemptChunk{Attempt, 0, 10, 2});
  CHECK(Core.effect<RelayChunk>() != nullptr);
  Core.send(AttemptEnded{Attempt, AttemptOutcome::Complete, 200, ""});
  CHECK(Core.effect<FinishAnswer>() != nullptr);
  CHECK(Core.m_Core.live() == 0);
}

TEST_CASE("chunks of an abandoned attempt never reach the caller") {
  TrafficFixture Core(smallInputs(2, 0));
  Core.send(RequestArrived{Core.modelRequest(1)});
  model::AttemptId First = Core.startedAttempt();
  Core.send(AttemptEnded{First, AttemptOutcome::Broken, 0, ""});
  model::AttemptId Second = Core.startedAttempt();
  REQUIRE(Second);
  Core.send(AttemptHead{First, 200});
  CHECK(Core.effect<RelayHead>() == nullptr);
  Core.send(AttemptHead{Second, 200});
  CHECK(Core.effect<RelayHead>() != nullptr);
  Core.send(AttemptChunk{First, 0, 5, 1});
  CHECK(Core.effect<RelayChunk>() == nullptr);
  Core.send(AttemptChunk{Second, 0, 5, 1});
  Core.send(AttemptChunk{Second, 0, 5, 1});
  CHECK(Core.effect<RelayChunk>() == nullptr);
  Core.send(AttemptEnded{First, AttemptOutcome::Complete, 200, ""});
  CHECK(Core.effect<FinishAnswer>() == nullptr);
  CHECK(Core.m_Core.counts().m_StaleDropped == 4);
}

TEST_CASE("a partial stream is broken visibly, not finished or restarted") {
  TrafficFixture Core(smallInputs(2, 0));
  Core.send(RequestArrived{Core.modelRequest(1)});
  model::AttemptId Attempt = Core.startedAttempt();
  Core.send(AttemptHead{Attempt, 200});
  Core.send(AttemptChunk{Attempt, 0, 10, 2});
  Core.send(AttemptEnded{Attempt, AttemptOutcome::Broken, 200, ""});
  CHECK(Core.effect<StartAttempt>() == nullptr);
  REQUIRE(Core.effect<BreakAnswer>() != nullptr);
  CHECK((Core.effect<BreakAnswer>()->m_Refusal.m_RunState ==
         model::RunState::Ran));
}

TEST_CASE("a stream resumes after the last byte relayed, or breaks") {
  RoutingInputs Inputs = smallInputs(2, 0);
  model::Intent Intent = *Inputs.m_Intent;
  Intent.m_Pools[0].m_CanResume = true;
  Inputs.m_Intent = std::make_shared<model::Intent>(Intent);
  TrafficFixture Core(Inputs);
  Core.send(RequestArrived{Core.modelRequest(1)});
  StartAttempt First = *Core.effect<StartAttempt>();
  Core.send(AttemptHead{First.m_Attempt, 200});
  Core.send(AttemptChunk{First.m_Attempt, 0, 10, 2});
  Core.send(AttemptEnded{First.m_Attempt, AttemptOutcome::Broken, 200, ""});
  REQUIRE(Core.effect<StartAttempt>() != nullptr);
  StartAttempt Second = *Core.effect<StartAttempt>();
  CHECK(Second.m_Endpoint == First.m_Endpoint);
  CHECK(Second.m_ResumeOffset == 10);
  Core.send(AttemptHead{Second.m_Attempt, 206});
  CHECK(Core.effect<RelayHead>() == nullptr);
  SUBCASE("at the exact offset") {
    Core.send(AttemptChunk{Second.m_Attempt, 10, 4, 1});
    CHECK(Core.effect<RelayChunk>() != nullptr);
    Core.send(
        AttemptEnded{Second.m_Attempt, AttemptOutcome::Complete, 200, ""});
    CHECK(Core.effect<FinishAnswer>() != nullptr);
  }
  SUBCASE("an engine that starts over breaks the stream") {
    Core.send(AttemptChunk{Second.m_Attempt, 0, 14, 3});
    CHECK(Core.effect<RelayChunk>() == nullptr);
    CHECK(Core.effect<CancelAttempt>() != nullptr);
    CHECK(Core.effect<BreakAnswer>() != nullptr);
    CHECK(Core.effect<StartAttempt>() == nullptr);
  }
}

TEST_CASE("a non-repeatable call is not retried after a byte was sent") {
  TrafficFixture Core(smallInputs(0, 2));
  Core.send(RequestArrived{Core.confirmRequest(1, "")});
  REQUIRE(Core.effect<StartAttempt>() != nullptr);
  CHECK(Core.effect<StartAttempt>()->m_FreshConnection);
  model::AttemptId Attempt = Core.startedAttempt();
  SUBCASE("read timeout") {
    Core.send(AttemptEnded{Attempt, AttemptOutcome::Broken, 0, ""});
    CHECK(Core.effect<StartAttempt>() == nullptr);
    REQUIRE(Core.effect<RefuseRequest>() != nullptr);
    CHECK((Core.effect<RefuseRequest>()->m_Refusal.m_RunState ==
           model::RunState::Unknown));
  }
  SUBCASE("connect timeout") {
    Core.send(AttemptEnded{Attempt, AttemptOutcome::NotSent, 0, ""});
    CHECK(Core.effect<StartAttempt>() != nullptr);
    CHECK(Core.effect<ports::EndpointObserved>()->m_Refused);
  }
  SUBCASE("an error response that does not prove that the call did not run") {
    Core.send(AttemptHead{Attempt, 503});
    CHECK(Core.effect<StartAttempt>() == nullptr);
    CHECK(Core.effect<RelayHead>() != nullptr);
  }
}

TEST_CASE("a call with an idempotency key runs only with its claim granted") {
  TrafficFixture Core(smallInputs(0, 1));
  Core.send(RequestArrived{Core.confirmRequest(1, "k"), 11, 12});
  CHECK(Core.effect<StartAttempt>() == nullptr);
  REQUIRE(Core.effect<ports::ClaimRequested>() != nullptr);
  SUBCASE("a granted call records its outcome") {
    Core.send(ports::ClaimVerdict{{1}, ports::ClaimVerdictKind::Granted});
    model::AttemptId Attempt = Core.startedAttempt();
    REQUIRE(Attempt);
    Core.send(AttemptHead{Attempt, 200});
    Core.send(AttemptEnded{Attempt, AttemptOutcome::Complete, 200, "booked"});
    REQUIRE(Core.effect<ports::ClaimEnded>() != nullptr);
    CHECK(Core.effect<ports::ClaimEnded>()->m_State == model::ClaimState::Done);
    CHECK(Core.effect<ports::ClaimEnded>()->m_Answer == "booked");
  }
  SUBCASE("a lost outcome leaves the claim taken") {
    Core.send(ports::ClaimVerdict{{1}, ports::ClaimVerdictKind::Granted});
    Core.send(
        AttemptEnded{Core.startedAttempt(), AttemptOutcome::Broken, 0, ""});
    CHECK((Core.effect<RefuseRequest>()->m_Refusal.m_RunState ==
           model::RunState::Unknown));
    CHECK(Core.allEffects<ports::ClaimEnded>().empty());
  }
  SUBCASE("a claim granted after the deadline is released") {
    Core.advanceTime(11 * Second);
    REQUIRE(Core.effect<RefuseRequest>() != nullptr);
    CHECK((Core.effect<RefuseRequest>()->m_Refusal.m_RunState ==
           model::RunState::NotRun));
    Core.send(ports::ClaimVerdict{{1}, ports::ClaimVerdictKind::Granted});
    CHECK(Core.effect<StartAttempt>() == nullptr);
    REQUIRE(Core.effect<ports::ClaimEnded>() != nullptr);
    CHECK(Core.effect<ports::ClaimEnded>()->m_State ==
          model::ClaimState::Released);
  }
  SUBCASE("an outcome after the caller's deadline is still recorded") {
    Core.send(ports::ClaimVerdict{{1}, ports::ClaimVerdictKind::Granted});
    model::AttemptId Attempt = Core.startedAttempt();
    Core.advanceTime(10 * Second);
    REQUIRE(Core.effect<RefuseRequest>() != nullptr);
    CHECK((Core.effect<RefuseRequest>()->m_Refusal.m_RunState ==
           model::RunState::Unknown));
    CHECK(Core.effect<CancelAttempt>() == nullptr);
    Core.send(AttemptHead{Attempt, 200});
    CHECK(Core.effect<RelayHead>() == nullptr);
    Core.send(AttemptEnded{Attempt, AttemptOutcome::Complete, 200, "booked"});
    REQUIRE(Core.effect<ports::ClaimEnded>() != nullptr);
    CHECK(Core.effect<FinishAnswer>() == nullptr);
  }
  SUBCASE("a repeat gets the answer of the first call") {
    Core.send(
        ports::ClaimVerdict{{1}, ports::ClaimVerdictKind::Done, 200, "booked"});
    CHECK(Core.effect<StartAttempt>() == nullptr);
    CHECK(Core.effect<ReplayAnswer>()->m_Answer == "booked");
  }
}

TEST_CASE("a stopping node refuses new requests and finishes accepted ones") {
  TrafficFixture Core(smallInputs(1, 0));
  Core.send(RequestArrived{Core.modelRequest(1)});
  model::AttemptId Attempt = Core.startedAttempt();
  Core.send(TrafficStopRequested());
  CHECK(Core.effect<TrafficStopped>() == nullptr);
  Core.send(RequestArrived{Core.modelRequest(2)});
  CHECK((Core.effect<RefuseRequest>()->m_Refusal.m_Reason ==
         model::RefusalReason::Stopping));
  Core.send(AttemptHead{Attempt, 200});
  Core.send(AttemptEnded{Attempt, AttemptOutcome::Complete, 200, ""});
  CHECK(Core.effect<FinishAnswer>() != nullptr);
  CHECK(Core.effect<TrafficStopped>() != nullptr);
}

TEST_CASE("the attempt of a caller that disconnects is cancelled") {
  TrafficFixture Core(smallInputs(1, 0));
  Core.send(RequestArrived{Core.modelRequest(1)});
  Core.send(CallerDisconnected{{1}});
  CHECK(Core.effect<CancelAttempt>() != nullptr);
  CHECK(Core.m_Core.live() == 0);
}

} // namespace bronzepass::unit_tests::routing
