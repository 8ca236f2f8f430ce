#include "Core/Gateway/LinkMonitor.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::gateway {

namespace {

constexpr const char *AllServices = "";
/// Endpoints that fail for causes of their own rarely do so at the same time.
constexpr size_t MinFailedEndpoints = 3;
/// Failures further apart than this have nothing to do with each other.
constexpr model::Duration FailureLifetime = std::chrono::seconds(3);

} // namespace

void LinkMonitor::setEndpointCount(const std::string &Service, size_t Count) {
  Group &Changed = m_Groups[Service];
  Group &All = m_Groups[AllServices];
  All.m_EndpointCount += Count;
  All.m_EndpointCount -= std::exchange(Changed.m_EndpointCount, Count);
}

void LinkMonitor::onConnectFailed(const std::string &Service,
                                  const model::EndpointId &Endpoint,
                                  model::TimePoint Now) {
  addFailure(Service, &Group::m_Unconnected, &Group::m_NoNewConnections,
             Endpoint, Now);
}

void LinkMonitor::onSilence(const std::string &Service,
                            const model::EndpointId &Endpoint,
                            model::TimePoint Now) {
  addFailure(Service, &Group::m_Silent, &Group::m_AllSilent, Endpoint, Now);
}

void LinkMonitor::addFailure(const std::string &Service,
                             FailureMap Group::*Failures, bool Group::*Lost,
                             const model::EndpointId &Endpoint,
                             model::TimePoint Now) {
  for (const std::string &Name : {Service, std::string(AllServices)}) {
    Group &Failed = m_Groups[Name];
    const bool WasLost = Failed.isLost();
    FailureMap &Seen = Failed.*Failures;
    std::erase_if(Seen, [Now](const auto &Each) {
      return Now - Each.second > FailureLifetime;
    });
    Seen[Endpoint] = Now;
    // The only endpoint of a small service may just have crashed.
    const size_t Needed =
        Name == AllServices
            ? MinFailedEndpoints
            : std::min(MinFailedEndpoints,
                       std::max<size_t>(1, Failed.m_EndpointCount));
    if (Seen.size() >= Needed)
      Failed.*Lost = true;
    if (!WasLost)
      Failed.m_LostAt = Now;
    noteChange(Name, WasLost);
  }
}

void LinkMonitor::onHeard(const std::string &Service, bool OnNewConnection) {
  for (const std::string &Name : {Service, std::string(AllServices)}) {
    const auto Found = m_Groups.find(Name);
    if (Found == m_Groups.end())
      continue;
    Group &Heard = Found->second;
    const bool WasLost = Heard.isLost();
    Heard.m_Silent.clear();
    Heard.m_AllSilent = false;
    if (OnNewConnection) {
      Heard.m_Unconnected.clear();
      Heard.m_NoNewConnections = false;
    }
    noteChange(Name, WasLost);
  }
}

void LinkMonitor::noteChange(const std::string &Name, bool WasLost) {
  const Group &Changed = m_Groups.at(Name);
  if (Changed.isLost() == WasLost)
    return;
  m_Changes.push_back({Name, Changed.isLost(),
                       static_cast<uint32_t>(Changed.m_Unconnected.size()),
                       static_cast<uint32_t>(Changed.m_Silent.size())});
}

std::optional<model::TimePoint>
LinkMonitor::lostSince(const std::string &Service) const {
  std::optional<model::TimePoint> Since;
  for (const std::string &Name : {Service, std::string(AllServices)}) {
    const auto Found = m_Groups.find(Name);
    if (Found != m_Groups.end() && Found->second.isLost())
      Since = std::max(Found->second.m_LostAt,
                       Since.value_or(Found->second.m_LostAt));
  }
  return Since;
}

std::vector<std::string> LinkMonitor::lostServices() const {
  std::vector<std::string> Lost;
  for (const auto &Each : m_Groups)
    if (Each.first != AllServices && isLost(Each.first))
      Lost.push_back(Each.first);
  return Lost;
}

std::vector<LinksChange> LinkMonitor::takeChanges() {
  return std::exchange(m_Changes, {});
}

} // namespace bronzepass::core::gateway
