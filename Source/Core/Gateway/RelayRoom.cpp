#include "Core/Gateway/RelayCore.h"

#include <algorithm>
#include <chrono>

namespace bronzepass::core::gateway {

namespace {

constexpr double MillisPerSecond = 1e3;
/// Of the slots; the rest is for requests that other nodes send at the same
/// time.
constexpr double MaxRoomShare = 0.85;
/// What is left of the load at which an endpoint turned a request away.
constexpr double RoomAfterReject = 0.85;
/// Share of the slots by which the room grows in a second.
constexpr double RoomGrowthPerSecond = 0.05;
/// Share of the room that the requests of all nodes are to fill on average.
constexpr double LoadShareOfRoom = 0.8;
/// All nodes together risk no more than this share of the requests that a full
/// endpoint can turn away.
constexpr double RejectShare = 0.5;
constexpr model::Duration MinFullTime = std::chrono::milliseconds(500);
constexpr model::Duration MaxFullTime = std::chrono::seconds(10);
/// How long endpoints of a service are taken to be brittle that have not said
/// so, after another has: longer than a restart.
constexpr model::Duration BrittleServiceTime = std::chrono::seconds(10);

double seconds(model::Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

model::Duration fromSeconds(double Value) {
  return std::chrono::duration_cast<model::Duration>(
      std::chrono::duration<double>(Value));
}

} // namespace

std::optional<double>
RelayCore::rejectsPerSecond(const EndpointView &Endpoint) const {
  if (Endpoint.m_Statement.m_RejectsPerSecond)
    return Endpoint.m_Statement.m_RejectsPerSecond;
  const auto Service = m_Services.find(Endpoint.m_Entry.m_Service);
  const bool HasSpoken = Endpoint.m_HeardAt != model::TimePoint();
  if (HasSpoken || Service == m_Services.end() ||
      !Service->second.m_BrittleAt ||
      m_Now - *Service->second.m_BrittleAt >= BrittleServiceTime)
    return std::nullopt;
  return Service->second.m_RejectsPerSecond;
}

double RelayCore::estimatedLoad(const EndpointView &Endpoint) const {
  const double Peers = std::max(1.0, static_cast<double>(m_NodeCount) - 1);
  const double Heard =
      std::clamp(static_cast<double>(m_Peers.size()), 1.0, Peers);
  return Endpoint.m_InFlight + Endpoint.m_PeersInFlight * Peers / Heard;
}

double RelayCore::roomOf(const EndpointView &Endpoint) const {
  const double Slots = Endpoint.m_Entry.m_Slots;
  const double Grown = Endpoint.m_Room + RoomGrowthPerSecond * Slots *
                                             seconds(m_Now - Endpoint.m_RoomAt);
  return std::max(1.0, std::min(MaxRoomShare * Slots, Grown));
}

bool RelayCore::isFull(const EndpointView &Endpoint) const {
  return Endpoint.m_RateShare && rejectsPerSecond(Endpoint) &&
         (m_Now < Endpoint.m_FullUntil ||
          estimatedLoad(Endpoint) + 1 > roomOf(Endpoint));
}

void RelayCore::updateRoom(EndpointView &Endpoint, const SendOutcome &Outcome) {
  const std::optional<double> Rejects = rejectsPerSecond(Endpoint);
  if (!Rejects || Outcome.m_Result != SendResult::NotRun)
    return;
  Endpoint.m_Room =
      RoomAfterReject * std::min(roomOf(Endpoint), estimatedLoad(Endpoint));
  Endpoint.m_RoomAt = m_Now;
  const double Period = m_NodeCount / std::max(1.0, RejectShare * *Rejects);
  Endpoint.m_OwnFullUntil =
      m_Now +
      jittered(std::clamp(fromSeconds(Period), MinFullTime, MaxFullTime));
  Endpoint.m_FullUntil =
      std::max(Endpoint.m_FullUntil, Endpoint.m_OwnFullUntil);
  updateRateShare(Endpoint);
}

void RelayCore::updateRateShare(EndpointView &Endpoint) {
  std::optional<RequestRateShare> &Share = Endpoint.m_RateShare;
  const std::optional<double> Named = Endpoint.m_Statement.m_RequestsPerSecond;
  const bool IsBrittle = rejectsPerSecond(Endpoint).has_value();
  if (!Named && !IsBrittle) {
    Share.reset();
    return;
  }
  double Limit = Named.value_or(0);
  if (!Share)
    Share.emplace(Limit, m_NodeCount, m_Now);
  if (IsBrittle) {
    // As many begin as end while the room is filled.
    const double AnswerMs = m_Services[Endpoint.m_Entry.m_Service].m_AnswerMs;
    const double AnswerSeconds =
        (AnswerMs > 0 ? AnswerMs : DefaultAnswerMs) / MillisPerSecond;
    const double Ended = LoadShareOfRoom * roomOf(Endpoint) / AnswerSeconds;
    Limit = Named ? std::min(*Named, Ended) : Ended;
    Share->setSavedSeconds(AnswerSeconds);
  }
  Share->setLimit(Limit, m_NodeCount, m_Now);
}

} // namespace bronzepass::core::gateway
