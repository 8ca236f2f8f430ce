#ifndef BRONZEPASS_UNITTESTS_ROUTING_ATTEMPTWORLD_H
#define BRONZEPASS_UNITTESTS_ROUTING_ATTEMPTWORLD_H

#include "UnitTests/Routing/TrafficFixture.h"

#include <map>
#include <string>

namespace bronzepass::unit_tests::routing {

/// Endpoints, claims and callers around one traffic core, driven by a list of
/// numbers: each number is one thing that happens. It knows the truth of what
/// ran and notes the first rule that the core breaks.
class AttemptWorld {
public:
  AttemptWorld() : m_Core(inputs()) {}

  void step(uint32_t Number) {
    uint32_t What = Number % 16;
    uint32_t Which = Number / 16;
    if (What < 3)
      arrive(Which);
    else if (What < 5)
      verdict(Which);
    else if (What < 12)
      progress(Which);
    else if (What == 12)
      late(Which);
    else if (What == 13)
      leave(Which);
    else if (What == 14)
      flipEndpoint(Which);
    else
      pass(Millisecond * (Which % 3000));
  }

  /// Lets every window and grace pass: all must have its end by then.
  void finish() {
    deliver(TrafficStopRequested());
    pass(70 * Second);
    pass(70 * Second);
    for (auto &[Id, Each] : m_Truths) {
      if (Each.m_Finals != (Each.m_Left ? Each.m_Finals : 1))
        fault("no final answer");
    }
    if (m_Core.m_Core.live() != 0 || m_Core.all<TrafficStopped>().size() != 1)
      fault("not empty after its stop");
  }

  const std::string &firstFault() const { return m_Fault; }

private:
  struct Truth {
    bool m_Repeatable = true;
    bool m_Keyed = false;
    bool m_Granted = false;
    bool m_VerdictDue = false;
    bool m_Left = false;
    bool m_ToldNotRun = false;
    uint32_t m_Runs = 0;
    uint32_t m_Finals = 0;
    uint64_t m_Relayed = 0;
    model::AttemptId m_Last;
  };
  struct Attempt {
    model::AttemptId m_Id;
    model::RequestId m_Request;
    uint64_t m_Offset = 0;
    bool m_Ran = false;
    bool m_Head = false;
    bool m_Over = false;
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

  void fault(const char *What) {
    if (m_Fault.empty())
      m_Fault = What;
  }

  void arrive(uint32_t Which) {
    uint64_t Id = ++m_LastRequest;
    bool Confirm = Which % 2 == 1;
    bool Keyed = Confirm && Which / 2 % 2 == 1;
    model::Request Request = Confirm
                                 ? m_Core.confirmRequest(Id, Keyed ? "k" : "")
                                 : m_Core.modelRequest(Id);
    Request.m_Deadline = m_Core.m_Now + Millisecond * (200 + Which % 5000);
    Request.m_Forwarded = Which % 7 == 0;
    Truth &Each = m_Truths[{Id}];
    Each.m_Repeatable = !Confirm;
    Each.m_Keyed = Keyed && !Request.m_Forwarded;
    deliver(RequestArrived{Request, Id, Id});
  }

  void verdict(uint32_t Which) {
    for (auto &[Id, Each] : m_Truths) {
      if (!Each.m_VerdictDue || Which-- % 4 != 0)
        continue;
      Each.m_VerdictDue = false;
      auto Kind = static_cast<ports::ClaimVerdictKind>(
          Which % 11 < 6 ? 0 : Which % 11 - 6);
      Each.m_Granted = Kind == ports::ClaimVerdictKind::Granted;
      deliver(ports::ClaimVerdict{Id, Kind, 200, "kept"});
      return;
    }
  }

  /// The next thing that an attempt under way does.
  void progress(uint32_t Which) {
    if (m_Attempts.empty())
      return;
    Attempt &Each = m_Attempts[m_Attempts.size() - 1 -
                               Which % std::min<size_t>(4, m_Attempts.size())];
    Which /= 4;
    if (Each.m_Over)
      return;
    if (!Each.m_Ran) {
      begin(Each, Which);
      return;
    }
    if (!Each.m_Head) {
      Each.m_Head = true;
      deliver(AttemptHead{Each.m_Id,
                          static_cast<uint16_t>(Which % 6 == 0 ? 503 : 200)});
      return;
    }
    switch (Which % 6) {
    case 0:
      end(Each, AttemptOutcome::Broken);
      return;
    case 1:
      end(Each, AttemptOutcome::Complete);
      return;
    case 2: // A piece that comes twice, or an engine that begins anew.
      deliver(AttemptChunk{Each.m_Id, 0, 5, 1});
      return;
    case 3: // A piece was lost.
      deliver(AttemptChunk{Each.m_Id, Each.m_Offset + 5, 5, 1});
      return;
    default:
      deliver(AttemptChunk{Each.m_Id, Each.m_Offset, 5, 1});
      Each.m_Offset += 5;
    }
  }

  void begin(Attempt &Each, uint32_t Which) {
    if (Which % 6 == 0)
      end(Each, AttemptOutcome::NotSent);
    else if (Which % 6 == 1)
      end(Each, AttemptOutcome::Declined);
    else
      run(Each);
  }

  void run(Attempt &Each) {
    Each.m_Ran = true;
    Truth &Request = m_Truths[Each.m_Request];
    ++Request.m_Runs;
    if (Request.m_ToldNotRun)
      fault("told not run, then ran");
    if (Request.m_Runs > 1 && !Request.m_Repeatable)
      fault("ran twice");
    if (Request.m_Keyed && !Request.m_Granted)
      fault("ran without its claim");
  }

  void end(Attempt &Each, AttemptOutcome How) {
    Each.m_Over = true;
    deliver(AttemptEnded{Each.m_Id, How, 200, "answer"});
  }

  /// A piece of any attempt there ever was comes late.
  void late(uint32_t Which) {
    if (m_Attempts.empty())
      return;
    Attempt &Each = m_Attempts[Which % m_Attempts.size()];
    if (!Each.m_Over && !Each.m_Cancelled)
      return;
    if (Which % 3 == 0)
      deliver(AttemptHead{Each.m_Id, 200});
    else if (Which % 3 == 1)
      deliver(AttemptChunk{Each.m_Id, Each.m_Offset, 5, 1});
    else
      deliver(AttemptEnded{Each.m_Id, AttemptOutcome::Complete, 200, "late"});
  }

  void leave(uint32_t Which) {
    model::RequestId Id{Which % (m_LastRequest + 1)};
    auto Found = m_Truths.find(Id);
    if (Found == m_Truths.end() || Found->second.m_Finals > 0)
      return;
    Found->second.m_Left = true;
    deliver(CallerDisconnected{Id});
  }

  void flipEndpoint(uint32_t Which) {
    auto State = static_cast<model::Liveness>(Which / 8 % 4);
    model::EndpointId Name(Which % 5 < 3 ? "e" + std::to_string(Which % 5)
                                         : "s" + std::to_string(Which % 5 - 3));
    m_Core.m_Inputs.m_EndpointStates = {{Name, State}};
    deliver(TableChanged{RoutingTable::build(m_Core.m_Inputs)});
  }

  void pass(model::Duration Span) {
    m_Core.m_Now += Span;
    deliver(TrafficTick());
  }

  void deliver(const TrafficEvent &Event) {
    TrafficEffectList Effects = m_Core.send(Event);
    for (const TrafficEffect &Effect : Effects)
      std::visit([this, &Event](const auto &Each) { see(Event, Each); },
                 Effect);
  }

  template <typename EffectT>
  void see(const TrafficEvent & /*Event*/, const EffectT & /*Effect*/) {}

  void see(const TrafficEvent & /*Event*/, const StartAttempt &Effect) {
    Truth &Request = m_Truths[Effect.m_Request];
    if (Request.m_Finals > 0 || Request.m_Left)
      fault("started after its end");
    if (Effect.m_ResumeOffset != Request.m_Relayed)
      fault("would join two texts");
    for (const Attempt &Each : m_Attempts) {
      if (Each.m_Request == Effect.m_Request && !Each.m_Over &&
          !Each.m_Cancelled)
        fault("two live attempts");
    }
    Request.m_Last = Effect.m_Attempt;
    m_Attempts.push_back(
        {Effect.m_Attempt, Effect.m_Request, Effect.m_ResumeOffset});
  }

  void see(const TrafficEvent & /*Event*/, const CancelAttempt &Effect) {
    for (Attempt &Each : m_Attempts)
      Each.m_Cancelled |= Each.m_Id == Effect.m_Attempt;
  }

  void see(const TrafficEvent & /*Event*/, const RelayHead &Effect) {
    relayed(Effect.m_Request, Effect.m_Attempt);
  }

  void see(const TrafficEvent &Event, const RelayChunk &Effect) {
    relayed(Effect.m_Request, Effect.m_Attempt);
    const auto &Piece = std::get<AttemptChunk>(Event);
    Truth &Request = m_Truths[Effect.m_Request];
    if (Piece.m_Offset != Request.m_Relayed)
      fault("relayed a piece out of place");
    Request.m_Relayed += Piece.m_Bytes;
  }

  void relayed(model::RequestId Id, model::AttemptId From) {
    Truth &Request = m_Truths[Id];
    if (Request.m_Last != From)
      fault("relayed from another attempt");
    if (Request.m_Finals > 0 || Request.m_Left)
      fault("relayed after its end");
  }

  void see(const TrafficEvent &Event, const FinishAnswer &Effect) {
    ended(Effect.m_Request);
    const auto *How = std::get_if<AttemptEnded>(&Event);
    if (How == nullptr || How->m_Outcome != AttemptOutcome::Complete ||
        How->m_Attempt != m_Truths[Effect.m_Request].m_Last)
      fault("finished without a whole answer");
  }

  void see(const TrafficEvent & /*Event*/, const RefuseRequest &Effect) {
    ended(Effect.m_Request);
    refused(Effect.m_Request, Effect.m_Refusal);
    if (m_Truths[Effect.m_Request].m_Relayed > 0)
      fault("refused after a part of the answer");
  }

  void see(const TrafficEvent & /*Event*/, const BreakAnswer &Effect) {
    ended(Effect.m_Request);
    refused(Effect.m_Request, Effect.m_Refusal);
  }

  void see(const TrafficEvent & /*Event*/, const ReplayAnswer &Effect) {
    ended(Effect.m_Request);
  }

  void see(const TrafficEvent & /*Event*/, const ports::ClaimWanted &Effect) {
    m_Truths[Effect.m_Request].m_VerdictDue = true;
  }

  void see(const TrafficEvent & /*Event*/, const ports::ClaimEnded &Effect) {
    if (Effect.m_State == model::ClaimState::Released &&
        m_Truths[Effect.m_Request].m_Runs > 0)
      fault("released a claim that ran");
  }

  void ended(model::RequestId Id) {
    Truth &Request = m_Truths[Id];
    if (++Request.m_Finals > 1)
      fault("two final answers");
    if (Request.m_Left)
      fault("answered a caller that left");
  }

  void refused(model::RequestId Id, const model::Refusal &Refusal) {
    Truth &Request = m_Truths[Id];
    if (Refusal.m_RunState != model::RunState::NotRun)
      return;
    Request.m_ToldNotRun = true;
    if (Request.m_Runs > 0)
      fault("told not run of a run");
  }

  TrafficFixture m_Core;
  std::map<model::RequestId, Truth> m_Truths;
  std::vector<Attempt> m_Attempts;
  uint64_t m_LastRequest = 0;
  std::string m_Fault;
};

} // namespace bronzepass::unit_tests::routing

#endif // BRONZEPASS_UNITTESTS_ROUTING_ATTEMPTWORLD_H
