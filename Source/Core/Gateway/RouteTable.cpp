#include "Core/Gateway/RouteTable.h"

#include "Core/Model/LowerCase.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::gateway {

namespace {

std::string hostKey(std::string_view Host) {
  return model::lowerCase(Host.substr(0, Host.find(':')));
}

} // namespace

RouteTable::RouteTable(GatewayConfig Config, model::TimePoint ReceivedAt)
    : m_Config(std::move(Config)), m_ReceivedAt(ReceivedAt) {
  if (m_Config.m_Organisations)
    m_Organisations.emplace(*m_Config.m_Organisations);
  for (size_t I = 0; I < m_Config.m_Routes.size(); ++I)
    m_Hosts[hostKey(m_Config.m_Routes[I].m_Host)]
           [m_Config.m_Routes[I].m_PathPrefix] = I;
  for (size_t I = 0; I < m_Config.m_Services.size(); ++I)
    m_Services[m_Config.m_Services[I].m_Name] = I;
  for (const RouteSpec &Route : m_Config.m_Routes) {
    if (Route.m_EventGapTarget <= model::Duration::zero())
      continue;
    for (const ServiceShare &Each : Route.m_Services) {
      model::Duration &Shortest =
          m_ShortestEventGapTargets
              .emplace(Each.m_Service, Route.m_EventGapTarget)
              .first->second;
      Shortest = std::min(Shortest, Route.m_EventGapTarget);
    }
  }
}

const RouteSpec *RouteTable::find(std::string_view Host,
                                  std::string_view Path) const {
  const auto Prefixes = m_Hosts.find(hostKey(Host));
  if (Prefixes == m_Hosts.end())
    return nullptr;
  size_t Slash = Path.rfind('/');
  while (Slash != std::string_view::npos) {
    const auto Found =
        Prefixes->second.find(std::string(Path.substr(0, Slash + 1)));
    if (Found != Prefixes->second.end())
      return &m_Config.m_Routes[Found->second];
    if (Slash == 0)
      break;
    Slash = Path.rfind('/', Slash - 1);
  }
  return nullptr;
}

const ServiceSpec *RouteTable::service(const std::string &Name) const {
  const auto Found = m_Services.find(Name);
  return Found == m_Services.end() ? nullptr
                                   : &m_Config.m_Services[Found->second];
}

std::optional<model::Duration>
RouteTable::shortestEventGapTarget(const std::string &Service) const {
  const auto Found = m_ShortestEventGapTargets.find(Service);
  if (Found == m_ShortestEventGapTargets.end())
    return std::nullopt;
  return Found->second;
}

const std::string &RouteTable::pickService(const RouteSpec &Route,
                                           uint64_t Draw) {
  uint64_t Sum = 0;
  for (const ServiceShare &Each : Route.m_Services)
    Sum += Each.m_Weight;
  uint64_t Left = Sum == 0 ? 0 : Draw % Sum;
  for (const ServiceShare &Each : Route.m_Services) {
    if (Left < Each.m_Weight)
      return Each.m_Service;
    Left -= Each.m_Weight;
  }
  return Route.m_Services.front().m_Service;
}

} // namespace bronzepass::core::gateway
