#include "Core/Routing/Refusals.h"
#include "Core/Routing/TrafficCore.h"

#include <algorithm>
#include <cmath>

namespace bronzepass::core::routing {

namespace {

/// Candidates per choice; for a model on more endpoints a sample is considered.
constexpr size_t MaxCandidates = 16;
constexpr size_t MaxRunnersUp = 3;
/// Lower bound of the retry-after time of a refusal.
constexpr double MinRetrySeconds = 0.1;

std::string inMilliseconds(double Seconds) {
  return std::to_string(static_cast<int64_t>(Seconds * 1000)) + " ms";
}

std::string subjectOf(const LiveRequest &Live) {
  const std::string &Service = Live.m_Lane.m_ServicePool.str();
  return "request " + std::to_string(Live.m_Request.m_Id.m_Value) + " " +
         (Service.empty() ? model::toString(Live.m_Lane.m_Artifact) : Service);
}

} // namespace

const TableCopies *TrafficCore::copiesOf(const LaneKey &Lane) const {
  if (!Lane.m_ServicePool.empty()) {
    const TableService *Service = m_Table->findService(Lane.m_ServicePool);
    return Service ? &Service->m_Copies : nullptr;
  }
  const TableModel *Model = m_Table->findModel(Lane.m_Artifact.m_Model);
  if (Model == nullptr)
    return nullptr;
  const TableVersion *Version =
      RoutingTable::findVersion(*Model, Lane.m_Artifact.m_Version);
  if (Version == nullptr || !Lane.m_Artifact.isAdapter())
    return Version ? &Version->m_Copies : nullptr;
  const TableAdapter *Adapter =
      RoutingTable::findAdapter(*Version, Lane.m_Artifact.m_Adapter);
  return Adapter ? &Adapter->m_Copies : nullptr;
}

double TrafficCore::peerLoadFactor(const TableEndpoint &Endpoint) const {
  double Others = static_cast<double>(Endpoint.m_DirectNodes.size()) - 1;
  return 1 + m_Settings.m_PeerLoadFactor * std::max(0.0, Others);
}

void TrafficCore::collectCandidates(const LiveRequest &Live,
                                    const TableCopies &Copies) {
  m_Candidates.clear();
  auto Found = m_LaneStats.find(Live.m_Lane);
  const LaneStats *Stats =
      Found == m_LaneStats.end() ? nullptr : &Found->second;
  size_t Count = Copies.m_Serving.size();
  size_t Wanted = std::min(Count, MaxCandidates);
  size_t First = Count > MaxCandidates ? m_Random.next() % Count : 0;
  for (size_t Step = 0; Step < Wanted; ++Step)
    addCandidate(
        Live, Copies.m_Serving[(First + Step * Count / Wanted) % Count], Stats);
}

void TrafficCore::addCandidate(const LiveRequest &Live, EndpointIndex Index,
                               const LaneStats *Stats) {
  const TableEndpoint &Endpoint = m_Table->endpoints()[Index];
  EndpointRecord &Record = *m_RecordsByIndex[Index];
  if (!Record.m_Stats.acceptsRequests(m_Now))
    return;
  if (std::find(Live.m_TriedEndpoints.begin(), Live.m_TriedEndpoints.end(),
                Endpoint.m_Spec->m_Name) != Live.m_TriedEndpoints.end())
    return;
  Candidate Value;
  Value.m_Index = Index;
  Value.m_Stats = &Record.m_Stats;
  Value.m_Load = Record.m_Stats.load(peerLoadFactor(Endpoint));
  Value.m_CachedBlocks =
      m_Prefixes.matched(Live.m_Request.m_PrefixHashes, Record.m_Tag);
  uint32_t Slots = std::max(1U, Endpoint.m_Spec->m_Slots);
  double Prefill = predictPrefill(Live, Value);
  Value.m_ServiceSeconds = predictService(Live, Value, Stats) + Prefill;
  double ExcessLoad = std::max(0.0, Value.m_Load + 1 - Slots);
  double Hops = Endpoint.m_IsDirect || Live.m_Request.m_Forwarded ? 1 : 2;
  Value.m_FinishSeconds = Value.m_ServiceSeconds +
                          ExcessLoad / Slots * Value.m_ServiceSeconds +
                          2 * Hops * toSeconds(Endpoint.m_NetworkDelay);
  Value.m_Cost =
      Value.m_FinishSeconds + m_Settings.m_PrefillInterferenceWeight * Prefill *
                                  std::min<double>(Value.m_Load, Slots);
  Value.m_HasRoom = hasRoom(Live, Value);
  m_Candidates.push_back(Value);
}

bool TrafficCore::hasRoom(const LiveRequest &Live,
                          const Candidate &Value) const {
  if (!m_Settings.m_Admission)
    return true;
  const TableEndpoint &Endpoint = m_Table->endpoints()[Value.m_Index];
  uint32_t Slots = std::max(1U, Endpoint.m_Spec->m_Slots);
  double Margin = 1;
  if (!m_Queue.empty(Live.m_Lane))
    Margin = m_Settings.m_ContendedFinishMargin;
  else if (Value.m_Load < Slots * m_Settings.m_LightLoadShare)
    Margin = m_Settings.m_LightLoadFinishMargin;
  if (Value.m_FinishSeconds * Margin >
      toSeconds(Live.m_Request.m_Deadline - m_Now))
    return false;
  if (Live.m_Request.m_Priority == model::Priority::Batch)
    return Value.m_Load < Slots * m_Settings.m_BatchSlotShare;
  // This node's equal share of the slots is always usable, however stale the
  // load reports are.
  size_t DirectNodes = std::max<size_t>(1, Endpoint.m_DirectNodes.size());
  return Value.m_Stats->inFlight() < std::max<size_t>(1, Slots / DirectNodes) ||
         Value.m_Load < Slots * (1 + m_Settings.m_SlotOvercommitShare);
}

double TrafficCore::predictPrefill(const LiveRequest &Live,
                                   const Candidate &Value) const {
  double Cached = static_cast<double>(Value.m_CachedBlocks) *
                  m_Settings.m_PrefixBlockTokens;
  double Prompt = std::max(0.0, Live.m_Request.m_PromptTokens - Cached);
  return Prompt * toSeconds(m_Settings.m_PromptTokenTime);
}

double TrafficCore::predictService(const LiveRequest &Live,
                                   const Candidate &Value,
                                   const LaneStats *Stats) const {
  const model::Request &Request = Live.m_Request;
  uint32_t Slots = m_Table->endpoints()[Value.m_Index].m_Spec->m_Slots;
  double TokenTime = Value.m_Stats->tokenTime();
  if (TokenTime == 0)
    TokenTime = m_MeanTokenTime;
  if (Stats == nullptr || Stats->m_MeanTokens == 0 || TokenTime == 0) {
    double Measured = Value.m_Stats->serviceTime();
    if (Measured == 0 && Stats != nullptr)
      Measured = Stats->m_MeanServiceSeconds;
    return Measured > 0 ? Measured : toSeconds(m_Settings.m_InitialServiceTime);
  }
  double Tokens = Stats->m_MeanTokens;
  if (Request.m_MaxTokens > 0)
    Tokens = Stats->m_MeanMaxTokensShare > 0
                 ? Stats->m_MeanMaxTokensShare * Request.m_MaxTokens
                 : std::min<double>(Tokens, Request.m_MaxTokens);
  return Tokens * TokenTime * batchFactor(Value.m_Load + 1, Slots);
}

double TrafficCore::predictWait(const LiveRequest &Live) const {
  if (m_Candidates.empty())
    return 0;
  double Slots = 0;
  double Load = 0;
  double Service = 0;
  double PeerFactor = 1;
  for (const Candidate &Each : m_Candidates) {
    const TableEndpoint &Endpoint = m_Table->endpoints()[Each.m_Index];
    Slots += Endpoint.m_Spec->m_Slots;
    Load += Each.m_Load;
    Service += Each.m_ServiceSeconds / static_cast<double>(m_Candidates.size());
    PeerFactor = std::max(PeerFactor, peerLoadFactor(Endpoint));
  }
  double QueuedAhead = m_Queue.countAhead(Live.m_Lane, Live.m_Request.m_Caller,
                                          Live.m_Request.m_Priority);
  double ExcessLoad = Load + QueuedAhead * PeerFactor + 1 - Slots;
  return std::max(0.0, ExcessLoad) / std::max(1.0, Slots) * Service;
}

TrafficCore::Choice TrafficCore::choose(const LiveRequest &Live) {
  const TableCopies *Copies = copiesOf(Live.m_Lane);
  if (Copies == nullptr) {
    m_Candidates.clear();
    return {ChoiceKind::Refuse, 0, 0,
            notRunRefusal(model::RefusalReason::UnknownModel,
                          "no longer declared")};
  }
  collectCandidates(Live, *Copies);
  if (m_Candidates.empty())
    return decideWithoutCandidates(Live, *Copies);
  return chooseAmong(Live);
}

TrafficCore::Choice
TrafficCore::decideWithoutCandidates(const LiveRequest &Live,
                                     const TableCopies &Copies) {
  model::Duration TimeLeft = Live.m_Request.m_Deadline - m_Now;
  Choice Result;
  Result.m_Refusal = notRunRefusal(model::RefusalReason::NoCopyAnswers,
                                   "no copy answers now", Copies.m_LoadTime);
  bool HasUntried = false;
  model::TimePoint EarliestReturn = model::TimePoint::max();
  for (EndpointIndex Index : Copies.m_Serving) {
    const std::vector<model::EndpointId> &Tried = Live.m_TriedEndpoints;
    if (std::find(Tried.begin(), Tried.end(),
                  m_Table->endpoints()[Index].m_Spec->m_Name) != Tried.end())
      continue;
    HasUntried = true;
    EarliestReturn = std::min(EarliestReturn,
                              m_RecordsByIndex[Index]->m_Stats.ejectedUntil());
  }
  if (HasUntried) {
    Result.m_Refusal.m_RetryAfter =
        std::max(EarliestReturn - m_Now, ShortRetryAfter);
    bool InTime = EarliestReturn < Live.m_Request.m_Deadline;
    Result.m_Kind = InTime ? ChoiceKind::Wait : ChoiceKind::Refuse;
  } else if (Copies.m_Serving.empty() && TimeLeft > Copies.m_LoadTime) {
    // Waiting demand makes the placement load a copy, which can be ready inside
    // the window.
    Result.m_Kind = ChoiceKind::Wait;
  }
  return Result;
}

TrafficCore::Choice TrafficCore::chooseAmong(const LiveRequest &Live) {
  Choice Result;
  Result.m_Candidate = m_Policy->pick(m_Candidates, m_Random);
  const Candidate &Picked = m_Candidates[Result.m_Candidate];
  Result.m_ServiceSeconds = Picked.m_ServiceSeconds;
  Result.m_Kind = ChoiceKind::Send;
  if (!m_Settings.m_Admission)
    return Result;
  if (Picked.m_HasRoom)
    return Result;
  double TimeLeft = toSeconds(Live.m_Request.m_Deadline - m_Now);
  double TimeNeeded = predictWait(Live) + Picked.m_ServiceSeconds;
  if (TimeNeeded <= TimeLeft) {
    Result.m_Kind = ChoiceKind::Wait;
    return Result;
  }
  if (std::optional<size_t> Probe = findProbeCandidate()) {
    Result.m_Candidate = *Probe;
    return Result;
  }
  Result.m_Kind = ChoiceKind::Refuse;
  Result.m_Refusal = notRunRefusal(
      model::RefusalReason::WindowTooShort,
      "the answer could not be whole inside the window",
      fromSeconds(std::max(TimeNeeded - TimeLeft, MinRetrySeconds)));
  return Result;
}

std::optional<size_t> TrafficCore::findProbeCandidate() const {
  for (size_t Index = 0; Index < m_Candidates.size(); ++Index) {
    const Candidate &Each = m_Candidates[Index];
    if (Each.m_Stats->inFlight() == 0 && Each.m_Load < 1 &&
        m_Now - Each.m_Stats->lastStart() >= m_Settings.m_ProbePeriod)
      return Index;
  }
  return std::nullopt;
}

void TrafficCore::dispatchOrEnqueue(LiveRequest &Live) {
  Choice Result = choose(Live);
  // Requests that wait already go first; if there is room for all,
  // dispatchWaiting() sends this one right after them.
  bool OthersWaitFirst =
      m_Settings.m_Admission &&
      m_Queue.countAhead(Live.m_Lane, Live.m_Request.m_Caller,
                         Live.m_Request.m_Priority) > 0;
  switch (Result.m_Kind) {
  case ChoiceKind::Send:
    if (OthersWaitFirst)
      enqueue(Live, Result.m_ServiceSeconds);
    else
      startAttempt(Live, m_Candidates[Result.m_Candidate]);
    return;
  case ChoiceKind::Wait:
    enqueue(Live, Result.m_ServiceSeconds);
    return;
  case ChoiceKind::Refuse:
    refuse(Live, Result.m_Refusal);
    return;
  }
}

void TrafficCore::enqueue(LiveRequest &Live, double Service) {
  const model::Request &Request = Live.m_Request;
  const model::CallerSpec *Caller = m_Table->findCaller(Request.m_Caller);
  Live.m_Phase = RequestPhase::Queued;
  Live.m_Queued = {
      Request.m_Id,       Request.m_Caller,    Caller ? Caller->m_Weight : 1,
      Request.m_Priority, Request.m_BodyBytes, Service};
  if (!push(Live)) {
    Live.m_Queued = QueuedRequest();
    refuseFull(Live);
    return;
  }
  m_DispatchNeeded = true;
  m_Demand.onQueued(Live.m_Lane.m_Artifact);
  setTimer(Live, std::max(m_Now, Request.m_Deadline - fromSeconds(Service)));
}

bool TrafficCore::push(const LiveRequest &Live) {
  if (m_Queue.push(Live.m_Lane, Live.m_Queued))
    return true;
  if (Live.m_Request.m_Priority == model::Priority::Batch)
    return false;
  // The newest batch request gives up its place to an interactive one.
  std::optional<QueuedRequest> Evicted = m_Queue.newestBatch(Live.m_Lane);
  if (!Evicted)
    return false;
  refuseFull(m_Live.find(Evicted->m_Request)->second);
  return m_Queue.push(Live.m_Lane, Live.m_Queued);
}

void TrafficCore::refuseFull(LiveRequest &Live) {
  refuse(Live, notRunRefusal(model::RefusalReason::QueueFull,
                             "too much waits for this model", ShortRetryAfter));
}

void TrafficCore::leaveQueue(LiveRequest &Live) {
  if (!Live.m_Queued.m_Request)
    return;
  m_Queue.remove(Live.m_Lane, Live.m_Queued);
  m_Demand.onDequeued(Live.m_Lane.m_Artifact);
  Live.m_Queued = QueuedRequest();
}

void TrafficCore::dispatchWaiting() {
  if (m_Queue.empty() || !m_Table)
    return;
  for (model::Priority Class :
       {model::Priority::Interactive, model::Priority::Batch}) {
    bool Sent = true;
    while (Sent) {
      Sent = false;
      for (const LaneKey &Lane : m_Queue.lanes(Class))
        Sent |= dispatchFrom(Lane, Class);
    }
  }
}

bool TrafficCore::dispatchFrom(const LaneKey &Lane, model::Priority Class) {
  const QueuedRequest *Next = m_Queue.front(Lane, Class);
  if (Next == nullptr)
    return false;
  LiveRequest &Live = m_Live.find(Next->m_Request)->second;
  Choice Result = choose(Live);
  if (Result.m_Kind == ChoiceKind::Wait)
    return false;
  if (Result.m_Kind == ChoiceKind::Refuse) {
    refuse(Live, Result.m_Refusal);
    return true;
  }
  m_Queue.pop(Lane, Class);
  m_Demand.onDequeued(Live.m_Lane.m_Artifact);
  Live.m_Queued = QueuedRequest();
  startAttempt(Live, m_Candidates[Result.m_Candidate]);
  return true;
}

std::optional<EndpointIndex>
TrafficCore::preview(const model::Request &Request,
                     const model::ArtifactId &Artifact, model::TimePoint Now) {
  if (!m_Table)
    return std::nullopt;
  m_Now = std::max(m_Now, Now);
  m_PreviewRequest.m_Request = Request;
  m_PreviewRequest.m_Lane.m_Artifact = Artifact;
  Choice Result = choose(m_PreviewRequest);
  if (Result.m_Kind != ChoiceKind::Send)
    return std::nullopt;
  return m_Candidates[Result.m_Candidate].m_Index;
}

void TrafficCore::logRoute(const LiveRequest &Live, const Candidate &Chosen,
                           const std::string &Destination) {
  if (!m_Settings.m_LogDecisions)
    return;
  model::Decision Entry;
  Entry.m_Subject = subjectOf(Live);
  Entry.m_Action = Live.m_IsResumed             ? "resume"
                   : Live.m_ForwardNode.empty() ? "route"
                                                : "forward";
  Entry.m_Chosen = Destination;
  Entry.m_Reason =
      "finish in " + inMilliseconds(Chosen.m_FinishSeconds) + " of " +
      inMilliseconds(toSeconds(Live.m_Request.m_Deadline - m_Now)) + ", load " +
      std::to_string(std::lround(Chosen.m_Load)) + ", cached blocks " +
      std::to_string(Chosen.m_CachedBlocks) + ", try " +
      std::to_string(Live.m_AttemptCount + 1);
  for (const Candidate &Each : m_Candidates) {
    if (Each.m_Index == Chosen.m_Index ||
        Entry.m_RunnersUp.size() == MaxRunnersUp)
      continue;
    std::string Reason = "finish in " + inMilliseconds(Each.m_FinishSeconds) +
                         ", load " + std::to_string(std::lround(Each.m_Load));
    if (!Each.m_HasRoom)
      Reason += ", no room";
    Entry.m_RunnersUp.push_back(
        {m_Table->endpoints()[Each.m_Index].m_Spec->m_Name.str(), Reason});
  }
  m_Effects->push_back(std::move(Entry));
}

void TrafficCore::logRefusal(const LiveRequest &Live, const char *Action,
                             const model::Refusal &Refusal) {
  if (!m_Settings.m_LogDecisions)
    return;
  model::Decision Entry;
  Entry.m_Subject = subjectOf(Live);
  Entry.m_Action = Action;
  Entry.m_Reason = std::string(model::toString(Refusal.m_Reason)) + ", " +
                   model::toString(Refusal.m_RunState) + ": " +
                   Refusal.m_Message;
  m_Effects->push_back(std::move(Entry));
}

} // namespace bronzepass::core::routing
