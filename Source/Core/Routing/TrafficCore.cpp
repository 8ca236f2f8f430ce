#include "Core/Routing/TrafficCore.h"
#include "Core/Model/Hash.h"
#include "Core/Routing/Refusals.h"

#include <algorithm>

namespace bronzepass::core::routing {

namespace {

/// How long to wait for the verdict on a claim whose request has ended.
constexpr model::Duration AbandonedClaimTimeout = std::chrono::seconds(60);

} // namespace

TrafficCore::TrafficCore(const TrafficSettings &Settings, ports::Random &Random,
                         model::NodeInfo Self)
    : m_Settings(Settings), m_Random(Random), m_Self(std::move(Self)),
      m_Policy(makePolicy(Settings.m_Policy)),
      m_Prefixes(Settings.m_PrefixEntries),
      m_Queue(Settings.m_QueueRequests, Settings.m_QueueBytes),
      m_Limiter(Settings.m_ReportPeriod),
      m_RetryBudget(Settings.m_RetryRatio, Settings.m_MinRetriesPerSecond) {}

void TrafficCore::handle(const TrafficEvent &Event, model::TimePoint Now,
                         TrafficEffectList &Effects) {
  m_Now = std::max(m_Now, Now);
  m_Effects = &Effects;
  std::visit([this](const auto &Each) { on(Each); }, Event);
  runTimers();
  if (m_DispatchNeeded)
    dispatchWaiting();
  m_DispatchNeeded = false;
  reportStopped();
  m_Effects = nullptr;
}

void TrafficCore::on(const RequestArrived &Event) {
  model::RequestId Id = Event.m_Request.m_Id;
  if (m_Live.contains(Id)) {
    ++m_Counts.m_StaleDropped;
    return;
  }
  ++m_Counts.m_Arrived;
  LiveRequest New;
  New.m_Request = Event.m_Request;
  New.m_KeyHash = Event.m_KeyHash;
  New.m_BodyHash = Event.m_BodyHash;
  std::optional<model::Refusal> Refusal = resolve(New);
  if (Refusal) {
    refuseOnArrival(New, *Refusal);
    return;
  }
  m_RetryBudget.onRequestArrived();
  if (!New.m_Request.m_Forwarded)
    m_Demand.onArrival(New.m_Lane.m_Artifact);
  LiveRequest &Live = m_Live.emplace(Id, std::move(New)).first->second;
  setTimer(Live, Live.m_Request.m_Deadline);
  if (!needsClaim(Live)) {
    dispatchOrEnqueue(Live);
    return;
  }
  Choice First = choose(Live);
  if (First.m_Kind == ChoiceKind::Refuse) {
    refuse(Live, First.m_Refusal);
    return;
  }
  Live.m_Phase = RequestPhase::AwaitingClaim;
  m_Effects->push_back(ports::ClaimRequested{
      Id, Live.m_KeyHash, Live.m_BodyHash, Live.m_Request.m_Deadline});
}

std::optional<model::Refusal> TrafficCore::resolve(LiveRequest &Live) {
  const model::Request &Request = Live.m_Request;
  if (m_Stopping)
    return notRunRefusal(model::RefusalReason::Stopping,
                         "this node is stopping", ShortRetryAfter);
  if (!m_Table)
    return notRunRefusal(model::RefusalReason::NoCopyAnswers,
                         "this node has no configuration yet", ShortRetryAfter);
  if (Request.m_Deadline <= m_Now)
    return notRunRefusal(model::RefusalReason::DeadlinePassed,
                         "the window had passed on arrival");
  if (!Request.m_ServicePool.empty()) {
    if (m_Table->findService(Request.m_ServicePool) == nullptr)
      return notRunRefusal(model::RefusalReason::UnknownModel,
                           "no such service is declared");
    Live.m_Lane.m_ServicePool = Request.m_ServicePool;
  } else if (std::optional<model::Refusal> Refusal = resolveModel(Live)) {
    return Refusal;
  }
  const model::CallerSpec *Caller = m_Table->findCaller(Request.m_Caller);
  if (Caller == nullptr || Request.m_Forwarded)
    return std::nullopt;
  std::optional<model::Duration> RetryAfter =
      m_Limiter.admit(*Caller, m_Table->nodes().size(), m_Now);
  if (RetryAfter)
    return notRunRefusal(model::RefusalReason::OverLimit,
                         "the caller's limit is used up", *RetryAfter);
  Live.m_CountedByLimiter = true;
  return std::nullopt;
}

std::optional<model::Refusal> TrafficCore::resolveModel(LiveRequest &Live) {
  const model::Request &Request = Live.m_Request;
  const TableModel *Model = m_Table->findModel(Request.m_Model);
  if (Model == nullptr || Model->m_Versions.empty())
    return notRunRefusal(model::RefusalReason::UnknownModel,
                         "no such model is declared");
  if (!m_Table->mayUse(Request.m_Caller, *Model))
    return notRunRefusal(model::RefusalReason::NotAllowed,
                         "a selector denies this model to this caller");
  const TableVersion *Version =
      RoutingTable::findVersion(*Model, Request.m_Version);
  if (Request.m_Version.empty())
    Version = &RoutingTable::selectVersion(*Model, Request.m_Adapter,
                                           m_Random.next());
  if (Version == nullptr)
    return notRunRefusal(model::RefusalReason::UnknownModel,
                         "no such version is declared");
  if (!Request.m_Adapter.empty() &&
      !RoutingTable::findAdapter(*Version, Request.m_Adapter))
    return notRunRefusal(model::RefusalReason::UnknownModel,
                         "no such adapter is declared");
  Live.m_Lane.m_Artifact = {Request.m_Model, Version->m_Spec->m_Version,
                            Request.m_Adapter};
  const std::string Artifact = model::toString(Live.m_Lane.m_Artifact);
  for (uint64_t &Hash : Live.m_Request.m_PrefixHashes)
    Hash = model::cachedPrefixHash(Hash, Artifact);
  return std::nullopt;
}

void TrafficCore::on(const CallerDisconnected &Event) {
  auto Found = m_Live.find(Event.m_Request);
  if (Found == m_Live.end() || Found->second.m_CallerDone)
    return;
  LiveRequest &Live = Found->second;
  if (Live.m_Phase == RequestPhase::AwaitingClaim) {
    m_AbandonedClaims[Event.m_Request] = {Live.m_KeyHash,
                                          m_Now + AbandonedClaimTimeout};
  } else if (Live.m_Phase == RequestPhase::Running && Live.m_Claimed) {
    Live.m_CallerDone = true;
    setTimer(Live, Live.m_Request.m_Deadline + m_Settings.m_OutcomeGrace);
    return;
  }
  if (Live.m_Phase == RequestPhase::Queued)
    releaseClaim(Live);
  cancelAttempt(Live);
  removeRequest(Live);
}

void TrafficCore::on(const TableChanged &Event) {
  m_Table = Event.m_Table;
  m_DispatchNeeded = true;
  m_RecordsByIndex.clear();
  for (const TableEndpoint &Each : m_Table->endpoints())
    m_RecordsByIndex.push_back(&recordFor(Each.m_Spec->m_Name));
  for (const TableEndpoint &Each : m_Table->endpoints())
    updateLiveness(Each);
  std::erase_if(m_AvoidedNodes, [this](const auto &Avoided) {
    return Avoided.second <= m_Now;
  });
  for (auto It = m_Endpoints.begin(); It != m_Endpoints.end();) {
    bool Declared = m_Table->findEndpoint(It->first) != nullptr;
    if (Declared || It->second.m_Stats.inFlight() > 0)
      ++It;
    else
      It = m_Endpoints.erase(It);
  }
  for (auto It = m_LaneStats.begin(); It != m_LaneStats.end();) {
    if (copiesOf(It->first) != nullptr)
      ++It;
    else
      It = m_LaneStats.erase(It);
  }
}

void TrafficCore::updateLiveness(const TableEndpoint &Endpoint) {
  EndpointRecord &Record = recordFor(Endpoint.m_Spec->m_Name);
  bool Gone = Endpoint.m_Liveness == model::Liveness::Gone;
  if (Gone && !Record.m_Gone) {
    // A new process will return under this name, with an empty cache.
    Record.m_Stats.reset();
    Record.m_CacheSequence = 0;
    m_Prefixes.forget(Record.m_Tag);
  }
  Record.m_Gone = Gone;
}

void TrafficCore::on(const LoadReported &Event) {
  if (!m_Table || !m_Table->findEndpoint(Event.m_Endpoint))
    return;
  recordFor(Event.m_Endpoint)
      .m_Stats.onLoadReport(Event.m_Load, Event.m_MadeAt);
  m_DispatchNeeded = true;
}

void TrafficCore::on(const CacheChanged &Event) {
  if (!m_Table || !m_Table->findEndpoint(Event.m_Endpoint))
    return;
  EndpointRecord &Record = recordFor(Event.m_Endpoint);
  if (Event.m_Sequence <= Record.m_CacheSequence && !Event.m_Cleared)
    return;
  Record.m_CacheSequence = Event.m_Sequence;
  if (Event.m_Cleared)
    m_Prefixes.forget(Record.m_Tag);
  for (uint64_t Hash : Event.m_Removed)
    m_Prefixes.remove(Hash, Record.m_Tag);
  for (uint64_t Hash : Event.m_Added)
    m_Prefixes.add(Hash, Record.m_Tag);
}

void TrafficCore::on(const ports::PeerUsageUpdated &Event) {
  m_Limiter.setRemoteUsage(Event.m_Others);
}

void TrafficCore::on(const TrafficTick & /*Event*/) {
  m_DispatchNeeded = true;
  for (auto It = m_AbandonedClaims.begin(); It != m_AbandonedClaims.end();) {
    // Without a verdict the claim stays taken, which is the safe choice.
    if (It->second.m_Expires <= m_Now)
      It = m_AbandonedClaims.erase(It);
    else
      ++It;
  }
  if (m_Now - m_ReportedAt >= m_Settings.m_ReportPeriod)
    report();
}

void TrafficCore::on(const TrafficStopRequested & /*Event*/) {
  m_Stopping = true;
}

void TrafficCore::report() {
  m_ReportedAt = m_Now;
  ports::TrafficReport Report{m_Demand.takeSamples(), m_Limiter.takeUsage()};
  if (!Report.m_Demand.empty() || !Report.m_Usage.empty())
    m_Effects->push_back(std::move(Report));
}

void TrafficCore::setTimer(LiveRequest &Live, model::TimePoint When) {
  model::RequestId Id = Live.m_Request.m_Id;
  m_Timers.erase({Live.m_TimerAt, Id});
  Live.m_TimerAt = When;
  m_Timers.insert({When, Id});
}

void TrafficCore::runTimers() {
  while (!m_Timers.empty() && m_Timers.begin()->first <= m_Now) {
    auto Found = m_Live.find(m_Timers.begin()->second);
    m_Timers.erase(m_Timers.begin());
    if (Found != m_Live.end())
      onTimerExpired(Found->second);
  }
}

void TrafficCore::onTimerExpired(LiveRequest &Live) {
  if (Live.m_CallerDone) {
    // The outcome stays unknown, so the claim stays taken.
    cancelAttempt(Live);
    removeRequest(Live);
    return;
  }
  if (Live.m_Phase == RequestPhase::AwaitingClaim) {
    m_AbandonedClaims[Live.m_Request.m_Id] = {Live.m_KeyHash,
                                              m_Now + AbandonedClaimTimeout};
    refuse(Live, notRunRefusal(model::RefusalReason::ClaimStoreDown,
                               "the claim was not recorded inside the window",
                               ShortRetryAfter));
    return;
  }
  const TableCopies *Copies = copiesOf(Live.m_Lane);
  bool NoCopy = Copies == nullptr || Copies->m_Serving.empty();
  if (Live.m_Phase == RequestPhase::Queued && NoCopy) {
    refuse(Live, notRunRefusal(model::RefusalReason::NoCopyAnswers,
                               "no copy answered while the window could be met",
                               Copies ? Copies->m_LoadTime : ShortRetryAfter));
    return;
  }
  if (Live.m_Phase == RequestPhase::Queued) {
    refuse(Live, {model::RefusalReason::WindowTooShort, model::RunState::NotRun,
                  "no endpoint had room while the window could be met",
                  fromSeconds(predictWait(Live)) + ShortRetryAfter});
    return;
  }
  model::Refusal Refusal{
      model::RefusalReason::DeadlinePassed, model::RunState::Unknown,
      "the window passed before the answer was whole", model::Duration(0)};
  if (!Live.m_Claimed) {
    cancelAttempt(Live);
    refuse(Live, Refusal);
    return;
  }
  // The caller is answered now, but the run goes on so that its outcome can be
  // recorded.
  model::RequestId Id = Live.m_Request.m_Id;
  Refusal.m_RunState =
      Live.m_Ran ? model::RunState::Ran : model::RunState::Unknown;
  logRefusal(Live, "refuse", Refusal);
  ++m_Counts.m_Refused;
  if (Live.m_HeadRelayed)
    m_Effects->push_back(BreakAnswer{Id, Refusal});
  else
    m_Effects->push_back(RefuseRequest{Id, Refusal});
  Live.m_CallerDone = true;
  setTimer(Live, Live.m_Request.m_Deadline + m_Settings.m_OutcomeGrace);
}

void TrafficCore::refuse(LiveRequest &Live, model::Refusal Refusal) {
  model::RequestId Id = Live.m_Request.m_Id;
  if (Live.m_Ran)
    Refusal.m_RunState = model::RunState::Ran;
  else if (Live.m_MayHaveRun)
    Refusal.m_RunState = model::RunState::Unknown;
  else
    releaseClaim(Live);
  if (!Live.m_CallerDone) {
    logRefusal(Live, Live.m_HeadRelayed ? "break" : "refuse", Refusal);
    if (!Live.m_Request.m_Forwarded)
      m_Demand.onRefused(Live.m_Lane.m_Artifact);
    if (Live.m_HeadRelayed) {
      ++m_Counts.m_Broken;
      m_Effects->push_back(BreakAnswer{Id, Refusal});
    } else {
      ++m_Counts.m_Refused;
      m_Effects->push_back(RefuseRequest{Id, Refusal});
    }
  }
  removeRequest(Live);
}

void TrafficCore::refuseOnArrival(const LiveRequest &Live,
                                  const model::Refusal &Refusal) {
  ++m_Counts.m_Refused;
  logRefusal(Live, "refuse", Refusal);
  m_Effects->push_back(RefuseRequest{Live.m_Request.m_Id, Refusal});
}

void TrafficCore::removeRequest(LiveRequest &Live) {
  leaveQueue(Live);
  if (Live.m_CountedByLimiter)
    m_Limiter.onRequestEnded(Live.m_Request.m_Caller,
                             Live.m_Tokens +
                                 Live.m_Request.m_PromptTokens *
                                     (Live.m_AttemptCount > 0 ? 1 : 0));
  m_Timers.erase({Live.m_TimerAt, Live.m_Request.m_Id});
  m_Live.erase(Live.m_Request.m_Id);
}

void TrafficCore::reportStopped() {
  if (!m_Stopping || m_StoppedReported || !m_Live.empty() ||
      !m_AbandonedClaims.empty())
    return;
  m_StoppedReported = true;
  report();
  m_Effects->push_back(TrafficStopped());
}

TrafficCore::EndpointRecord &
TrafficCore::recordFor(const model::EndpointId &Endpoint) {
  auto Found = m_Endpoints.find(Endpoint);
  if (Found != m_Endpoints.end())
    return Found->second;
  EndpointRecord &New =
      m_Endpoints.emplace(Endpoint, EndpointRecord(m_Settings)).first->second;
  if (++m_LastTag == 0) {
    ++m_LastTag;
    m_TagsReused = true;
  }
  New.m_Tag = m_LastTag;
  if (m_TagsReused)
    m_Prefixes.forget(New.m_Tag);
  return New;
}

} // namespace bronzepass::core::routing
