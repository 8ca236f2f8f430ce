#include "Core/Gateway/PromptHoldUp.h"
#include "Core/Gateway/RelayCore.h"

#include <algorithm>
#include <limits>

namespace bronzepass::core::gateway {

namespace {

constexpr int ServiceUnavailable = 503;
constexpr double MillisPerMicro = 1e-3;

// Weights of the choice, all in milliseconds of the caller's time. Set by
// trials; the order of candidates matters, not the sum.

/// What a full batch costs each request in it, beside an empty one.
constexpr double FullBatchMs = 150;
/// The same for a plain service, whose calls do not share a batch.
constexpr double FullServiceMs = 20;
/// Another failure domain: its way there and back, and the bytes' price.
constexpr double OtherDomainMs = 6;
/// An endpoint that fails every answer.
constexpr double AlwaysFailingMs = 3000;
/// An endpoint twice as slow as the others, per its mean.
constexpr double SlownessMs = 100;
/// A slot's hold on a request where nothing was measured yet.
constexpr double UnmeasuredWholeMs = 500;

constexpr model::Duration LeastRetryAfter = std::chrono::milliseconds(60);
constexpr model::Duration NoEndpointRetryAfter = std::chrono::milliseconds(400);
/// An endpoint that refuses connections is back, or replaced, within seconds.
constexpr model::Duration LostEndpointRetryAfter =
    std::chrono::milliseconds(800);

} // namespace

model::Duration RelayCore::jittered(model::Duration Base) const {
  // Half to one and a half, so that callers do not come back together.
  const int64_t Half = std::max<int64_t>(1, Base.count() / 2);
  return model::Duration(
      Half +
      static_cast<int64_t>(m_Dice.next() % static_cast<uint64_t>(2 * Half)));
}

double RelayCore::costOf(const Live &Value, const ServiceView &Service,
                         const EndpointView &Endpoint, double &WaitMs) const {
  const bool IsEngine = !Value.m_Request.m_Use.m_Model.empty();
  const double Slots = std::max(1U, Endpoint.m_Entry.m_Slots);
  const double Load = Endpoint.load();
  const double WholeMs =
      Service.m_WholeMs > 0 ? Service.m_WholeMs : UnmeasuredWholeMs;
  const double Slowness =
      Endpoint.slownessAt(m_Now, m_Settings.m_SlownessHalfLife);
  WaitMs = std::max(0.0, Load + 1 - Slots) * WholeMs * Slowness / Slots;
  double Cost = WaitMs + (IsEngine ? FullBatchMs : FullServiceMs) * Load /
                             Slots * Slowness;
  Cost += SlownessMs * std::max(0.0, Slowness - 1);
  Cost += AlwaysFailingMs *
          Endpoint.failureShareAt(m_Now, m_Settings.m_FailureHalfLife);
  if (Endpoint.m_Entry.m_Domain != m_Settings.m_Domain)
    Cost += OtherDomainMs;
  return Cost +
         promptHoldUpMs({.m_OwnMs = Service.m_PrefillMsPerToken *
                                    missingTokens(Value, Endpoint) * Slowness,
                         .m_AheadMs = Service.m_PrefillMsPerToken *
                                      Endpoint.prefillTokens() * Slowness,
                         .m_Running = Load,
                         .m_LongMs = Service.m_LongPrefillMs});
}

uint32_t RelayCore::missingTokens(const Live &Value,
                                  const EndpointView &Endpoint) const {
  const uint32_t Matched =
      m_Prefixes.matched(Value.m_PromptHashes, Endpoint.m_Tag);
  uint32_t Missing = Value.m_Request.m_PromptTokens;
  for (uint32_t I = 0; I < Matched; ++I)
    Missing -= std::min(Missing, Value.m_Request.m_Prompt[I].m_Tokens);
  return Missing;
}

RelayCore::Choice RelayCore::choose(const Live &Value) const {
  Choice Best;
  const auto Service = m_Services.find(Value.m_Service);
  if (Service == m_Services.end())
    return Best;
  const std::vector<EndpointView *> &All = Service->second.m_Endpoints;
  const uint32_t MaxConnections = Service->second.m_MaxConnections;
  double BestCost = std::numeric_limits<double>::max();
  const size_t Start = All.empty() ? 0 : m_Dice.next() % All.size();
  for (size_t I = 0; I < All.size(); ++I) {
    EndpointView *const Endpoint = All[(Start + I) % All.size()];
    if (Endpoint->m_Entry.m_Draining)
      continue;
    if (!Value.m_Request.m_Use.m_Model.empty() &&
        !Endpoint->holds(Value.m_Request.m_Use, m_Now))
      continue;
    Best.m_CopyExists = true;
    if (m_Now < Endpoint->m_EjectedUntil)
      continue;
    // Beyond them it resets connections, also those of requests that run.
    if (MaxConnections > 0 && Endpoint->load() >= MaxConnections)
      continue;
    const bool Tried = std::find(Value.m_Tried.begin(), Value.m_Tried.end(),
                                 Endpoint->m_Entry.m_Id) != Value.m_Tried.end();
    if (Tried)
      continue;
    ++Best.m_Candidates;
    double WaitMs = 0;
    const double Cost = costOf(Value, Service->second, *Endpoint, WaitMs);
    if (Cost >= BestCost)
      continue;
    BestCost = Cost;
    Best.m_Endpoint = Endpoint;
    Best.m_WaitMs = WaitMs;
  }
  return Best;
}

ChoiceInputs RelayCore::inputsOf(const Live &Value,
                                 const Choice &Chosen) const {
  const EndpointView &Endpoint = *Chosen.m_Endpoint;
  ChoiceInputs Inputs;
  Inputs.m_Candidates = Chosen.m_Candidates;
  Inputs.m_OwnLoad = Endpoint.m_InFlight;
  Inputs.m_PeerLoad = Endpoint.m_PeersInFlight;
  for (const auto &Peer : m_Peers)
    Inputs.m_PeerAge = std::max(Inputs.m_PeerAge, m_Now - Peer.second.m_At);
  Inputs.m_Wait =
      model::Duration(static_cast<int64_t>(Chosen.m_WaitMs / MillisPerMicro));
  Inputs.m_MissingTokens = missingTokens(Value, Endpoint);
  Inputs.m_TokensAhead = Endpoint.prefillTokens();
  return Inputs;
}

void RelayCore::place(Live &Value, RelayEffectList &Out) {
  const Choice Chosen = choose(Value);
  Value.m_Inputs.reset();
  if (Chosen.m_Endpoint)
    Value.m_Inputs = inputsOf(Value, Chosen);
  const model::Duration Left = Value.m_Deadline - m_Now;
  if (Chosen.m_Endpoint) {
    const double LeftMs = static_cast<double>(Left.count()) * MillisPerMicro;
    if (Chosen.m_WaitMs <= m_Settings.m_MaxWaitShare * LeftMs ||
        Value.m_CallerAnswered) {
      send(Value, *Chosen.m_Endpoint, Out);
      return;
    }
    if (Value.m_Runs > 0) {
      finishAfter(Value, {SendEnd::Broken, 0, false, Value.m_LastDetail}, Out);
      return;
    }
    refuse(
        Value, ServiceUnavailable,
        std::max(LeastRetryAfter, std::min(Value.m_Inputs->m_Wait, Left / 3)),
        "every endpoint that could run it is full", Out);
    return;
  }
  if (Value.m_CallerAnswered) {
    cut(Value, "no endpoint is left to go on with it", Out);
    return;
  }
  // Every endpoint that could run it was asked: they are busy, not gone.
  if (Value.m_Runs > 0 || (Value.m_Sends > 0 && Chosen.m_CopyExists)) {
    finishAfter(Value, {SendEnd::Broken, 0, false, Value.m_LastDetail}, Out);
    return;
  }
  if (!Chosen.m_CopyExists && !Value.m_Request.m_Use.m_Model.empty()) {
    waitForCopy(Value, Out);
    return;
  }
  refuse(Value, ServiceUnavailable,
         std::min(jittered(LostEndpointRetryAfter), Left / 3),
         "no endpoint can take it", Out);
}

void RelayCore::waitForCopy(Live &Value, RelayEffectList &Out) {
  const ModelUse &Use = Value.m_Request.m_Use;
  const ServiceSpec *const Service = Value.m_Table->service(Value.m_Service);
  const ServedModel *const Model = Service && Service->m_Engine
                                       ? Service->m_Engine->model(Use.m_Model)
                                       : nullptr;
  if (!Model) {
    refuse(Value, ServiceUnavailable, jittered(NoEndpointRetryAfter),
           "the service has no such model", Out);
    return;
  }
  bool BaseExists = false;
  for (const EndpointView *const Each : m_Services[Value.m_Service].m_Endpoints)
    BaseExists = BaseExists || (!Each->m_Entry.m_Draining &&
                                Each->holds({Use.m_Model, ""}, m_Now));
  if (Value.m_WaitsUntil && m_Now < *Value.m_WaitsUntil)
    return;
  if (!Value.m_WaitsUntil || !BaseExists)
    Out.push_back(CopyWanted{Value.m_Service, Use});
  if (Value.m_WaitsUntil || !BaseExists) {
    refuse(Value, ServiceUnavailable,
           BaseExists ? jittered(m_Settings.m_AdapterWait)
                      : Model->m_LoadTime + jittered(NoEndpointRetryAfter),
           "no engine holds " + Use.m_Model +
               (Use.m_Adapter.empty() ? "" : "/" + Use.m_Adapter) + " now",
           Out);
    return;
  }
  Value.m_WaitsUntil =
      std::min(m_Now + m_Settings.m_AdapterWait, Value.m_Deadline);
  m_Waiting.insert(Value.m_Request.m_Number);
  note(Value, "wait", 0, "an adapter is being loaded", Out);
}

void RelayCore::placeWaiting(RelayEffectList &Out) {
  // A request that is placed leaves the set.
  const std::vector<model::RequestId> Waiting(m_Waiting.begin(),
                                              m_Waiting.end());
  for (const model::RequestId &Number : Waiting)
    place(m_Live.at(Number), Out);
}

void RelayCore::send(Live &Value, EndpointView &Endpoint,
                     RelayEffectList &Out) {
  const bool First = Value.m_Sends == 0;
  ++Value.m_Sends;
  Value.m_WaitsUntil.reset();
  m_Waiting.erase(Value.m_Request.m_Number);
  Value.m_Attempt = {++m_LastAttempt};
  Value.m_Endpoint = Endpoint.m_Entry.m_Id;
  Value.m_SentAt = m_Now;
  Value.m_BeganSeen = false;
  Value.m_Tried.push_back(Endpoint.m_Entry.m_Id);
  ++Endpoint.m_InFlight;
  Value.m_PrefillTokens = Value.m_Inputs->m_MissingTokens;
  Endpoint.m_PrefillTokens += Value.m_PrefillTokens;
  Value.m_TokensAhead = Endpoint.prefillTokens();
  m_Attempts[Value.m_Attempt] = Value.m_Request.m_Number;
  for (const uint64_t Hash : Value.m_PromptHashes)
    m_Prefixes.add(Hash, Endpoint.m_Tag);
  note(Value, First ? "send" : "retry", 0, Value.m_LastDetail, Out);
  Value.m_Inputs.reset();
  Out.push_back(SendRequest{.m_Request = Value.m_Request.m_Number,
                            .m_Attempt = Value.m_Attempt,
                            .m_Endpoint = Endpoint.m_Entry.m_Id,
                            .m_Service = Value.m_Service,
                            .m_Address = Endpoint.m_Entry.m_Address,
                            .m_Remaining = Value.m_Deadline - m_Now,
                            .m_Rank = Value.m_Route->m_Rank,
                            .m_Resume = Value.m_CallerAnswered,
                            .m_Stream = Value.m_Route->m_Stream});
}

} // namespace bronzepass::core::gateway
