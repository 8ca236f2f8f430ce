#include "Core/Gateway/PrefillCost.h"
#include "Core/Gateway/RelayCore.h"

#include <algorithm>
#include <limits>

namespace bronzepass::core::gateway {

namespace {

constexpr int BadGateway = 502;
constexpr int ServiceUnavailable = 503;
constexpr double MillisPerMicro = 1e-3;

// Costs by which endpoints are compared, in milliseconds of the caller's time.
// Only the order of the candidates matters, not the sum.

/// A full batch compared with an empty one, for each request in it.
constexpr double FullBatchCostMs = 150;
/// The same for a plain service, whose calls are not batched.
constexpr double FullServiceCostMs = 20;
/// Another failure domain: the round trip and the price of the traffic.
constexpr double OtherDomainCostMs = 6;
/// An endpoint that fails every answer.
constexpr double AlwaysFailingCostMs = 3000;
/// An endpoint that turns every request away: more than a full batch, since the
/// load of such an endpoint says nothing.
constexpr double AlwaysRejectingCostMs = 1000;
/// An endpoint with twice the mean time to the first chunk.
constexpr double SlownessCostMs = 100;

constexpr model::Duration MinRetryAfter = std::chrono::milliseconds(60);
constexpr model::Duration NoEndpointRetryAfter = std::chrono::milliseconds(400);
/// An endpoint that refuses connections is back or replaced within seconds.
constexpr model::Duration LostEndpointRetryAfter =
    std::chrono::milliseconds(800);

constexpr const char *QuarantineReason =
    "it, or a part of its prompt, crashes engines";

} // namespace

model::Duration RelayCore::jittered(model::Duration Base) const {
  // 0.5 to 1.5 times the base, so that callers do not retry all at once.
  const int64_t Half = std::max<int64_t>(1, Base.count() / 2);
  return model::Duration(
      Half +
      static_cast<int64_t>(m_Random.next() % static_cast<uint64_t>(2 * Half)));
}

double RelayCore::endpointCostMs(const ActiveRequest &Active,
                                 const ServiceState &Service,
                                 const EndpointView &Endpoint,
                                 double &WaitMs) const {
  const bool IsEngine = !Active.m_Request.m_ModelRef.m_Model.empty();
  const double Slots = std::max(1U, Endpoint.m_Entry.m_Slots);
  const double Load = Endpoint.load();
  const double AnswerMs =
      Service.m_AnswerMs > 0 ? Service.m_AnswerMs : DefaultAnswerMs;
  const double Slowness =
      Endpoint.slownessAt(m_Now, m_Settings.m_SlownessHalfLife);
  WaitMs = std::max(0.0, Load + 1 - Slots) * AnswerMs * Slowness / Slots;
  double Cost = WaitMs + (IsEngine ? FullBatchCostMs : FullServiceCostMs) *
                             Load / Slots * Slowness;
  Cost += SlownessCostMs * std::max(0.0, Slowness - 1);
  Cost += AlwaysFailingCostMs *
          Endpoint.failureShareAt(m_Now, m_Settings.m_FailureHalfLife);
  Cost += AlwaysRejectingCostMs *
          Endpoint.rejectShareAt(m_Now, m_Settings.m_RejectHalfLife);
  if (Endpoint.m_Entry.m_Domain != m_Settings.m_Domain)
    Cost += OtherDomainCostMs;
  return Cost + prefillCostMs(
                    {.m_PrefillMs = Service.m_PrefillMsPerToken *
                                    missingTokens(Active, Endpoint) * Slowness,
                     .m_QueuedPrefillMs = Service.m_PrefillMsPerToken *
                                          Endpoint.prefillTokens() * Slowness,
                     .m_RunningRequests = Load,
                     .m_LongPrefillMs = Service.m_LongPrefillMs});
}

uint32_t RelayCore::missingTokens(const ActiveRequest &Active,
                                  const EndpointView &Endpoint) const {
  const uint32_t Matched =
      m_Prefixes.matched(Active.m_PromptHashes, Endpoint.m_Tag);
  uint32_t Missing = Active.m_Request.m_PromptTokens;
  for (uint32_t I = 0; I < Matched; ++I)
    Missing -= std::min(Missing, Active.m_Request.m_Prompt[I].m_Tokens);
  return Missing;
}

RelayCore::Choice RelayCore::chooseEndpoint(const ActiveRequest &Active) const {
  Choice Best;
  const auto Service = m_Services.find(Active.m_Service);
  if (Service == m_Services.end())
    return Best;
  const std::vector<EndpointView *> &All = Service->second.m_Endpoints;
  const uint32_t MaxConnections = Service->second.m_MaxConnections;
  double BestCost = std::numeric_limits<double>::max();
  std::vector<LimitedCandidate> Limited;
  std::vector<LimitedCandidate> Paced;
  const size_t Start = All.empty() ? 0 : m_Random.next() % All.size();
  for (size_t I = 0; I < All.size(); ++I) {
    EndpointView *const Endpoint = All[(Start + I) % All.size()];
    if (Endpoint->isLeaving() || !fitsRequiredVersion(Active, *Endpoint))
      continue;
    if (!Active.m_Request.m_ModelRef.m_Model.empty() &&
        !Endpoint->holds(Active.m_Request.m_ModelRef, m_Now))
      continue;
    Best.m_CopyExists = true;
    if (m_Now < Endpoint->m_EjectedUntil && !Active.m_IsTrial)
      continue;
    // An endpoint over its limit resets connections, also those of running
    // requests.
    if (MaxConnections > 0 && Endpoint->load() >= MaxConnections)
      continue;
    if (isFull(*Endpoint)) {
      const model::Duration Wait =
          std::max(Endpoint->m_FullUntil - m_Now,
                   Endpoint->m_RateShare->timeToNext(m_Now));
      Best.m_TimeToNext = std::min(Wait, Best.m_TimeToNext.value_or(Wait));
      Best.m_LimitedPerSecond += Endpoint->m_RateShare->tokensPerSecond();
      continue;
    }
    if (m_Now < Endpoint->m_PausedUntil) {
      const model::Duration Wait = Endpoint->m_PausedUntil - m_Now;
      Best.m_TimeToNext = std::min(Wait, Best.m_TimeToNext.value_or(Wait));
      continue;
    }
    const bool Tried =
        std::find(Active.m_Tried.begin(), Active.m_Tried.end(),
                  Endpoint->m_Entry.m_Id) != Active.m_Tried.end();
    if (Tried)
      continue;
    ++Best.m_Candidates;
    double WaitMs = 0;
    const double Cost =
        endpointCostMs(Active, Service->second, *Endpoint, WaitMs);
    if (Endpoint->m_RateShare) {
      Limited.push_back({Cost, WaitMs, Endpoint});
      continue;
    }
    if (Endpoint->m_Pace && !Active.m_IsTrial) {
      Paced.push_back({Cost, WaitMs, Endpoint});
      continue;
    }
    if (Cost >= BestCost)
      continue;
    BestCost = Cost;
    Best.m_Endpoint = Endpoint;
    Best.m_WaitMs = WaitMs;
  }
  choosePaced(Paced, Service->second, BestCost, Best);
  chooseLimited(Limited, BestCost, Best);
  return Best;
}

void RelayCore::choosePaced(std::vector<LimitedCandidate> &Paced,
                            const ServiceState &Service, double &BestCost,
                            Choice &Best) const {
  // A draw may cost a token: only those are asked that would be chosen.
  std::sort(Paced.begin(), Paced.end(),
            [](const LimitedCandidate &Left, const LimitedCandidate &Right) {
              return Left.m_CostMs < Right.m_CostMs;
            });
  for (const LimitedCandidate &Each : Paced) {
    // Among equals it goes first, since its answers tell something.
    if (Each.m_CostMs > BestCost)
      return;
    const bool Allowed = paceAllows(*Each.m_Endpoint);
    // Beyond its pace it is still better than a longer wait, or than none.
    const double Cost =
        Each.m_CostMs +
        (Allowed ? 0 : beyondPaceCostMs(Service, *Each.m_Endpoint));
    if (Cost > BestCost)
      continue;
    BestCost = Cost;
    Best.m_Endpoint = Each.m_Endpoint;
    Best.m_WaitMs = Each.m_WaitMs;
  }
}

double RelayCore::beyondPaceCostMs(const ServiceState &Service,
                                   const EndpointView &Endpoint) const {
  const double Window = Endpoint.m_Pace->window();
  const double AnswerMs =
      Service.m_AnswerMs > 0 ? Service.m_AnswerMs : DefaultAnswerMs;
  const double Excess = std::max(0.0, estimatedLoad(Endpoint) - Window) + 1;
  return FullBatchCostMs + Excess * AnswerMs / Window +
         (Endpoint.m_Pace->isSilent() ? AlwaysFailingCostMs : 0);
}

void RelayCore::chooseLimited(std::vector<LimitedCandidate> &Limited,
                              double BestCost, Choice &Best) const {
  // Asking whether a request is allowed may cost a token: only those are asked
  // that would be chosen.
  std::sort(Limited.begin(), Limited.end(),
            [](const LimitedCandidate &Left, const LimitedCandidate &Right) {
              return Left.m_CostMs < Right.m_CostMs;
            });
  for (const LimitedCandidate &Each : Limited) {
    if (Each.m_CostMs >= BestCost)
      return;
    RequestRateShare &Share = *Each.m_Endpoint->m_RateShare;
    if (Share.allows(m_Now, m_Random.next())) {
      Best.m_Endpoint = Each.m_Endpoint;
      Best.m_WaitMs = Each.m_WaitMs;
      return;
    }
    Best.m_LimitedPerSecond += Share.tokensPerSecond();
    const model::Duration Wait = Share.timeToNext(m_Now);
    Best.m_TimeToNext = std::min(Wait, Best.m_TimeToNext.value_or(Wait));
  }
}

ChoiceInputs RelayCore::choiceInputs(const ActiveRequest &Active,
                                     const Choice &Chosen) const {
  const EndpointView &Endpoint = *Chosen.m_Endpoint;
  ChoiceInputs Inputs;
  Inputs.m_Candidates = Chosen.m_Candidates;
  Inputs.m_OwnLoad = Endpoint.m_InFlight;
  Inputs.m_PeerLoad = Endpoint.m_PeersInFlight;
  for (const auto &Peer : m_Peers)
    Inputs.m_PeerAge = std::max(Inputs.m_PeerAge, m_Now - Peer.second.m_At);
  Inputs.m_PredictedWait =
      model::Duration(static_cast<int64_t>(Chosen.m_WaitMs / MillisPerMicro));
  Inputs.m_MissingTokens = missingTokens(Active, Endpoint);
  Inputs.m_TokensAhead = Endpoint.prefillTokens();
  return Inputs;
}

bool RelayCore::rejectQuarantined(ActiveRequest &Active, RelayEffectList &Out) {
  const std::optional<model::TimePoint> End =
      m_Quarantine.quarantineEnd(Active.m_Traits, m_Now);
  if (!End)
    return false;
  if (Active.m_ForwardingStarted)
    abortAnswer(Active, QuarantineReason, Out);
  else if (Active.m_PossibleRuns > 0)
    reject(Active, BadGateway, std::nullopt, QuarantineReason, Out);
  else
    reject(Active, ServiceUnavailable, *End - m_Now, QuarantineReason, Out);
  return true;
}

void RelayCore::dispatch(ActiveRequest &Active, RelayEffectList &Out) {
  if (expireIfDue(Active, Out) || rejectBeyondStop(Active, Out))
    return;
  if (rejectUnauthorised(Active, Out))
    return;
  if (rejectQuarantined(Active, Out))
    return;
  if (forwardIfLinksLost(Active, Out))
    return;
  Active.m_IsTrial = isTrialDue(Active.m_Service);
  const Choice Chosen = chooseEndpoint(Active);
  Active.m_Inputs.reset();
  if (Chosen.m_Endpoint)
    Active.m_Inputs = choiceInputs(Active, Chosen);
  const model::Duration Left = Active.m_Deadline - m_Now;
  if (Chosen.m_Endpoint) {
    const double LeftMs = static_cast<double>(Left.count()) * MillisPerMicro;
    if (Chosen.m_WaitMs <= m_Settings.m_MaxWaitShare * LeftMs ||
        hasBegun(Active) || ordersBySlack(Active)) {
      if (!Active.m_IsTrial && mustHold(Active, Chosen))
        holdOrReject(Active, Chosen, Out);
      else if (takeQuota(Active, Out))
        send(Active, *Chosen.m_Endpoint, Out);
      return;
    }
    if (Active.m_PossibleRuns > 0) {
      finishUnsuccessful(
          Active, {SendResult::Broken, 0, false, Active.m_LastFailure}, Out);
      return;
    }
    reject(Active, ServiceUnavailable,
           std::max(MinRetryAfter,
                    std::min(Active.m_Inputs->m_PredictedWait, Left / 3)),
           "every endpoint that could run it is full", Out);
    return;
  }
  if (Active.m_ForwardingStarted) {
    abortAnswer(Active, "no endpoint is left to resume the stream", Out);
    return;
  }
  // Every endpoint that could run it was tried: they are busy, not gone.
  if (Active.m_PossibleRuns > 0 ||
      (Active.m_Sends > 0 && Chosen.m_CopyExists)) {
    finishUnsuccessful(
        Active, {SendResult::Broken, 0, false, Active.m_LastFailure}, Out);
    return;
  }
  if (!Chosen.m_CopyExists && !Active.m_Request.m_ModelRef.m_Model.empty()) {
    waitForCopy(Active, Out);
    return;
  }
  if (Chosen.m_LimitedPerSecond > 0) {
    holdForLimit(Active, Chosen, Out);
    return;
  }
  if (Chosen.m_TimeToNext) {
    reject(Active, ServiceUnavailable,
           std::min(jittered(std::max(MinRetryAfter, *Chosen.m_TimeToNext)),
                    Left / 3),
           EndpointsTakeNoMore, Out);
    return;
  }
  reject(Active, ServiceUnavailable,
         std::min(jittered(LostEndpointRetryAfter), Left / 3),
         "no endpoint can take it", Out);
}

void RelayCore::waitForCopy(ActiveRequest &Active, RelayEffectList &Out) {
  const ModelRef &Ref = Active.m_Request.m_ModelRef;
  const ServiceSpec *const Service = Active.m_Table->service(Active.m_Service);
  const ServedModel *const Model = Service && Service->m_Engine
                                       ? Service->m_Engine->model(Ref.m_Model)
                                       : nullptr;
  if (!Model) {
    reject(Active, ServiceUnavailable, jittered(NoEndpointRetryAfter),
           "the service has no such model", Out);
    return;
  }
  bool BaseExists = false;
  for (const EndpointView *const Each :
       m_Services[Active.m_Service].m_Endpoints)
    BaseExists = BaseExists ||
                 (!Each->isLeaving() && fitsRequiredVersion(Active, *Each) &&
                  Each->holds({Ref.m_Model, ""}, m_Now));
  if (Active.m_WaitsUntil && m_Now < *Active.m_WaitsUntil)
    return;
  if (!Active.m_WaitsUntil || !BaseExists)
    Out.push_back(CopyRequest{Active.m_Service, Ref});
  if (Active.m_WaitsUntil || !BaseExists) {
    reject(Active, ServiceUnavailable,
           BaseExists ? jittered(m_Settings.m_MaxAdapterWait)
                      : Model->m_LoadTime + jittered(NoEndpointRetryAfter),
           "no engine holds " + Ref.m_Model +
               (Ref.m_Adapter.empty() ? "" : "/" + Ref.m_Adapter) + " now",
           Out);
    return;
  }
  Active.m_WaitsUntil =
      std::min(m_Now + m_Settings.m_MaxAdapterWait, Active.m_Deadline);
  m_Waiting.insert(Active.m_Request.m_Number);
  log(Active, "wait", 0, "an adapter is being loaded", Out);
}

void RelayCore::dispatchWaiting(RelayEffectList &Out) {
  // A copy, because a dispatched request is removed from the set.
  const std::vector<model::RequestId> Waiting(m_Waiting.begin(),
                                              m_Waiting.end());
  for (const model::RequestId &Number : Waiting)
    dispatch(m_ActiveRequests.at(Number), Out);
  dispatchHeld(Out);
}

void RelayCore::send(ActiveRequest &Active, EndpointView &Endpoint,
                     RelayEffectList &Out) {
  const bool First = Active.m_Sends == 0;
  ++Active.m_Sends;
  m_Held.onSent(Active.m_Request.m_Number, m_Now);
  endWaiting(Active);
  Active.m_Attempt = {++m_LastAttempt};
  Active.m_Endpoint = Endpoint.m_Entry.m_Id;
  Active.m_ForwardedTo.reset();
  if (Active.m_IsTrial)
    m_LinksTriedAt[Active.m_Service] = m_Now;
  Active.m_SentAt = m_Now;
  Active.m_AnswerStarted = false;
  Active.m_Tried.push_back(Endpoint.m_Entry.m_Id);
  noteSent(Endpoint);
  ++Endpoint.m_InFlight;
  if (Endpoint.m_RateShare)
    Endpoint.m_RateShare->take(m_Now);
  Active.m_PrefillTokens = Active.m_Inputs->m_MissingTokens;
  Endpoint.m_PrefillTokens += Active.m_PrefillTokens;
  m_PrefillChanges += Active.m_PrefillTokens > 0;
  Active.m_TokensAhead = Endpoint.prefillTokens();
  m_Attempts[Active.m_Attempt] = Active.m_Request.m_Number;
  for (const uint64_t Hash : Active.m_PromptHashes)
    m_Prefixes.add(Hash, Endpoint.m_Tag);
  log(Active, First ? "send" : "retry", 0, Active.m_LastFailure, Out);
  Active.m_Inputs.reset();
  Out.push_back(
      SendRequest{.m_Request = Active.m_Request.m_Number,
                  .m_Attempt = Active.m_Attempt,
                  .m_Endpoint = Endpoint.m_Entry.m_Id,
                  .m_SoftwareVersion = Endpoint.m_Entry.m_SoftwareVersion,
                  .m_Service = Active.m_Service,
                  .m_Address = Endpoint.m_Entry.m_Address,
                  .m_Remaining = Active.m_Deadline - m_Now,
                  .m_Priority = Active.m_Priority,
                  .m_Organisation = organisationToTell(Active),
                  .m_Resume = Active.m_ForwardingStarted,
                  .m_Stream = Active.m_Route->m_Stream,
                  .m_IsTrial = Active.m_IsTrial});
}

} // namespace bronzepass::core::gateway
