#include "Core/Routing/TrafficCore.h"

#include <algorithm>

namespace bronzepass::core::routing {

namespace {

constexpr uint16_t StatusOk = 200;
constexpr uint16_t StatusPartial = 206;
constexpr uint16_t StatusServerError = 500;
/// An answer's speed is measured over at least so many tokens.
constexpr uint32_t MeasuredTokens = 8;

/// The endpoint, or what stands before it, could not serve the request now.
bool saysTryElsewhere(uint16_t Status) {
  return Status == 429 || Status == 502 || Status == 503 || Status == 504;
}

} // namespace

LiveRequest *TrafficCore::liveAttempt(model::AttemptId Attempt) {
  auto Found = m_Attempts.find(Attempt);
  if (Found == m_Attempts.end()) {
    ++m_Counts.m_StaleDropped;
    return nullptr;
  }
  return &m_Live.find(Found->second)->second;
}

void TrafficCore::start(LiveRequest &Live, const Candidate &Chosen) {
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
  Start.m_ResumeOffset = Live.m_Resuming ? Live.m_Offset : 0;
  const model::NodeInfo *Driver = nullptr;
  if (!Endpoint.m_Driven && !Request.m_Forwarded)
    Driver = chooseDriver(Endpoint);
  if (Driver != nullptr) {
    Start.m_ToNode = true;
    Start.m_Address = Driver->m_CallerAddress;
    Live.m_ToNode = Driver->m_Node;
    ++m_Counts.m_Forwarded;
  } else {
    Start.m_Endpoint = Endpoint.m_Spec->m_Name;
    Start.m_Address = Endpoint.m_Spec->m_Address;
    Live.m_ToNode = model::NodeId();
  }
  logRoute(Live, Chosen,
           Driver ? Driver->m_Node.str() : Endpoint.m_Spec->m_Name.str());

  Live.m_Phase = RequestPhase::Running;
  Live.m_Attempt = Start.m_Attempt;
  Live.m_Endpoint = Endpoint.m_Spec->m_Name;
  Live.m_AttemptAt = m_Now;
  Live.m_HeadSeen = false;
  ++Live.m_Tries;
  ++m_Counts.m_Attempts;
  m_Attempts[Start.m_Attempt] = Request.m_Id;
  EndpointRecord &Record = *m_ByIndex[Chosen.m_Index];
  Record.m_View.started(m_Now);
  for (uint64_t Hash : Request.m_PrefixHashes)
    m_Prefixes.add(Hash, Record.m_Tag);
  setDue(Live, Request.m_Deadline);
  m_Out->push_back(std::move(Start));
}

const model::NodeInfo *
TrafficCore::chooseDriver(const TableEndpoint &Endpoint) {
  const std::vector<model::NodeInfo> &Nodes = m_Table->nodes();
  const model::NodeInfo *Best = nullptr;
  size_t Count = Endpoint.m_Drivers.size();
  if (Count == 0)
    return nullptr;
  size_t First = m_Dice.next() % Count;
  for (size_t Step = 0; Step < Count; ++Step) {
    const model::NodeInfo &Node =
        Nodes[Endpoint.m_Drivers[(First + Step) % Count]];
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
  record(Live.m_Endpoint).m_View.finished(m_Now);
  m_MayHaveRoom = true;
  if (!Live.m_Request.m_Forwarded)
    m_Demand.usedSlot(Live.m_Lane.m_Artifact, m_Now - Live.m_AttemptAt);
  Live.m_Attempt = model::AttemptId();
}

void TrafficCore::cancelAttempt(LiveRequest &Live) {
  if (!Live.m_Attempt)
    return;
  m_Out->push_back(CancelAttempt{Live.m_Attempt});
  Live.m_MayHaveRun = true;
  endAttempt(Live);
}

void TrafficCore::on(const AttemptHead &Event) {
  LiveRequest *Live = liveAttempt(Event.m_Attempt);
  if (Live == nullptr)
    return;
  EndpointRecord &Record = record(Live->m_Endpoint);
  if (Event.m_Load)
    Record.m_View.reported(*Event.m_Load, m_Now);
  m_MayHaveRoom |= Event.m_Load.has_value();
  if (Live->m_HeadSeen) {
    ++m_Counts.m_StaleDropped;
    return;
  }
  if (Live->m_Resuming) {
    Live->m_HeadSeen = true;
    if (Event.m_Status == StatusOk || Event.m_Status == StatusPartial)
      return;
    cancelAttempt(*Live);
    endBroken(*Live);
    return;
  }
  if (saysTryElsewhere(Event.m_Status) && mayRetry(*Live)) {
    Record.m_View.failed(false, m_Now);
    cancelAttempt(*Live);
    retry(*Live);
    return;
  }
  Live->m_HeadSeen = true;
  Live->m_HeadAt = m_Now;
  // The first token comes with the head: its time is the prefill's.
  Live->m_MarkAt = m_Now;
  Live->m_MarkTokens = 1;
  Live->m_Status = Event.m_Status;
  Live->m_MayHaveRun = true;
  Live->m_Ran |= Event.m_Status < StatusServerError;
  if (Live->m_Answered)
    return;
  Live->m_HeadRelayed = true;
  m_Out->push_back(RelayHead{Live->m_Request.m_Id, Event.m_Attempt});
}

void TrafficCore::on(const AttemptChunk &Event) {
  LiveRequest *Live = liveAttempt(Event.m_Attempt);
  if (Live == nullptr)
    return;
  if (Event.m_Offset == Live->m_Offset && Live->m_HeadSeen) {
    Live->m_Offset += Event.m_Bytes;
    Live->m_Tokens += Event.m_Tokens;
    measureSpeed(*Live);
    if (!Live->m_Answered)
      m_Out->push_back(RelayChunk{Live->m_Request.m_Id, Event.m_Attempt});
    return;
  }
  ++m_Counts.m_StaleDropped;
  // A piece that came twice does no harm; a gap, or a resumed stream that does
  // not go on exactly where the last one broke, can't be made whole.
  bool Repeated = Event.m_Offset < Live->m_Offset && !Live->m_Resuming;
  if (Repeated)
    return;
  cancelAttempt(*Live);
  if (Live->m_Resuming)
    refuseBroken(*Live);
  else
    endBroken(*Live);
}

void TrafficCore::measureSpeed(LiveRequest &Live) {
  const TableEndpoint *Endpoint = m_Table->findEndpoint(Live.m_Endpoint);
  if (Live.m_Resuming || Endpoint == nullptr ||
      Live.m_Tokens < Live.m_MarkTokens + MeasuredTokens)
    return;
  EndpointView &View = record(Live.m_Endpoint).m_View;
  View.grew(Live.m_Tokens - Live.m_MarkTokens, m_Now - Live.m_MarkAt,
            Endpoint->m_Spec->m_Slots);
  Live.m_MarkTokens = Live.m_Tokens;
  Live.m_MarkAt = m_Now;
  mixInto(m_MeanTokenTime, View.tokenTime(), m_Settings.m_AverageWeight);
}

void TrafficCore::on(const AttemptEnded &Event) {
  LiveRequest *Live = liveAttempt(Event.m_Attempt);
  if (Live == nullptr)
    return;
  endAttempt(*Live);
  switch (Event.m_End) {
  case AttemptEnd::Whole:
    if (Live->m_HeadSeen)
      endWhole(*Live, Event);
    else
      endBroken(*Live);
    return;
  case AttemptEnd::NotSent:
    endNotRun(*Live, true);
    return;
  case AttemptEnd::Declined:
    endNotRun(*Live, false);
    return;
  case AttemptEnd::Broken:
    noteFailed(*Live, false);
    endBroken(*Live);
    return;
  }
}

void TrafficCore::noteFailed(const LiveRequest &Live, bool Refused) {
  // A node that fails says nothing of the endpoint behind it.
  if (!Live.m_ToNode.empty()) {
    m_AvoidedNodes[Live.m_ToNode] = m_Now + m_Settings.m_EjectTime;
    return;
  }
  EndpointRecord &Record = record(Live.m_Endpoint);
  Record.m_View.failed(Refused, m_Now);
  if (!Refused)
    return;
  Record.m_ToldRefused = true;
  m_Out->push_back(ports::EndpointObserved{Live.m_Endpoint, true});
}

void TrafficCore::endWhole(LiveRequest &Live, const AttemptEnded &Event) {
  noteAnswered(Live);
  if (Live.m_Claimed)
    m_Out->push_back(ports::ClaimEnded{Live.m_Request.m_Id, Live.m_KeyHash,
                                       model::ClaimState::Done, Event.m_Status,
                                       Event.m_Answer});
  if (!Live.m_Answered) {
    ++m_Counts.m_Answered;
    if (!Live.m_Request.m_Forwarded)
      m_Demand.answered(Live.m_Lane.m_Artifact,
                        m_Now <= Live.m_Request.m_Deadline);
    m_Out->push_back(FinishAnswer{Live.m_Request.m_Id});
  }
  forget(Live);
}

void TrafficCore::noteAnswered(LiveRequest &Live) {
  EndpointRecord &Record = record(Live.m_Endpoint);
  const TableEndpoint *Endpoint = m_Table->findEndpoint(Live.m_Endpoint);
  if (Endpoint == nullptr)
    return;
  if (Live.m_Status >= StatusServerError) {
    Record.m_View.failed(false, m_Now);
    return;
  }
  if (Record.m_ToldRefused) {
    Record.m_ToldRefused = false;
    m_Out->push_back(ports::EndpointObserved{Live.m_Endpoint, false});
  }
  // A resumed stream's times say nothing of a whole answer's.
  if (Live.m_Resuming)
    return;
  model::Duration Took = m_Now - Live.m_AttemptAt;
  Record.m_View.answered(Took, m_Now);
  double Weight = m_Settings.m_AverageWeight;
  LaneStats &Stats = m_LaneStats[Live.m_Lane];
  mixInto(Stats.m_Service, toSeconds(Took), Weight);
  if (Live.m_Tokens == 0)
    return;
  mixInto(Stats.m_Tokens, Live.m_Tokens, Weight);
  if (Live.m_Request.m_MaxTokens > 0)
    mixInto(Stats.m_TokenRatio,
            static_cast<double>(Live.m_Tokens) / Live.m_Request.m_MaxTokens,
            Weight);
}

void TrafficCore::endNotRun(LiveRequest &Live, bool Refused) {
  if (Refused)
    noteFailed(Live, true);
  // A node that declines speaks for the endpoint: it is full, or too slow.
  else if (!Live.m_ToNode.empty())
    Live.m_Tried.push_back(Live.m_Endpoint);
  // What is proven not to have run may be tried again whatever it is, but a
  // stream that has begun can't start anew.
  bool Allowed = Live.m_Tries < m_Settings.m_MaxAttempts &&
                 !Live.m_HeadRelayed && !Live.m_Answered &&
                 m_Now < Live.m_Request.m_Deadline;
  if (Allowed && m_Retries.take(m_Now)) {
    retry(Live);
    return;
  }
  refuse(Live, {model::RefusalReason::NoCopyAnswers, model::RunState::NotRun,
                "the endpoints tried took nothing", m_Settings.m_EjectTime});
}

void TrafficCore::endBroken(LiveRequest &Live) {
  Live.m_MayHaveRun = true;
  if (Live.m_Answered) {
    // The outcome is lost: the claim is left taken.
    forget(Live);
    return;
  }
  if (mayRetry(Live)) {
    retry(Live);
    return;
  }
  const TableEndpoint *Endpoint = m_Table->findEndpoint(Live.m_Endpoint);
  bool Resumes = Live.m_HeadRelayed && Live.m_Request.m_Stream &&
                 Live.m_Request.m_Repeatable && Endpoint != nullptr &&
                 Endpoint->m_Pool->m_CanResume &&
                 Live.m_Tries < m_Settings.m_MaxAttempts &&
                 m_Retries.take(m_Now);
  if (Resumes) {
    resume(Live, *Endpoint);
    return;
  }
  refuseBroken(Live);
}

void TrafficCore::refuseBroken(LiveRequest &Live) {
  bool Begun = Live.m_HeadRelayed;
  refuse(Live, {Begun ? model::RefusalReason::StreamBroken
                      : model::RefusalReason::EndpointFailed,
                model::RunState::Unknown,
                Begun ? "the answer broke off before its end"
                      : "the endpoint gave no whole answer",
                model::Duration(0)});
}

bool TrafficCore::mayRetry(const LiveRequest &Live) {
  return Live.m_Request.m_Repeatable && !Live.m_HeadRelayed &&
         !Live.m_Answered && Live.m_Tries < m_Settings.m_MaxAttempts &&
         m_Now < Live.m_Request.m_Deadline && m_Retries.take(m_Now);
}

void TrafficCore::retry(LiveRequest &Live) {
  ++m_Counts.m_Retries;
  if (Live.m_ToNode.empty())
    Live.m_Tried.push_back(Live.m_Endpoint);
  Live.m_Phase = RequestPhase::Queued;
  place(Live);
}

void TrafficCore::resume(LiveRequest &Live, const TableEndpoint &Endpoint) {
  ++m_Counts.m_Retries;
  Live.m_Resuming = true;
  Candidate Same;
  Same.m_Index = &Endpoint - m_Table->endpoints().data();
  Same.m_View = &m_ByIndex[Same.m_Index]->m_View;
  start(Live, Same);
}

} // namespace bronzepass::core::routing
