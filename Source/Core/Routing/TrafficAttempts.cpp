#include "Core/Routing/TrafficCore.h"

#include <algorithm>

namespace bronzepass::core::routing {

namespace {

constexpr uint16_t StatusOk = 200;
constexpr uint16_t StatusPartial = 206;
constexpr uint16_t StatusServerError = 500;
/// Tokens between two measurements of an answer's speed.
constexpr uint32_t MinMeasuredTokens = 8;

/// The endpoint, or a proxy in front of it, can't serve the request now.
bool isTemporaryFailure(uint16_t Status) {
  return Status == 429 || Status == 502 || Status == 503 || Status == 504;
}

} // namespace

LiveRequest *TrafficCore::findLiveAttempt(model::AttemptId Attempt) {
  auto Found = m_Attempts.find(Attempt);
  if (Found == m_Attempts.end()) {
    ++m_Counts.m_StaleDropped;
    return nullptr;
  }
  return &m_Live.find(Found->second)->second;
}

void TrafficCore::startAttempt(LiveRequest &Live, const Candidate &Chosen) {
  const TableEndpoint &Endpoint = m_Table->endpoints()[Chosen.m_Index];
  const model::Request &Request = Live.m_Request;
  leaveQueue(Live);
  StartAttempt Start;
  Start.m_Attempt = {++m_LastAttempt};
  Start.m_Request = Request.m_Id;
  Start.m_Artifact = Live.m_Lane.m_Artifact;
  Start.m_ConnectTimeout = m_Settings.m_ConnectTimeout;
  Start.m_FirstByteTimeout = m_Settings.m_FirstByteTimeout;
  Start.m_Deadline = Request.m_Deadline;
  if (Live.m_Claimed)
    Start.m_Deadline += m_Settings.m_OutcomeGrace;
  Start.m_FreshConnection = !Request.m_Repeatable;
  Start.m_ResumeOffset = Live.m_IsResumed ? Live.m_Offset : 0;
  const model::NodeInfo *ForwardTo = nullptr;
  if (!Endpoint.m_IsDirect && !Request.m_Forwarded)
    ForwardTo = chooseForwardNode(Endpoint);
  if (ForwardTo != nullptr) {
    Start.m_ToNode = true;
    Start.m_Address = ForwardTo->m_CallerAddress;
    Live.m_ForwardNode = ForwardTo->m_Node;
    ++m_Counts.m_Forwarded;
  } else {
    Start.m_Endpoint = Endpoint.m_Spec->m_Name;
    Start.m_Address = Endpoint.m_Spec->m_Address;
    Live.m_ForwardNode = model::NodeId();
  }
  logRoute(Live, Chosen,
           ForwardTo ? ForwardTo->m_Node.str() : Endpoint.m_Spec->m_Name.str());

  Live.m_Phase = RequestPhase::Running;
  Live.m_Attempt = Start.m_Attempt;
  Live.m_Endpoint = Endpoint.m_Spec->m_Name;
  Live.m_AttemptStartedAt = m_Now;
  Live.m_HeadReceived = false;
  ++Live.m_AttemptCount;
  ++m_Counts.m_Attempts;
  m_Attempts[Start.m_Attempt] = Request.m_Id;
  EndpointRecord &Record = *m_RecordsByIndex[Chosen.m_Index];
  Record.m_Stats.onAttemptStarted(m_Now);
  for (uint64_t Hash : Request.m_PrefixHashes)
    m_Prefixes.add(Hash, Record.m_Tag);
  setTimer(Live, Request.m_Deadline);
  m_Effects->push_back(std::move(Start));
}

const model::NodeInfo *
TrafficCore::chooseForwardNode(const TableEndpoint &Endpoint) {
  const std::vector<model::NodeInfo> &Nodes = m_Table->nodes();
  const model::NodeInfo *Best = nullptr;
  size_t Count = Endpoint.m_DirectNodes.size();
  if (Count == 0)
    return nullptr;
  size_t First = m_Random.next() % Count;
  for (size_t Step = 0; Step < Count; ++Step) {
    const model::NodeInfo &Node =
        Nodes[Endpoint.m_DirectNodes[(First + Step) % Count]];
    auto Avoided = m_AvoidedNodes.find(Node.m_Node);
    if (Avoided != m_AvoidedNodes.end() && m_Now < Avoided->second)
      continue;
    if (Node.m_Liveness != model::Liveness::Live)
      continue;
    if (Best == nullptr ||
        (Node.m_Domain == m_Self.m_Domain && Best->m_Domain != m_Self.m_Domain))
      Best = &Node;
  }
  return Best;
}

void TrafficCore::endAttempt(LiveRequest &Live) {
  if (!Live.m_Attempt)
    return;
  m_Attempts.erase(Live.m_Attempt);
  recordFor(Live.m_Endpoint).m_Stats.onAttemptEnded(m_Now);
  m_DispatchNeeded = true;
  if (!Live.m_Request.m_Forwarded)
    m_Demand.addSlotTime(Live.m_Lane.m_Artifact,
                         m_Now - Live.m_AttemptStartedAt);
  Live.m_Attempt = model::AttemptId();
}

void TrafficCore::cancelAttempt(LiveRequest &Live) {
  if (!Live.m_Attempt)
    return;
  m_Effects->push_back(CancelAttempt{Live.m_Attempt});
  Live.m_MayHaveRun = true;
  endAttempt(Live);
}

void TrafficCore::on(const AttemptHead &Event) {
  LiveRequest *Live = findLiveAttempt(Event.m_Attempt);
  if (Live == nullptr)
    return;
  EndpointRecord &Record = recordFor(Live->m_Endpoint);
  if (Event.m_Load)
    Record.m_Stats.onLoadReport(*Event.m_Load, m_Now);
  m_DispatchNeeded |= Event.m_Load.has_value();
  if (Live->m_HeadReceived) {
    ++m_Counts.m_StaleDropped;
    return;
  }
  if (Live->m_IsResumed) {
    Live->m_HeadReceived = true;
    if (Event.m_Status == StatusOk || Event.m_Status == StatusPartial)
      return;
    cancelAttempt(*Live);
    handleBroken(*Live);
    return;
  }
  if (isTemporaryFailure(Event.m_Status) && mayRetry(*Live)) {
    Record.m_Stats.onAttemptFailed(false, m_Now);
    cancelAttempt(*Live);
    retry(*Live);
    return;
  }
  Live->m_HeadReceived = true;
  Live->m_HeadReceivedAt = m_Now;
  // The first token arrives with the head, after the prefill, so it does not
  // count towards the decoding speed.
  Live->m_SpeedSampleAt = m_Now;
  Live->m_SpeedSampleTokens = 1;
  Live->m_Status = Event.m_Status;
  Live->m_MayHaveRun = true;
  Live->m_Ran |= Event.m_Status < StatusServerError;
  if (Live->m_CallerDone)
    return;
  Live->m_HeadRelayed = true;
  m_Effects->push_back(RelayHead{Live->m_Request.m_Id, Event.m_Attempt});
}

void TrafficCore::on(const AttemptChunk &Event) {
  LiveRequest *Live = findLiveAttempt(Event.m_Attempt);
  if (Live == nullptr)
    return;
  if (Event.m_Offset == Live->m_Offset && Live->m_HeadReceived) {
    Live->m_Offset += Event.m_Bytes;
    Live->m_Tokens += Event.m_Tokens;
    measureSpeed(*Live);
    if (!Live->m_CallerDone)
      m_Effects->push_back(RelayChunk{Live->m_Request.m_Id, Event.m_Attempt});
    return;
  }
  ++m_Counts.m_StaleDropped;
  // A duplicate chunk does no harm. After a gap, or if a resumed stream doesn't
  // continue exactly where the last one broke, the answer can't be completed.
  bool IsDuplicate = Event.m_Offset < Live->m_Offset && !Live->m_IsResumed;
  if (IsDuplicate)
    return;
  cancelAttempt(*Live);
  if (Live->m_IsResumed)
    refuseBroken(*Live);
  else
    handleBroken(*Live);
}

void TrafficCore::measureSpeed(LiveRequest &Live) {
  const TableEndpoint *Endpoint = m_Table->findEndpoint(Live.m_Endpoint);
  if (Live.m_IsResumed || Endpoint == nullptr ||
      Live.m_Tokens < Live.m_SpeedSampleTokens + MinMeasuredTokens)
    return;
  EndpointStats &Stats = recordFor(Live.m_Endpoint).m_Stats;
  Stats.onTokensReceived(Live.m_Tokens - Live.m_SpeedSampleTokens,
                         m_Now - Live.m_SpeedSampleAt,
                         Endpoint->m_Spec->m_Slots);
  Live.m_SpeedSampleTokens = Live.m_Tokens;
  Live.m_SpeedSampleAt = m_Now;
  updateMovingAverage(m_MeanTokenTime, Stats.tokenTime(),
                      m_Settings.m_AverageWeight);
}

void TrafficCore::on(const AttemptEnded &Event) {
  LiveRequest *Live = findLiveAttempt(Event.m_Attempt);
  if (Live == nullptr)
    return;
  endAttempt(*Live);
  switch (Event.m_Outcome) {
  case AttemptOutcome::Complete:
    if (Live->m_HeadReceived)
      handleComplete(*Live, Event);
    else
      handleBroken(*Live);
    return;
  case AttemptOutcome::NotSent:
    handleNotRun(*Live, true);
    return;
  case AttemptOutcome::Declined:
    handleNotRun(*Live, false);
    return;
  case AttemptOutcome::Broken:
    recordFailure(*Live, false);
    handleBroken(*Live);
    return;
  }
}

void TrafficCore::recordFailure(const LiveRequest &Live, bool Refused) {
  // The failure of a forwarding node says nothing about the endpoint behind it.
  if (!Live.m_ForwardNode.empty()) {
    m_AvoidedNodes[Live.m_ForwardNode] = m_Now + m_Settings.m_EjectTime;
    return;
  }
  EndpointRecord &Record = recordFor(Live.m_Endpoint);
  Record.m_Stats.onAttemptFailed(Refused, m_Now);
  if (!Refused)
    return;
  Record.m_ReportedRefusing = true;
  m_Effects->push_back(ports::EndpointObserved{Live.m_Endpoint, true});
}

void TrafficCore::handleComplete(LiveRequest &Live, const AttemptEnded &Event) {
  recordCompletion(Live);
  if (Live.m_Claimed)
    m_Effects->push_back(ports::ClaimEnded{Live.m_Request.m_Id, Live.m_KeyHash,
                                           model::ClaimState::Done,
                                           Event.m_Status, Event.m_Answer});
  if (!Live.m_CallerDone) {
    ++m_Counts.m_Answered;
    if (!Live.m_Request.m_Forwarded)
      m_Demand.onAnswered(Live.m_Lane.m_Artifact,
                          m_Now <= Live.m_Request.m_Deadline);
    m_Effects->push_back(FinishAnswer{Live.m_Request.m_Id});
  }
  removeRequest(Live);
}

void TrafficCore::recordCompletion(LiveRequest &Live) {
  EndpointRecord &Record = recordFor(Live.m_Endpoint);
  const TableEndpoint *Endpoint = m_Table->findEndpoint(Live.m_Endpoint);
  if (Endpoint == nullptr)
    return;
  if (Live.m_Status >= StatusServerError) {
    Record.m_Stats.onAttemptFailed(false, m_Now);
    return;
  }
  if (Record.m_ReportedRefusing) {
    Record.m_ReportedRefusing = false;
    m_Effects->push_back(ports::EndpointObserved{Live.m_Endpoint, false});
  }
  // The times of a resumed stream are not those of a complete answer.
  if (Live.m_IsResumed)
    return;
  model::Duration Took = m_Now - Live.m_AttemptStartedAt;
  Record.m_Stats.onAnswerCompleted(Took, m_Now);
  double Weight = m_Settings.m_AverageWeight;
  LaneStats &Stats = m_LaneStats[Live.m_Lane];
  updateMovingAverage(Stats.m_MeanServiceSeconds, toSeconds(Took), Weight);
  if (Live.m_Tokens == 0)
    return;
  updateMovingAverage(Stats.m_MeanTokens, Live.m_Tokens, Weight);
  if (Live.m_Request.m_MaxTokens > 0)
    updateMovingAverage(Stats.m_MeanMaxTokensShare,
                        static_cast<double>(Live.m_Tokens) /
                            Live.m_Request.m_MaxTokens,
                        Weight);
}

void TrafficCore::handleNotRun(LiveRequest &Live, bool Refused) {
  if (Refused)
    recordFailure(Live, true);
  // A node declines on behalf of the endpoint, which is full or too slow.
  else if (!Live.m_ForwardNode.empty())
    Live.m_TriedEndpoints.push_back(Live.m_Endpoint);
  // A request that provably did not run may be retried even if it is not
  // repeatable, but a stream that has begun can't start over.
  bool CanRetry = Live.m_AttemptCount < m_Settings.m_MaxAttempts &&
                  !Live.m_HeadRelayed && !Live.m_CallerDone &&
                  m_Now < Live.m_Request.m_Deadline;
  if (CanRetry && m_RetryBudget.tryTake(m_Now)) {
    retry(Live);
    return;
  }
  refuse(Live, {model::RefusalReason::NoCopyAnswers, model::RunState::NotRun,
                "the endpoints tried took nothing", m_Settings.m_EjectTime});
}

void TrafficCore::handleBroken(LiveRequest &Live) {
  Live.m_MayHaveRun = true;
  if (Live.m_CallerDone) {
    // The outcome is unknown, so the claim stays taken.
    removeRequest(Live);
    return;
  }
  if (mayRetry(Live)) {
    retry(Live);
    return;
  }
  const TableEndpoint *Endpoint = m_Table->findEndpoint(Live.m_Endpoint);
  bool CanResume = Live.m_HeadRelayed && Live.m_Request.m_Stream &&
                   Live.m_Request.m_Repeatable && Endpoint != nullptr &&
                   Endpoint->m_Pool->m_CanResume &&
                   Live.m_AttemptCount < m_Settings.m_MaxAttempts &&
                   m_RetryBudget.tryTake(m_Now);
  if (CanResume) {
    resume(Live, *Endpoint);
    return;
  }
  refuseBroken(Live);
}

void TrafficCore::refuseBroken(LiveRequest &Live) {
  bool HeadRelayed = Live.m_HeadRelayed;
  refuse(Live, {HeadRelayed ? model::RefusalReason::StreamBroken
                            : model::RefusalReason::EndpointFailed,
                model::RunState::Unknown,
                HeadRelayed ? "the answer broke off before its end"
                            : "the endpoint gave no whole answer",
                model::Duration(0)});
}

bool TrafficCore::mayRetry(const LiveRequest &Live) {
  return Live.m_Request.m_Repeatable && !Live.m_HeadRelayed &&
         !Live.m_CallerDone && Live.m_AttemptCount < m_Settings.m_MaxAttempts &&
         m_Now < Live.m_Request.m_Deadline && m_RetryBudget.tryTake(m_Now);
}

void TrafficCore::retry(LiveRequest &Live) {
  ++m_Counts.m_Retries;
  if (Live.m_ForwardNode.empty())
    Live.m_TriedEndpoints.push_back(Live.m_Endpoint);
  Live.m_Phase = RequestPhase::Queued;
  dispatchOrEnqueue(Live);
}

void TrafficCore::resume(LiveRequest &Live, const TableEndpoint &Endpoint) {
  ++m_Counts.m_Retries;
  Live.m_IsResumed = true;
  Candidate SameEndpoint;
  SameEndpoint.m_Index = &Endpoint - m_Table->endpoints().data();
  SameEndpoint.m_Stats = &m_RecordsByIndex[SameEndpoint.m_Index]->m_Stats;
  startAttempt(Live, SameEndpoint);
}

} // namespace bronzepass::core::routing
