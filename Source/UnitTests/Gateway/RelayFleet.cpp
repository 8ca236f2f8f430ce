#include "UnitTests/Gateway/RelayFleet.h"

#include <algorithm>
#include <utility>

namespace bronzepass::unit_tests {

namespace {

using namespace std::chrono_literals;

constexpr model::Duration NetworkDelay = 2ms;
constexpr model::Duration TimeToFirstChunk = 40ms;
constexpr model::Duration NoticePeriod = 200ms;
constexpr uint32_t TokensPerPart = 200;
/// Of the port at which the first node takes requests that others forward.
constexpr uint16_t FirstPort = 1000;
constexpr const char *ResumablePath = "/resume/";
constexpr const char *FirstVersion = "v1";

} // namespace

RelayFleet::RelayFleet(uint64_t Seed, Settings Chosen)
    : m_Settings(std::move(Chosen)), m_Random(Seed),
      m_Queue(m_Settings.m_Queue) {
  for (size_t I = 0; I < m_Settings.m_Engines; ++I)
    startEngine(FirstVersion);
  m_Nodes.resize(m_Settings.m_Nodes);
  for (size_t I = 0; I < m_Nodes.size(); ++I)
    startNode(I);
  publishEngines();
}

void RelayFleet::schedule(model::Duration Delay, std::function<void()> Run) {
  m_Events.emplace(m_Now + Delay, Event{0, std::move(Run)});
}

bool RelayFleet::crashesEngines(const Asked &Request) const {
  if (Request.m_Fingerprint &&
      m_Settings.m_CrashingFingerprints.contains(*Request.m_Fingerprint))
    return true;
  return std::any_of(
      Request.m_Parts.begin(), Request.m_Parts.end(),
      [&](uint64_t Part) { return m_Settings.m_CrashingParts.contains(Part); });
}

void RelayFleet::askFor(size_t Index, const Request &Asked) {
  Node &To = *m_Nodes[Index];
  gateway::RelayRequest Request;
  Request.m_Number = {++To.m_Relay.m_Last};
  Request.m_CallerRequestId = "caller-" + std::to_string(m_Asked.size());
  if (Asked.m_Resumes) {
    Request.m_IsResumption = true;
    Request.m_FirstAttempt = "caller-" + std::to_string(*Asked.m_Resumes);
  }
  Request.m_Host = "h";
  Request.m_Path = Asked.m_Path;
  Request.m_BeganAt = m_Now;
  Request.m_ModelRef = {Asked.m_Model, ""};
  Request.m_Fingerprint = Asked.m_Fingerprint;
  for (const uint64_t Part : Asked.m_Parts) {
    Request.m_Prompt.push_back({Part, TokensPerPart});
    Request.m_PromptTokens += TokensPerPart;
  }
  To.m_Requests[Request.m_Number] = m_Asked.size();
  if (Asked.m_Path == ResumablePath)
    To.m_Resumable.insert(Request.m_Number);
  m_Asked.push_back({.m_At = m_Now,
                     .m_Parts = Asked.m_Parts,
                     .m_Fingerprint = Asked.m_Fingerprint,
                     .m_Path = Asked.m_Path,
                     .m_Node = Index,
                     .m_Resumes = Asked.m_Resumes});
  To.m_Relay.m_Core.onRequestReceived(Request, m_Now, To.m_Relay.m_Out);
  carryOut(Index);
  if (Asked.m_LeavesAfter > 0s)
    schedule(Asked.m_LeavesAfter,
             [this, Index, Node = &To, Number = Request.m_Number] {
               if (m_Nodes[Index].get() != Node)
                 return;
               Node->m_Relay.m_Core.onCallerDisconnected(Number, m_Now,
                                                         Node->m_Relay.m_Out);
               carryOut(Index);
             });
}

void RelayFleet::carryOut(size_t Index) {
  Node &From = *m_Nodes[Index];
  gateway::RelayEffectList Effects;
  std::swap(Effects, From.m_Relay.m_Out);
  for (const gateway::RelayEffect &Each : Effects) {
    answerOrigin(Index, Each);
    if (const auto *const Refusal = std::get_if<gateway::RejectRequest>(&Each))
      m_Asked[From.m_Requests.at(Refusal->m_Request)].m_Refused |=
          !From.m_Forwarded.contains(Refusal->m_Request);
    if (const auto *const Answer = std::get_if<gateway::ForwardAnswer>(&Each))
      m_Asked[From.m_Requests.at(Answer->m_Request)].m_Served |=
          !From.m_Forwarded.contains(Answer->m_Request);
    const auto *const Cut = std::get_if<gateway::AbortAnswer>(&Each);
    if (Cut && !From.m_Forwarded.contains(Cut->m_Request))
      takeUp(From.m_Requests.at(Cut->m_Request));
    if (const auto *const Cancelled = std::get_if<gateway::CancelSend>(&Each))
      From.m_Sends.erase(Cancelled->m_Attempt);
    if (std::holds_alternative<gateway::ConfirmEndpoints>(Each))
      confirmEndpoints(Index);
    const auto *const Sent = std::get_if<gateway::SendRequest>(&Each);
    if (!Sent)
      continue;
    From.m_Sends[Sent->m_Attempt] = {
        Sent->m_Endpoint, From.m_Requests.at(Sent->m_Request),
        From.m_Sent.insert(Sent->m_Request).second, Sent->m_Request,
        From.m_Resumable.contains(Sent->m_Request)};
    const Origin Sender{Index, &From, Sent->m_Attempt};
    if (Sent->m_Forwarding)
      whenCurrent(NetworkDelay, Sender,
                  [this, Sender, Request = *Sent,
                   Number = From.m_Requests.at(Sent->m_Request)] {
                    receiveForwarded(Request.m_Address.m_Port - FirstPort,
                                     Sender, Request, Number);
                  });
    else
      whenCurrent(
          NetworkDelay, Sender,
          [this, Index, Attempt = Sent->m_Attempt] { arrive(Index, Attempt); });
  }
}

void RelayFleet::whenCurrent(model::Duration Delay, Origin At,
                             std::function<void()> Run) {
  schedule(Delay, [this, At, Run = std::move(Run)] {
    if (m_Nodes[At.m_Index].get() == At.m_Node &&
        At.m_Node->m_Sends.contains(At.m_Attempt))
      Run();
  });
}

void RelayFleet::receiveForwarded(size_t Index, Origin From,
                                  const gateway::SendRequest &Sent,
                                  size_t Number) {
  const Asked &Original = m_Asked[Number];
  RelayFixture &Relay = m_Nodes[Index]->m_Relay;
  gateway::RelayRequest Request;
  Request.m_Number = {++Relay.m_Last};
  Request.m_CallerRequestId = "caller-" + std::to_string(Number);
  Request.m_Host = "h";
  Request.m_Path = Original.m_Path;
  Request.m_BeganAt = m_Now;
  Request.m_Window = Sent.m_Remaining;
  Request.m_ModelRef = {"m", ""};
  Request.m_IsResumption = Sent.m_Resume || Original.m_Resumes.has_value();
  Request.m_Forwarded = Sent.m_Forwarding;
  Node &To = *m_Nodes[Index];
  To.m_Requests[Request.m_Number] = Number;
  To.m_Forwarded[Request.m_Number] = From;
  if (Original.m_Path == ResumablePath)
    To.m_Resumable.insert(Request.m_Number);
  Relay.m_Core.onRequestReceived(Request, m_Now, Relay.m_Out);
  carryOut(Index);
}

void RelayFleet::answerOrigin(size_t Index,
                              const gateway::RelayEffect &Effect) {
  using gateway::SendResult;
  Node &Answering = *m_Nodes[Index];
  const auto Answer = [&](model::RequestId Request, SendResult Result,
                          std::optional<model::Duration> RetryAfter) {
    const auto Found = Answering.m_Forwarded.find(Request);
    if (Found == Answering.m_Forwarded.end())
      return;
    whenCurrent(NetworkDelay, Found->second,
                [this, At = Found->second, Result, RetryAfter] {
                  finish(At.m_Index, At.m_Attempt, Result, RetryAfter);
                });
  };
  if (const auto *const Whole = std::get_if<gateway::ForwardAnswer>(&Effect))
    Answer(Whole->m_Request, SendResult::Completed, std::nullopt);
  if (const auto *const Cut = std::get_if<gateway::AbortAnswer>(&Effect))
    Answer(Cut->m_Request, SendResult::Broken, std::nullopt);
  if (const auto *const Refusal = std::get_if<gateway::RejectRequest>(&Effect))
    Answer(Refusal->m_Request,
           Refusal->m_Status == 503 ? SendResult::Declined : SendResult::Broken,
           Refusal->m_RetryAfter);
}

void RelayFleet::arrive(size_t Index, model::AttemptId Attempt) {
  Node &From = *m_Nodes[Index];
  const auto Found = From.m_Sends.find(Attempt);
  if (Found == From.m_Sends.end())
    return;
  const Send Sent = Found->second;
  if (const std::optional<LostSend> Lost = lostSend(From)) {
    schedule(Lost->m_After, [this, Index, Node = &From, Attempt,
                             Result = Lost->m_Result] {
      if (m_Nodes[Index].get() == Node && Node->m_Sends.contains(Attempt))
        finish(Index, Attempt, Result);
    });
    return;
  }
  if (!m_Engines.contains(Sent.m_Engine)) {
    finish(Index, Attempt, gateway::SendResult::NotSent);
    return;
  }
  if (turnsAway(Sent.m_Engine)) {
    schedule(NetworkDelay, [this, Index, Node = &From, Attempt,
                            Engine = Sent.m_Engine] {
      if (m_Nodes[Index].get() != Node || !Node->m_Sends.contains(Attempt))
        return;
      receiveHead(Index, Attempt, Engine);
      finish(Index, Attempt, gateway::SendResult::NotRun);
    });
    return;
  }
  From.m_Sends.at(Attempt).m_IsAdmitted = true;
  const bool Crashes = crashesEngines(m_Asked[Sent.m_Asked]);
  m_Arrivals.push_back({m_Now, Index, Sent.m_Engine, Crashes});
  const auto IfCurrent = [this, Index, Node = &From,
                          Attempt](std::function<void()> Run) {
    return [this, Index, Node, Attempt, Run = std::move(Run)] {
      if (m_Nodes[Index].get() == Node && Node->m_Sends.contains(Attempt) &&
          Node->m_Links != Links::Silent)
        Run();
    };
  };
  if (Crashes) {
    schedule(TimeToFirstChunk, [this, Engine = Sent.m_Engine] {
      if (m_Engines.contains(Engine))
        crash(Engine);
    });
    return;
  }
  schedule(TimeToFirstChunk, IfCurrent([this, Index, Attempt] {
             Node &To = *m_Nodes[Index];
             const Send &Answered = To.m_Sends.at(Attempt);
             m_Asked[Answered.m_Asked].m_BeganAtFirstSend |= Answered.m_IsFirst;
             receiveHead(Index, Attempt, Answered.m_Engine);
             To.m_Relay.m_Core.onAnswerChunk(Attempt, m_Now);
             onEvent(Index, Attempt);
           }));
  schedule(m_Settings.m_AnswerTime, IfCurrent([this, Index, Attempt] {
             const bool IsBroken =
                 static_cast<double>(m_Random() % 1000) / 1000 < m_BrokenShare;
             m_Nodes[Index]->m_Relay.m_Core.onAnswerChunk(Attempt, m_Now);
             finish(Index, Attempt,
                    IsBroken ? gateway::SendResult::Broken
                             : gateway::SendResult::Completed);
           }));
}

void RelayFleet::takeUp(size_t Number, std::optional<size_t> LostNode,
                        model::Duration After) {
  const size_t First = m_Asked[Number].m_Resumes.value_or(Number);
  if (m_Asked[First].m_Versions.empty())
    return;
  schedule(After, [this, First, LostNode] {
    size_t Index = randomNode();
    while ((Index == LostNode && nodeCount() > 1) ||
           (!m_TakeUpAt.empty() && !m_TakeUpAt.contains(Index)))
      Index = randomNode();
    askFor(Index, Request{.m_Path = ResumablePath,
                          .m_Parts = m_Asked[First].m_Parts,
                          .m_Resumes = First});
  });
}

void RelayFleet::onEvent(size_t Index, model::AttemptId Attempt) {
  Node &From = *m_Nodes[Index];
  const Send &Answered = From.m_Sends.at(Attempt);
  if (!Answered.m_IsResumable)
    return;
  Asked &Request = m_Asked[Answered.m_Asked];
  Request.m_HasBegun = true;
  m_Asked[Request.m_Resumes.value_or(Answered.m_Asked)].m_Versions.insert(
      m_SoftwareVersions.at(Answered.m_Engine));
  From.m_Relay.m_Core.onAnswerForwarded(Answered.m_Request, m_Now);
  const auto Forwarded = From.m_Forwarded.find(Answered.m_Request);
  if (Forwarded == From.m_Forwarded.end())
    return;
  whenCurrent(NetworkDelay, Forwarded->second,
              [this, At = Forwarded->second, Engine = Answered.m_Engine] {
                gateway::RelayCore &Core = At.m_Node->m_Relay.m_Core;
                Core.onForwardedHead(At.m_Attempt, Engine,
                                     m_SoftwareVersions.at(Engine));
                Core.onAnswerForwarded(
                    At.m_Node->m_Sends.at(At.m_Attempt).m_Request, m_Now);
              });
}

void RelayFleet::receiveHead(size_t Index, model::AttemptId Attempt,
                             const model::EndpointId &Engine) {
  const auto Found = m_Statements.find(Engine);
  if (Found == m_Statements.end() && !m_BrittleAt)
    return;
  gateway::EndpointStatement Statement;
  if (Found != m_Statements.end())
    Statement = Found->second;
  if (m_BrittleAt)
    Statement.m_RejectsPerSecond = *m_BrittleAt;
  m_ToldAt.emplace(std::pair(Index, Engine), m_Now);
  RelayFixture &Relay = m_Nodes[Index]->m_Relay;
  Relay.m_Core.onAnswerHead(Attempt, Statement, m_Now, Relay.m_Out);
}

std::optional<model::TimePoint>
RelayFleet::toldAt(size_t Node, const model::EndpointId &Engine) const {
  const auto Found = m_ToldAt.find({Node, Engine});
  return Found == m_ToldAt.end() ? std::nullopt : std::optional(Found->second);
}

void RelayFleet::finish(size_t Index, model::AttemptId Attempt,
                        gateway::SendResult Result,
                        std::optional<model::Duration> RetryAfter) {
  Node &To = *m_Nodes[Index];
  To.m_Sends.erase(Attempt);
  To.m_Relay.m_Core.onSendFinished(
      Attempt,
      {.m_Result = Result,
       .m_Status = Result == gateway::SendResult::Completed ? 200 : 0,
       .m_RetryAfter = RetryAfter},
      m_Now, To.m_Relay.m_Out);
  carryOut(Index);
}

void RelayFleet::exchangeNotices() {
  ++m_Notices;
  for (size_t From = 0; From < m_Nodes.size(); ++From) {
    gateway::PeerNotice Notice = m_Nodes[From]->m_Relay.m_Core.notice(m_Now);
    Notice.m_From = model::NodeId("n" + std::to_string(From));
    Notice.m_Start = 1;
    Notice.m_Sequence = m_Notices;
    Notice.m_ForwardingPort = static_cast<uint16_t>(FirstPort + From);
    gateway::PeerNotice OfStreams;
    OfStreams.m_From = Notice.m_From;
    OfStreams.m_Start = Notice.m_Start;
    OfStreams.m_Sequence = Notice.m_Sequence;
    OfStreams.m_Streams = Notice.m_Streams;
    OfStreams.m_ForwardingPort = Notice.m_ForwardingPort;
    OfStreams.m_LostServices = Notice.m_LostServices;
    const bool TellsAll = !Notice.m_Streams.isEmpty();
    for (size_t I = 1; I < m_Nodes.size(); ++I) {
      const bool IsTarget = I <= gateway::MaxNoticeTargets;
      if (!IsTarget && !TellsAll)
        break;
      const size_t To = (From + I) % m_Nodes.size();
      const bool IsLost = static_cast<double>(m_Random() % 1000) / 1000 <
                          m_Settings.m_LostNotices;
      if (IsLost || m_CutOff.contains(From) != m_CutOff.contains(To))
        continue;
      m_Nodes[To]->m_Relay.m_Core.onPeerNotice(
          IsTarget ? Notice : OfStreams, m_Now, m_Nodes[To]->m_Relay.m_Out);
      carryOut(To);
    }
  }
}

void RelayFleet::run(model::Duration Span) {
  const model::TimePoint End = m_Now + Span;
  while (m_Now < End) {
    m_Now += Step;
    while (!m_Events.empty() && m_Events.begin()->first <= m_Now) {
      const Event Due = std::move(m_Events.begin()->second);
      m_Events.erase(m_Events.begin());
      Due.m_Run();
    }
    if (m_Now.time_since_epoch() % NoticePeriod == 0us)
      exchangeNotices();
    if (m_Settings.m_RenewalPeriod > 0s &&
        m_Now.time_since_epoch() % m_Settings.m_RenewalPeriod == 0us)
      renewEntries();
    recordStreams();
    for (size_t I = 0; I < m_Nodes.size(); ++I) {
      m_Nodes[I]->m_Relay.m_Core.tick(m_Now, m_Nodes[I]->m_Relay.m_Out);
      carryOut(I);
    }
  }
}

} // namespace bronzepass::unit_tests
