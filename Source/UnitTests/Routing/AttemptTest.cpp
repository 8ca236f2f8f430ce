#include "UnitTests/Routing/TrafficFixture.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::routing {

TEST_CASE("a whole stream is relayed and ended once") {
  TrafficFixture Core(smallInputs(2, 0));
  Core.send(RequestArrived{Core.modelRequest(1)});
  model::AttemptId Attempt = Core.started();
  REQUIRE(Attempt);
  Core.send(AttemptHead{Attempt, 200});
  CHECK(Core.last<RelayHead>() != nullptr);
  Core.send(AttemptChunk{Attempt, 0, 10, 2});
  CHECK(Core.last<RelayChunk>() != nullptr);
  Core.send(AttemptEnded{Attempt, AttemptOutcome::Complete, 200, ""});
  CHECK(Core.last<FinishAnswer>() != nullptr);
  CHECK(Core.m_Core.live() == 0);
}

TEST_CASE("pieces of a dropped attempt never reach the caller") {
  TrafficFixture Core(smallInputs(2, 0));
  Core.send(RequestArrived{Core.modelRequest(1)});
  model::AttemptId First = Core.started();
  Core.send(AttemptEnded{First, AttemptOutcome::Broken, 0, ""});
  model::AttemptId Second = Core.started();
  REQUIRE(Second);
  Core.send(AttemptHead{First, 200});
  CHECK(Core.last<RelayHead>() == nullptr);
  Core.send(AttemptHead{Second, 200});
  CHECK(Core.last<RelayHead>() != nullptr);
  Core.send(AttemptChunk{First, 0, 5, 1});
  CHECK(Core.last<RelayChunk>() == nullptr);
  Core.send(AttemptChunk{Second, 0, 5, 1});
  Core.send(AttemptChunk{Second, 0, 5, 1});
  CHECK(Core.last<RelayChunk>() == nullptr);
  Core.send(AttemptEnded{First, AttemptOutcome::Complete, 200, ""});
  CHECK(Core.last<FinishAnswer>() == nullptr);
  CHECK(Core.m_Core.counts().m_StaleDropped == 4);
}

TEST_CASE("half a stream is broken visibly, not ended or started anew") {
  TrafficFixture Core(smallInputs(2, 0));
  Core.send(RequestArrived{Core.modelRequest(1)});
  model::AttemptId Attempt = Core.started();
  Core.send(AttemptHead{Attempt, 200});
  Core.send(AttemptChunk{Attempt, 0, 10, 2});
  Core.send(AttemptEnded{Attempt, AttemptOutcome::Broken, 200, ""});
  CHECK(Core.last<StartAttempt>() == nullptr);
  REQUIRE(Core.last<BreakAnswer>() != nullptr);
  CHECK(
      (Core.last<BreakAnswer>()->m_Refusal.m_RunState == model::RunState::Ran));
}

TEST_CASE("a stream resumes behind the last byte relayed, or breaks") {
  RoutingInputs Inputs = smallInputs(2, 0);
  model::Intent Intent = *Inputs.m_Intent;
  Intent.m_Pools[0].m_CanResume = true;
  Inputs.m_Intent = std::make_shared<model::Intent>(Intent);
  TrafficFixture Core(Inputs);
  Core.send(RequestArrived{Core.modelRequest(1)});
  StartAttempt First = *Core.last<StartAttempt>();
  Core.send(AttemptHead{First.m_Attempt, 200});
  Core.send(AttemptChunk{First.m_Attempt, 0, 10, 2});
  Core.send(AttemptEnded{First.m_Attempt, AttemptOutcome::Broken, 200, ""});
  REQUIRE(Core.last<StartAttempt>() != nullptr);
  StartAttempt Second = *Core.last<StartAttempt>();
  CHECK(Second.m_Endpoint == First.m_Endpoint);
  CHECK(Second.m_ResumeOffset == 10);
  Core.send(AttemptHead{Second.m_Attempt, 206});
  CHECK(Core.last<RelayHead>() == nullptr);
  SUBCASE("at the exact offset") {
    Core.send(AttemptChunk{Second.m_Attempt, 10, 4, 1});
    CHECK(Core.last<RelayChunk>() != nullptr);
    Core.send(
        AttemptEnded{Second.m_Attempt, AttemptOutcome::Complete, 200, ""});
    CHECK(Core.last<FinishAnswer>() != nullptr);
  }
  SUBCASE("an engine that begins anew would join two texts") {
    Core.send(AttemptChunk{Second.m_Attempt, 0, 14, 3});
    CHECK(Core.last<RelayChunk>() == nullptr);
    CHECK(Core.last<CancelAttempt>() != nullptr);
    CHECK(Core.last<BreakAnswer>() != nullptr);
    CHECK(Core.last<StartAttempt>() == nullptr);
  }
}

TEST_CASE("a call that must not be repeated is not retried after a byte left") {
  TrafficFixture Core(smallInputs(0, 2));
  Core.send(RequestArrived{Core.confirmRequest(1, "")});
  REQUIRE(Core.last<StartAttempt>() != nullptr);
  CHECK(Core.last<StartAttempt>()->m_FreshConnection);
  model::AttemptId Attempt = Core.started();
  SUBCASE("read time-out") {
    Core.send(AttemptEnded{Attempt, AttemptOutcome::Broken, 0, ""});
    CHECK(Core.last<StartAttempt>() == nullptr);
    REQUIRE(Core.last<RefuseRequest>() != nullptr);
    CHECK((Core.last<RefuseRequest>()->m_Refusal.m_RunState ==
           model::RunState::Unknown));
  }
  SUBCASE("connect time-out") {
    Core.send(AttemptEnded{Attempt, AttemptOutcome::NotSent, 0, ""});
    CHECK(Core.last<StartAttempt>() != nullptr);
    CHECK(Core.last<ports::EndpointSeen>()->m_Refused);
  }
  SUBCASE("an error head without proof") {
    Core.send(AttemptHead{Attempt, 503});
    CHECK(Core.last<StartAttempt>() == nullptr);
    CHECK(Core.last<RelayHead>() != nullptr);
  }
}

TEST_CASE("a keyed call runs only under its claim") {
  TrafficFixture Core(smallInputs(0, 1));
  Core.send(RequestArrived{Core.confirmRequest(1, "k"), 11, 12});
  CHECK(Core.last<StartAttempt>() == nullptr);
  REQUIRE(Core.last<ports::ClaimWanted>() != nullptr);
  SUBCASE("granted, and its outcome recorded") {
    Core.send(ports::ClaimVerdict{{1}, ports::ClaimVerdictKind::Granted});
    model::AttemptId Attempt = Core.started();
    REQUIRE(Attempt);
    Core.send(AttemptHead{Attempt, 200});
    Core.send(AttemptEnded{Attempt, AttemptOutcome::Complete, 200, "booked"});
    REQUIRE(Core.last<ports::ClaimEnded>() != nullptr);
    CHECK(Core.last<ports::ClaimEnded>()->m_State == model::ClaimState::Done);
    CHECK(Core.last<ports::ClaimEnded>()->m_Answer == "booked");
  }
  SUBCASE("a lost outcome leaves the claim taken") {
    Core.send(ports::ClaimVerdict{{1}, ports::ClaimVerdictKind::Granted});
    Core.send(AttemptEnded{Core.started(), AttemptOutcome::Broken, 0, ""});
    CHECK((Core.last<RefuseRequest>()->m_Refusal.m_RunState ==
           model::RunState::Unknown));
    CHECK(Core.all<ports::ClaimEnded>().empty());
  }
  SUBCASE("the window passes first, then the grant comes late") {
    Core.pass(11 * Second);
    REQUIRE(Core.last<RefuseRequest>() != nullptr);
    CHECK((Core.last<RefuseRequest>()->m_Refusal.m_RunState ==
           model::RunState::NotRun));
    Core.send(ports::ClaimVerdict{{1}, ports::ClaimVerdictKind::Granted});
    CHECK(Core.last<StartAttempt>() == nullptr);
    REQUIRE(Core.last<ports::ClaimEnded>() != nullptr);
    CHECK(Core.last<ports::ClaimEnded>()->m_State ==
          model::ClaimState::Released);
  }
  SUBCASE("the caller is answered at its deadline, the outcome still counts") {
    Core.send(ports::ClaimVerdict{{1}, ports::ClaimVerdictKind::Granted});
    model::AttemptId Attempt = Core.started();
    Core.pass(10 * Second);
    REQUIRE(Core.last<RefuseRequest>() != nullptr);
    CHECK((Core.last<RefuseRequest>()->m_Refusal.m_RunState ==
           model::RunState::Unknown));
    CHECK(Core.last<CancelAttempt>() == nullptr);
    Core.send(AttemptHead{Attempt, 200});
    CHECK(Core.last<RelayHead>() == nullptr);
    Core.send(AttemptEnded{Attempt, AttemptOutcome::Complete, 200, "booked"});
    REQUIRE(Core.last<ports::ClaimEnded>() != nullptr);
    CHECK(Core.last<FinishAnswer>() == nullptr);
  }
  SUBCASE("a repeat gets the first one's answer") {
    Core.send(
        ports::ClaimVerdict{{1}, ports::ClaimVerdictKind::Done, 200, "booked"});
    CHECK(Core.last<StartAttempt>() == nullptr);
    CHECK(Core.last<ReplayAnswer>()->m_Answer == "booked");
  }
}

TEST_CASE("a stopping node refuses new requests and finishes its own") {
  TrafficFixture Core(smallInputs(1, 0));
  Core.send(RequestArrived{Core.modelRequest(1)});
  model::AttemptId Attempt = Core.started();
  Core.send(TrafficStopRequested());
  CHECK(Core.last<TrafficStopped>() == nullptr);
  Core.send(RequestArrived{Core.modelRequest(2)});
  CHECK((Core.last<RefuseRequest>()->m_Refusal.m_Reason ==
         model::RefusalReason::Stopping));
  Core.send(AttemptHead{Attempt, 200});
  Core.send(AttemptEnded{Attempt, AttemptOutcome::Complete, 200, ""});
  CHECK(Core.last<FinishAnswer>() != nullptr);
  CHECK(Core.last<TrafficStopped>() != nullptr);
}

TEST_CASE("a caller that leaves cancels its attempt") {
  TrafficFixture Core(smallInputs(1, 0));
  Core.send(RequestArrived{Core.modelRequest(1)});
  Core.send(CallerDisconnected{{1}});
  CHECK(Core.last<CancelAttempt>() != nullptr);
  CHECK(Core.m_Core.live() == 0);
}

} // namespace bronzepass::unit_tests::routing
