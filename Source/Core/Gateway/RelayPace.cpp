#include "Core/Gateway/RelayCore.h"

#include <algorithm>
#include <chrono>

namespace bronzepass::core::gateway {

namespace {

/// An answer is late that took longer than its route's target, and this many
/// times the service's mean.
constexpr double LateFactor = 2;
/// An endpoint was silent if nothing arrived from it for this many times the
/// service's mean time to the first chunk, and for the least time.
constexpr double SilenceFactor = 4;
constexpr model::Duration MinSilence = std::chrono::milliseconds(600);
/// An endpoint that falls silent again within this time is slow.
constexpr model::Duration ExcusePeriod = std::chrono::seconds(5);
constexpr double MicrosPerMilli = 1e3;

} // namespace

void RelayCore::beginPace(EndpointView &Endpoint, PaceCause Cause,
                          model::TimePoint From) {
  if (!Endpoint.m_Pace)
    m_PaceChanges.push_back({Endpoint.m_Entry.m_Id, true, toString(Cause), 0});
  Endpoint.m_Pace.emplace(Cause, Endpoint.m_Entry.m_Slots, From);
}

bool RelayCore::hasRun(const std::string &Service) const {
  const auto Found = m_Services.find(Service);
  return Found != m_Services.end() && Found->second.m_FirstChunkMs > 0 &&
         !Found->second.m_Endpoints.empty();
}

void RelayCore::tickPaces(RelayEffectList &Out) {
  for (auto &Each : m_Endpoints) {
    std::optional<EndpointPace> &Pace = Each.second.m_Pace;
    if (!Pace || (!Pace->isOver(m_Now) && Each.second.m_IsRegistered))
      continue;
    m_PaceChanges.push_back(
        {Each.first, false, toString(Pace->cause()), Pace->window()});
    Pace.reset();
  }
  Out.insert(Out.end(), m_PaceChanges.begin(), m_PaceChanges.end());
  m_PaceChanges.clear();
}

size_t RelayCore::pacedEndpointCount() const {
  return static_cast<size_t>(
      std::count_if(m_Endpoints.begin(), m_Endpoints.end(),
                    [](const auto &Each) { return Each.second.m_Pace; }));
}

bool RelayCore::paceAllows(EndpointView &Endpoint) const {
  return Endpoint.m_Pace->allows(
      {.m_Own = Endpoint.m_InFlight,
       .m_All = estimatedLoad(Endpoint),
       .m_Nodes = m_NodeCount,
       .m_PeersHeard = static_cast<uint32_t>(m_Peers.size())},
      m_Now, m_Random.next());
}

void RelayCore::noteFirstChunk(const ActiveRequest &Active,
                               EndpointView &Endpoint, double MeanMs) {
  if (!Endpoint.m_Pace || Active.m_SentAt < Endpoint.m_SilenceEndedAt)
    return;
  const model::Duration Took = m_Now - Active.m_SentAt;
  const bool IsLate =
      MeanMs > 0 && Took > Active.m_Route->m_LatencyTarget &&
      static_cast<double>(Took.count()) > LateFactor * MeanMs * MicrosPerMilli;
  if (IsLate)
    Endpoint.m_Pace->onBadAnswer(m_Now);
  else
    Endpoint.m_Pace->onGoodAnswer(m_Now);
}

void RelayCore::noteSent(EndpointView &Endpoint) {
  if (Endpoint.m_Pace)
    Endpoint.m_Pace->onSent(m_Now);
  const bool AwaitsNothing =
      Endpoint.m_InFlight == 0 && Endpoint.m_ConsecutiveFailures == 0;
  if (!Endpoint.m_UnansweredSince || AwaitsNothing)
    Endpoint.m_UnansweredSince = m_Now;
}

/// What is late since the endpoint said nothing at all says nothing about the
/// requests that it gets once it goes on.
void RelayCore::noteSilenceEnd(EndpointView &Endpoint) {
  const auto Service = m_Services.find(Endpoint.m_Entry.m_Service);
  const double MeanMs =
      Service == m_Services.end() ? 0 : Service->second.m_FirstChunkMs;
  const model::Duration Silence =
      m_Now - Endpoint.m_UnansweredSince.value_or(m_Now);
  const model::Duration Least =
      std::max(MinSilence, model::Duration(static_cast<int64_t>(
                               SilenceFactor * MeanMs * MicrosPerMilli)));
  const bool WasSilent = Endpoint.m_Pace && Endpoint.m_Pace->isSilent();
  if (Silence < Least && !WasSilent)
    return;
  const bool IsRepeated = Endpoint.m_SilenceEndedAt != model::TimePoint() &&
                          m_Now - Endpoint.m_SilenceEndedAt < ExcusePeriod;
  if (!IsRepeated)
    Endpoint.m_SilenceEndedAt = m_Now;
  if (WasSilent)
    Endpoint.m_Pace->onSilenceEnded(m_Now);
  else if (!Endpoint.m_Pace)
    beginPace(Endpoint, PaceCause::Silence, m_Now);
  if (Endpoint.m_Pace->isSilent())
    Endpoint.m_Pace->onSilenceEnded(m_Now);
}

bool RelayCore::isUnheard(const ActiveRequest &Active,
                          const EndpointView &Endpoint,
                          const SendOutcome &Outcome) {
  return Outcome.m_Result == SendResult::Broken && Outcome.m_TimedOut &&
         !Active.m_AnswerStarted && Endpoint.m_HeardAt < Active.m_SentAt;
}

/// A silent endpoint gets one request at a time, so that it is found at once
/// when it goes on.
void RelayCore::noteUnheard(EndpointView &Endpoint) {
  ++Endpoint.m_ConsecutiveFailures;
  const bool IsSilent = Endpoint.m_Pace && Endpoint.m_Pace->isSilent();
  if (!IsSilent &&
      Endpoint.m_ConsecutiveFailures >= m_Settings.m_EjectAfterFailures)
    beginPace(Endpoint, PaceCause::Silence, m_Now);
}

void RelayCore::updatePace(EndpointView &Endpoint, const SendOutcome &Outcome) {
  const bool IsBad = Outcome.m_Result == SendResult::Failed ||
                     Outcome.m_Result == SendResult::NotRun ||
                     Outcome.m_Result == SendResult::Broken;
  if (Endpoint.m_Pace && IsBad)
    Endpoint.m_Pace->onBadAnswer(m_Now);
}

void RelayCore::onPaceReports(const PeerNotice &Notice) {
  const double Heard = std::max<double>(1, static_cast<double>(m_Peers.size()));
  const double Weight = std::max(1.0, (m_NodeCount - 1) / Heard);
  for (const PaceReport &Each : Notice.m_PaceReports)
    if (EndpointView *const Endpoint = findEndpoint(Each.m_Endpoint);
        Endpoint && Endpoint->m_Pace)
      Endpoint->m_Pace->onReport(Notice.m_From, Each, Weight, m_Now);
}

} // namespace bronzepass::core::gateway
