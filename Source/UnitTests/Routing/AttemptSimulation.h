#ifndef BRONZEPASS_UNITTESTS_ROUTING_ATTEMPTSIMULATION_H
#define BRONZEPASS_UNITTESTS_ROUTING_ATTEMPTSIMULATION_H

#include "UnitTests/Routing/TrafficFixture.h"

#include <map>
#include <string>

namespace bronzepass::unit_tests::routing {

/// Simulates the endpoints, claims and callers around one traffic core, driven
/// by a list of numbers of which each one encodes an event. It tracks what
/// really ran and records the first rule that the core violates.
class AttemptSimulation {
public:
  AttemptSimulation() : m_Core(inputs()) {}

  void step(uint32_t Number) {
    uint32_t Action = Number % 16;
    uint32_t Which = Number / 16;
    if (Action < 3)
      addRequest(Which);
    else if (Action < 5)
      deliverVerdict(Which);
    else if (Action < 12)
      advanceAttempt(Which);
    else if (Action == 12)
      deliverStale(Which);
    else if (Action == 13)
      disconnectCaller(Which);
    else if (Action == 14)
      changeLiveness(Which);
    else
      advanceTime(Millisecond * (Which % 3000));
  }

  /// Lets every deadline and grace period pass, after which all requests must
  /// have ended.
  void finish() {
    deliver(TrafficStopRequested());
    advanceTime(70 * Second);
    advanceTime(70 * Second);
    for (auto &[Id, Each] : m_RequestStates) {
      if (Each.m_FinalAnswers != (Each.m_CallerLeft ? Each.m_FinalAnswers : 1))
        recordViolation("no final answer");
    }
    if (m_Core.m_Core.live() != 0 ||
        m_Core.allEffects<TrafficStopped>().size() != 1)
      recordViolation("requests left after the stop");
  }

  const std::string &firstViolation() const { return m_FirstViolation; }

private:
  struct RequestState {
    bool m_Repeatable = true;
    bool m_Keyed = false;
    bool m_Granted = false;
    bool m_AwaitsVerdict = false;
    bool m_CallerLeft = false;
    bool m_RefusedAsNotRun = false;
    uint32_t m_Runs = 0;
    uint32_t m_FinalAnswers = 0;
    uint64_t m_Relayed = 0;
    model::AttemptId m_LastAttempt;
  };
  struct Attempt {
    model::AttemptId m_Id;
    model::RequestId m_Request;
    uint64_t m_Offset = 0;
    bool m_Ran = false;
    bool m_HeadDelivered = false;
    bool m_Ended = false;
    bool m_Cancelled = false;
  };

  static RoutingInputs inputs() {
    RoutingInputs Inputs = smallInputs(3, 2);
    model::Intent Intent = *Inputs.m_Intent;
    Intent.m_Pools[0].m_CanResume = true;
    Inputs.m_Intent = std::make_shared<model::Intent>(Intent);
    for (int Index = 2; Index <= 6; ++Index)
      Inputs.m_Nodes.push_back(nodeNamed("n" + std::to_string(Index)));
    Inputs.m_Settings.m_DirectNodesPerEndpoint = 3;
    return Inputs;
  }

  void recordViolation(const char *Rule) {
    if (m_FirstViolation.empty())
      m_FirstViolation = Rule;
  }

  void addRequest(uint32_t Which) {
    uint64_t Id = ++m_LastRequest;
    bool Confirm = Which % 2 == 1;
    bool Keyed = Confirm && Which / 2 % 2 == 1;
    model::Request Request = Confirm
                                 ? m_Core.confirmRequest(Id, Keyed ? "k" : "")
                                 : m_Core.modelRequest(Id);
    Request.m_Deadline = m_Core.m_Now + Millisecond * (200 + Which % 5000);
    Request.m_Forwarded = Which % 7 == 0;
    RequestState &Each = m_RequestStates[{Id}];
    Each.m_Repeatable = !Confirm;
    Each.m_Keyed = Keyed && !Request.m_Forwarded;
    deliver(RequestArrived{Request, Id, Id});
  }

  void deliverVerdict(uint32_t Which) {
    for (auto &[Id, Each] : m_RequestStates) {
      if (!Each.m_AwaitsVerdict || Which-- % 4 != 0)
        continue;
      Each.m_AwaitsVerdict = false;
      auto Kind = static_cast<ports::ClaimVerdictKind>(
          Which % 11 < 6 ? 0 : Which % 11 - 6);
      Each.m_Granted = Kind == ports::ClaimVerdictKind::Granted;
      deliver(ports::ClaimVerdict{Id, Kind, 200, "kept"});
      return;
    }
  }

  /// Delivers the next event of one of the newest attempts.
  void advanceAttempt(uint32_t Which) {
    if (m_Attempts.empty())
      return;
    Attempt &Each = m_Attempts[m_Attempts.size() - 1 -
                               Which % std::min<size_t>(4, m_Attempts.size())];
    Which /= 4;
    if (Each.m_Ended)
      return;
    if (!Each.m_Ran) {
      startOrReject(Each, Which);
      return;
    }
    if (!Each.m_HeadDelivered) {
      Each.m_HeadDelivered = true;
      deliver(AttemptHead{Each.m_Id,
                          static_cast<uint16_t>(Which % 6 == 0 ? 503 : 200)});
      return;
    }
    switch (Which % 6) {
    case 0:
      endAttempt(Each, AttemptOutcome::Broken);
      return;
    case 1:
      endAttempt(Each, AttemptOutcome::Complete);
      return;
    case 2: // A duplicate chunk, or an engine that starts over.
      deliver(AttemptChunk{Each.m_Id, 0, 5, 1});
      return;
    case 3: // A chunk was lost.
      deliver(AttemptChunk{Each.m_Id, Each.m_Offset + 5, 5, 1});
      return;
    default:
      deliver(AttemptChunk{Each.m_Id, Each.m_Offset, 5, 1});
      Each.m_Offset += 5;
    }
  }

  void startOrReject(Attempt &Each, uint32_t Which) {
    if (Which % 6 == 0)
      endAttempt(Each, AttemptOutcome::NotSent);
    else if (Which % 6 == 1)
      endAttempt(Each, AttemptOutcome::Declined);
    else
      runAttempt(Each);
  }

  void runAttempt(Attempt &Each) {
    Each.m_Ran = true;
    RequestState &Request = m_RequestStates[Each.m_Request];
    ++Request.m_Runs;
    if (Request.m_RefusedAsNotRun)
      recordViolation("ran after a refusal as not run");
    if (Request.m_Runs > 1 && !Request.m_Repeatable)
      recordViolation("ran a non-repeatable request twice");
    if (Request.m_Keyed && !Request.m_Granted)
      recordViolation("ran without a granted claim");
  }

  void endAttempt(Attempt &Each, AttemptOutcome Outcome) {
    Each.m_Ended = true;
    deliver(AttemptEnded{Each.m_Id, Outcome, 200, "answer"});
  }

  /// Delivers an event of an attempt that has ended or was cancelled.
  void deliverStale(uint32_t Which) {
    if (m_Attempts.empty())
      return;
    Attempt &Each = m_Attempts[Which % m_Attempts.size()];
    if (!Each.m_Ended && !Each.m_Cancelled)
      return;
    if (Which % 3 == 0)
      deliver(AttemptHead{Each.m_Id, 200});
    else if (Which % 3 == 1)
      deliver(AttemptChunk{Each.m_Id, Each.m_Offset, 5, 1});
    else
      deliver(AttemptEnded{Each.m_Id, AttemptOutcome::Complete, 200, "late"});
  }

  void disconnectCaller(uint32_t Which) {
    model::RequestId Id{Which % (m_LastRequest + 1)};
    auto Found = m_RequestStates.find(Id);
    if (Found == m_RequestStates.end() || Found->second.m_FinalAnswers > 0)
      return;
    Found->second.m_CallerLeft = true;
    deliver(CallerDisconnected{Id});
  }

  void changeLiveness(uint32_t Which) {
    auto State = static_cast<model::Liveness>(Which / 8 % 4);
    model::EndpointId Name(Which % 5 < 3 ? "e" + std::to_string(Which % 5)
                                         : "s" + std::to_string(Which % 5 - 3));
    m_Core.m_Inputs.m_EndpointStates = {{Name, State}};
    deliver(TableChanged{RoutingTable::build(m_Core.m_Inputs)});
  }

  void advanceTime(model::Duration Span) {
    m_Core.m_Now += Span;
    deliver(TrafficTick());
  }

  void deliver(const TrafficEvent &Event) {
    TrafficEffectList Effects = m_Core.send(Event);
    for (const TrafficEffect &Effect : Effects)
      std::visit([this, &Event](const auto &Each) { check(Event, Each); },
                 Effect);
  }

  template <typename EffectT>
  void check(const TrafficEvent & /*Event*/, const EffectT & /*Effect*/) {}

  void check(const TrafficEvent & /*Event*/, const StartAttempt &Effect) {
    RequestState &Request = m_RequestStates[Effect.m_Request];
    if (Request.m_FinalAnswers > 0 || Request.m_CallerLeft)
      recordViolation("started an attempt after the request ended");
    if (Effect.m_ResumeOffset != Request.m_Relayed)
      recordViolation("resumed at an offset other than the bytes relayed");
    for (const Attempt &Each : m_Attempts) {
      if (Each.m_Request == Effect.m_Request && !Each.m_Ended &&
          !Each.m_Cancelled)
        recordViolation("two attempts at a time");
    }
    Request.m_LastAttempt = Effect.m_Attempt;
    m_Attempts.push_back(
        {Effect.m_Attempt, Effect.m_Request, Effect.m_ResumeOffset});
  }

  void check(const TrafficEvent & /*Event*/, const CancelAttempt &Effect) {
    for (Attempt &Each : m_Attempts)
      Each.m_Cancelled |= Each.m_Id == Effect.m_Attempt;
  }

  void check(const TrafficEvent & /*Event*/, const RelayHead &Effect) {
    checkRelay(Effect.m_Request, Effect.m_Attempt);
  }

  void check(const TrafficEvent &Event, const RelayChunk &Effect) {
    checkRelay(Effect.m_Request, Effect.m_Attempt);
    const auto &Chunk = std::get<AttemptChunk>(Event);
    RequestState &Request = m_RequestStates[Effect.m_Request];
    if (Chunk.m_Offset != Request.m_Relayed)
      recordViolation("relayed a chunk at the wrong offset");
    Request.m_Relayed += Chunk.m_Bytes;
  }

  void checkRelay(model::RequestId Id, model::AttemptId From) {
    RequestState &Request = m_RequestStates[Id];
    if (Request.m_LastAttempt != From)
      recordViolation("relayed from an attempt other than the latest");
    if (Request.m_FinalAnswers > 0 || Request.m_CallerLeft)
      recordViolation("relayed after the request ended");
  }

  void check(const TrafficEvent &Event, const FinishAnswer &Effect) {
    checkFinalAnswer(Effect.m_Request);
    const auto *Outcome = std::get_if<AttemptEnded>(&Event);
    if (Outcome == nullptr || Outcome->m_Outcome != AttemptOutcome::Complete ||
        Outcome->m_Attempt != m_RequestStates[Effect.m_Request].m_LastAttempt)
      recordViolation("finished without a complete answer");
  }

  void check(const TrafficEvent & /*Event*/, const RefuseRequest &Effect) {
    checkFinalAnswer(Effect.m_Request);
    checkRefusal(Effect.m_Request, Effect.m_Refusal);
    if (m_RequestStates[Effect.m_Request].m_Relayed > 0)
      recordViolation("refused after relaying a part of the answer");
  }

  void check(const TrafficEvent & /*Event*/, const BreakAnswer &Effect) {
    checkFinalAnswer(Effect.m_Request);
    checkRefusal(Effect.m_Request, Effect.m_Refusal);
  }

  void check(const TrafficEvent & /*Event*/, const ReplayAnswer &Effect) {
    checkFinalAnswer(Effect.m_Request);
  }

  void check(const TrafficEvent & /*Event*/,
             const ports::ClaimRequested &Effect) {
    m_RequestStates[Effect.m_Request].m_AwaitsVerdict = true;
  }

  void check(const TrafficEvent & /*Event*/, const ports::ClaimEnded &Effect) {
    if (Effect.m_State == model::ClaimState::Released &&
        m_RequestStates[Effect.m_Request].m_Runs > 0)
      recordViolation("released the claim of a request that ran");
  }

  void checkFinalAnswer(model::RequestId Id) {
    RequestState &Request = m_RequestStates[Id];
    if (++Request.m_FinalAnswers > 1)
      recordViolation("more than one final answer");
    if (Request.m_CallerLeft)
      recordViolation("answered a caller that had disconnected");
  }

  void checkRefusal(model::RequestId Id, const model::Refusal &Refusal) {
    RequestState &Request = m_RequestStates[Id];
    if (Refusal.m_RunState != model::RunState::NotRun)
      return;
    Request.m_RefusedAsNotRun = true;
    if (Request.m_Runs > 0)
      recordViolation("refused as not run after a run");
  }

  TrafficFixture m_Core;
  std::map<model::RequestId, RequestState> m_RequestStates;
  std::vector<Attempt> m_Attempts;
  uint64_t m_LastRequest = 0;
  std::string m_FirstViolation;
};

} // namespace bronzepass::unit_tests::routing

#endif // BRONZEPASS_UNITTESTS_ROUTING_ATTEMPTSIMULATION_H
