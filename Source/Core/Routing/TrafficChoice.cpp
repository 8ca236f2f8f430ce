#include "Core/Routing/Refusals.h"
#include "Core/Routing/TrafficCore.h"

#include <algorithm>
#include <cmath>

namespace bronzepass::core::routing {

namespace {

/// Candidates looked at for one choice; a model on more endpoints is sampled.
constexpr size_t MaxCandidates = 16;
constexpr size_t MaxRunnersUp = 3;
/// Seconds after which a refused caller comes back at the earliest.
constexpr double MinRetry = 0.1;

std::string inMilliseconds(double Seconds) {
  return std::to_string(static_cast<int64_t>(Seconds * 1000)) + " ms";
}

std::string subjectOf(const LiveRequest &Live) {
  const std::string &Service = Live.m_Lane.m_Service.str();
  return "request " + std::to_string(Live.m_Request.m_Id.m_Value) + " " +
         (Service.empty() ? model::toString(Live.m_Lane.m_Artifact) : Service);
}

} // namespace

const TableCopies *TrafficCore::copiesOf(const LaneKey &Lane) const {
  if (!Lane.m_Service.empty()) {
    const TableService *Service = m_Table->findService(Lane.m_Service);
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

double TrafficCore::mirror(const TableEndpoint &Endpoint) const {
  double Others = static_cast<double>(Endpoint.m_Drivers.size()) - 1;
  return 1 + m_Settings.m_MirrorFactor * std::max(0.0, Others);
}

void TrafficCore::collect(const LiveRequest &Live, const TableCopies &Copies) {
  m_Candidates.clear();
  auto Known = m_LaneStats.find(Live.m_Lane);
  const LaneStats *Stats =
      Known == m_LaneStats.end() ? nullptr : &Known->second;
  size_t Count = Copies.m_Serving.size();
  size_t Wanted = std::min(Count, MaxCandidates);
  size_t First = Count > MaxCandidates ? m_Dice.next() % Count : 0;
  for (size_t Step = 0; Step < Wanted; ++Step)
    addCandidate(
        Live, Copies.m_Serving[(First + Step * Count / Wanted) % Count], Stats);
}

void TrafficCore::addCandidate(const LiveRequest &Live, EndpointIndex Index,
                               const LaneStats *Stats) {
  const TableEndpoint &Endpoint = m_Table->endpoints()[Index];
  EndpointRecord &Record = *m_ByIndex[Index];
  if (!Record.m_View.accepts(m_Now))
    return;
  if (std::find(Live.m_Tried.begin(), Live.m_Tried.end(),
                Endpoint.m_Spec->m_Name) != Live.m_Tried.end())
    return;
  Candidate Value;
  Value.m_Index = Index;
  Value.m_View = &Record.m_View;
  Value.m_Load = Record.m_View.load(mirror(Endpoint));
  Value.m_CachedBlocks =
      m_Prefixes.matched(Live.m_Request.m_PrefixHashes, Record.m_Tag);
  uint32_t Slots = std::max(1U, Endpoint.m_Spec->m_Slots);
  double Prefill = predictPrefill(Live, Value);
  Value.m_Service = predictService(Live, Value, Stats) + Prefill;
  double Excess = std::max(0.0, Value.m_Load + 1 - Slots);
  double Hops = Endpoint.m_Driven || Live.m_Request.m_Forwarded ? 1 : 2;
  Value.m_Finish = Value.m_Service + Excess / Slots * Value.m_Service +
                   2 * Hops * toSeconds(Endpoint.m_Delay);
  Value.m_Cost = Value.m_Finish + m_Settings.m_PrefillBurden * Prefill *
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
    Margin = m_Settings.m_ContendedMargin;
  else if (Value.m_Load < Slots * m_Settings.m_SpareShare)
    Margin = m_Settings.m_SpareMargin;
  if (Value.m_Finish * Margin > toSeconds(Live.m_Request.m_Deadline - m_Now))
    return false;
  if (Live.m_Request.m_Priority == model::Priority::Batch)
    return Value.m_Load < Slots * m_Settings.m_BatchSlotShare;
  // An own part is always free, however stale the news of the others is.
  size_t Drivers = std::max<size_t>(1, Endpoint.m_Drivers.size());
  return Value.m_View->inFlight() < std::max<size_t>(1, Slots / Drivers) ||
         Value.m_Load < Slots * (1 + m_Settings.m_SlotSlack);
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
  double TokenTime = Value.m_View->tokenTime();
  if (TokenTime == 0)
    TokenTime = m_MeanTokenTime;
  if (Stats == nullptr || Stats->m_Tokens == 0 || TokenTime == 0) {
    double Measured = Value.m_View->serviceTime();
    if (Measured == 0 && Stats != nullptr)
      Measured = Stats->m_Service;
    return Measured > 0 ? Measured : toSeconds(m_Settings.m_FirstServiceGuess);
  }
  double Tokens = Stats->m_Tokens;
  if (Request.m_MaxTokens > 0)
    Tokens = Stats->m_TokenRatio > 0
                 ? Stats->m_TokenRatio * Request.m_MaxTokens
                 : std::min<double>(Tokens, Request.m_MaxTokens);
  return Tokens * TokenTime * batchFactor(Value.m_Load + 1, Slots);
}

double TrafficCore::predictWait(const LiveRequest &Live) const {
  if (m_Candidates.empty())
    return 0;
  double Slots = 0;
  double Load = 0;
  double Service = 0;
  double Mirror = 1;
  for (const Candidate &Each : m_Candidates) {
    const TableEndpoint &Endpoint = m_Table->endpoints()[Each.m_Index];
    Slots += Endpoint.m_Spec->m_Slots;
    Load += Each.m_Load;
    Service += Each.m_Service / static_cast<double>(m_Candidates.size());
    Mirror = std::max(Mirror, mirror(Endpoint));
  }
  double Ahead = m_Queue.ahead(Live.m_Lane, Live.m_Request.m_Caller,
                               Live.m_Request.m_Priority);
  double Excess = Load + Ahead * Mirror + 1 - Slots;
  return std::max(0.0, Excess) / std::max(1.0, Slots) * Service;
}

TrafficCore::Choice TrafficCore::choose(const LiveRequest &Live) {
  const TableCopies *Copies = copiesOf(Live.m_Lane);
  if (Copies == nullptr) {
    m_Candidates.clear();
    return {Advice::Refuse, 0, 0,
            notRun(model::RefusalReason::UnknownModel, "no longer declared")};
  }
  collect(Live, *Copies);
  if (m_Candidates.empty())
    return noCandidate(Live, *Copies);
  return chooseAmong(Live);
}

TrafficCore::Choice TrafficCore::noCandidate(const LiveRequest &Live,
                                             const TableCopies &Copies) {
  model::Duration Left = Live.m_Request.m_Deadline - m_Now;
  Choice Result;
  Result.m_Refusal = notRun(model::RefusalReason::NoCopyAnswers,
                            "no copy answers now", Copies.m_LoadTime);
  bool Untried = false;
  model::TimePoint Back = model::TimePoint::max();
  for (EndpointIndex Index : Copies.m_Serving) {
    const std::vector<model::EndpointId> &Tried = Live.m_Tried;
    if (std::find(Tried.begin(), Tried.end(),
                  m_Table->endpoints()[Index].m_Spec->m_Name) != Tried.end())
      continue;
    Untried = true;
    Back = std::min(Back, m_ByIndex[Index]->m_View.ejectedUntil());
  }
  if (Untried) {
    Result.m_Refusal.m_RetryAfter = std::max(Back - m_Now, ShortRetry);
    bool InTime = Back < Live.m_Request.m_Deadline;
    Result.m_Advice = InTime ? Advice::Wait : Advice::Refuse;
  } else if (Copies.m_Serving.empty() && Left > Copies.m_LoadTime) {
    // Demand that waits makes the placement load a copy inside the window.
    Result.m_Advice = Advice::Wait;
  }
  return Result;
}

TrafficCore::Choice TrafficCore::chooseAmong(const LiveRequest &Live) {
  Choice Result;
  Result.m_Candidate = m_Policy->pick(m_Candidates, m_Dice);
  const Candidate &Picked = m_Candidates[Result.m_Candidate];
  Result.m_Service = Picked.m_Service;
  Result.m_Advice = Advice::Send;
  if (!m_Settings.m_Admission)
    return Result;
  if (Picked.m_HasRoom)
    return Result;
  double Left = toSeconds(Live.m_Request.m_Deadline - m_Now);
  double Need = predictWait(Live) + Picked.m_Service;
  if (Need <= Left) {
    Result.m_Advice = Advice::Wait;
    return Result;
  }
  if (std::optional<size_t> Idle = probe()) {
    Result.m_Candidate = *Idle;
    return Result;
  }
  Result.m_Advice = Advice::Refuse;
  Result.m_Refusal = notRun(model::RefusalReason::WindowTooShort,
                            "the answer could not be whole inside the window",
                            fromSeconds(std::max(Need - Left, MinRetry)));
  return Result;
}

std::optional<size_t> TrafficCore::probe() const {
  for (size_t Index = 0; Index < m_Candidates.size(); ++Index) {
    const Candidate &Each = m_Candidates[Index];
    if (Each.m_View->inFlight() == 0 && Each.m_Load < 1 &&
        m_Now - Each.m_View->lastStart() >= m_Settings.m_ProbePeriod)
      return Index;
  }
  return std::nullopt;
}

void TrafficCore::place(LiveRequest &Live) {
  Choice Result = choose(Live);
  // Whoever waits already goes first, unless there is room for all.
  bool Overtakes = m_Settings.m_Admission &&
                   m_Queue.ahead(Live.m_Lane, Live.m_Request.m_Caller,
                                 Live.m_Request.m_Priority) > 0;
  switch (Result.m_Advice) {
  case Advice::Send:
    if (Overtakes)
      enqueue(Live, Result.m_Service);
    else
      start(Live, m_Candidates[Result.m_Candidate]);
    return;
  case Advice::Wait:
    enqueue(Live, Result.m_Service);
    return;
  case Advice::Refuse:
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
  m_MayHaveRoom = true;
  m_Demand.waits(Live.m_Lane.m_Artifact);
  setDue(Live, std::max(m_Now, Request.m_Deadline - fromSeconds(Service)));
}

bool TrafficCore::push(const LiveRequest &Live) {
  if (m_Queue.push(Live.m_Lane, Live.m_Queued))
    return true;
  if (Live.m_Request.m_Priority == model::Priority::Batch)
    return false;
  // The batch request that came last gives up its place.
  std::optional<QueuedRequest> Yields = m_Queue.newestBatch(Live.m_Lane);
  if (!Yields)
    return false;
  refuseFull(m_Live.find(Yields->m_Request)->second);
  return m_Queue.push(Live.m_Lane, Live.m_Queued);
}

void TrafficCore::refuseFull(LiveRequest &Live) {
  refuse(Live, notRun(model::RefusalReason::QueueFull,
                      "too much waits for this model", ShortRetry));
}

void TrafficCore::leaveQueue(LiveRequest &Live) {
  if (!Live.m_Queued.m_Request)
    return;
  m_Queue.remove(Live.m_Lane, Live.m_Queued);
  m_Demand.waitsNoMore(Live.m_Lane.m_Artifact);
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
  if (Result.m_Advice == Advice::Wait)
    return false;
  if (Result.m_Advice == Advice::Refuse) {
    refuse(Live, Result.m_Refusal);
    return true;
  }
  m_Queue.pop(Lane, Class);
  m_Demand.waitsNoMore(Live.m_Lane.m_Artifact);
  Live.m_Queued = QueuedRequest();
  start(Live, m_Candidates[Result.m_Candidate]);
  return true;
}

std::optional<EndpointIndex>
TrafficCore::preview(const model::Request &Request,
                     const model::ArtifactId &Artifact, model::TimePoint Now) {
  if (!m_Table)
    return std::nullopt;
  m_Now = std::max(m_Now, Now);
  m_Preview.m_Request = Request;
  m_Preview.m_Lane.m_Artifact = Artifact;
  Choice Result = choose(m_Preview);
  if (Result.m_Advice != Advice::Send)
    return std::nullopt;
  return m_Candidates[Result.m_Candidate].m_Index;
}

void TrafficCore::logRoute(const LiveRequest &Live, const Candidate &Chosen,
                           const std::string &Where) {
  if (!m_Settings.m_LogDecisions)
    return;
  model::Decision Line;
  Line.m_Subject = subjectOf(Live);
  Line.m_Action = Live.m_Resuming         ? "resume"
                  : Live.m_ToNode.empty() ? "route"
                                          : "forward";
  Line.m_Chosen = Where;
  Line.m_Reason = "finish in " + inMilliseconds(Chosen.m_Finish) + " of " +
                  inMilliseconds(toSeconds(Live.m_Request.m_Deadline - m_Now)) +
                  ", load " + std::to_string(std::lround(Chosen.m_Load)) +
                  ", cached blocks " + std::to_string(Chosen.m_CachedBlocks) +
                  ", try " + std::to_string(Live.m_Tries + 1);
  for (const Candidate &Each : m_Candidates) {
    if (Each.m_Index == Chosen.m_Index ||
        Line.m_RunnersUp.size() == MaxRunnersUp)
      continue;
    std::string Why = "finish in " + inMilliseconds(Each.m_Finish) + ", load " +
                      std::to_string(std::lround(Each.m_Load));
    if (!Each.m_HasRoom)
      Why += ", no room";
    Line.m_RunnersUp.push_back(
        {m_Table->endpoints()[Each.m_Index].m_Spec->m_Name.str(), Why});
  }
  m_Out->push_back(std::move(Line));
}

void TrafficCore::logEnd(const LiveRequest &Live, const char *Action,
                         const model::Refusal &Refusal) {
  if (!m_Settings.m_LogDecisions)
    return;
  model::Decision Line;
  Line.m_Subject = subjectOf(Live);
  Line.m_Action = Action;
  Line.m_Reason = std::string(model::toString(Refusal.m_Reason)) + ", " +
                  model::toString(Refusal.m_RunState) + ": " +
                  Refusal.m_Message;
  m_Out->push_back(std::move(Line));
}

} // namespace bronzepass::core::routing
