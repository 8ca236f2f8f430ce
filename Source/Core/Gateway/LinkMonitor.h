#ifndef BRONZEPASS_CORE_GATEWAY_LINKMONITOR_H
#define BRONZEPASS_CORE_GATEWAY_LINKMONITOR_H

#include "Core/Gateway/RelayTypes.h"
#include "Core/Model/Id.h"
#include "Core/Model/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

/// Tells whether this node has lost its links to the endpoints of a service, or
/// to all endpoints, from how its sends end.
///
/// An endpoint that fails says nothing about the links. Several that fail while
/// none answers do: the links are then lost until an endpoint answers.
class LinkMonitor {
public:
  /// How many endpoints of a service are registered.
  void setEndpointCount(const std::string &Service, size_t Count);
  /// No connection to the endpoint could be opened.
  void onConnectFailed(const std::string &Service,
                       const model::EndpointId &Endpoint, model::TimePoint Now);
  /// A send over an open connection failed, or has waited, without an answer.
  void onSilence(const std::string &Service, const model::EndpointId &Endpoint,
                 model::TimePoint Now);
  /// An endpoint of the service has sent something. Over a connection that was
  /// open before, this does not prove that a new one can be opened.
  void onHeard(const std::string &Service, bool OnNewConnection);

  bool isLost(const std::string &Service) const {
    return lostSince(Service).has_value();
  }
  /// When the links to the service were lost; nullopt if they are not.
  std::optional<model::TimePoint> lostSince(const std::string &Service) const;
  /// Those among \p Services to which the links are lost.
  std::vector<std::string> lostServices() const;
  /// What changed since the last call.
  std::vector<LinksChange> takeChanges();

private:
  using FailureMap = std::map<model::EndpointId, model::TimePoint>;
  struct Group {
    size_t m_EndpointCount = 0;
    /// Endpoints that failed since one of the group was last heard, and when.
    FailureMap m_Unconnected;
    FailureMap m_Silent;
    bool m_NoNewConnections = false;
    bool m_AllSilent = false;
    model::TimePoint m_LostAt;

    bool isLost() const { return m_NoNewConnections || m_AllSilent; }
  };

  void addFailure(const std::string &Service, FailureMap Group::*Failures,
                  bool Group::*Lost, const model::EndpointId &Endpoint,
                  model::TimePoint Now);
  void noteChange(const std::string &Name, bool WasLost);

  /// By service; the group of all endpoints has an empty name.
  std::map<std::string, Group> m_Groups;
  std::vector<LinksChange> m_Changes;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_LINKMONITOR_H
