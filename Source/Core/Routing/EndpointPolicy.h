#ifndef BRONZEPASS_CORE_ROUTING_ENDPOINTPOLICY_H
#define BRONZEPASS_CORE_ROUTING_ENDPOINTPOLICY_H

#include "Core/Ports/Ports.h"
#include "Core/Routing/EndpointStats.h"
#include "Core/Routing/RoutingTable.h"
#include "Core/Routing/TrafficSettings.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace bronzepass::core::routing {

/// An endpoint that could run a request, with the predictions for it.
struct Candidate {
  EndpointIndex m_Index = 0;
  EndpointStats *m_Stats = nullptr;
  /// Estimated requests in the endpoint now, from all nodes.
  double m_Load = 0;
  /// It has a free slot and is predicted to finish inside the window.
  bool m_HasRoom = true;
  /// Leading prompt blocks that are in its cache.
  uint32_t m_CachedBlocks = 0;
  /// Predicted seconds until the answer is complete, and the service time
  /// within that.
  double m_FinishSeconds = 0;
  double m_ServiceSeconds = 0;
  /// Seconds: m_FinishSeconds plus the delay that the prefill causes for other
  /// requests on the endpoint. Lower is better.
  double m_Cost = 0;
};

/// Load balancing policy: picks one of several candidates.
class EndpointPolicy {
public:
  virtual ~EndpointPolicy() = default;
  /// Returns the index of the chosen candidate. \p Candidates is not empty.
  /// Must not allocate.
  virtual size_t pick(const std::vector<Candidate> &Candidates,
                      ports::Random &Random) = 0;
};

std::unique_ptr<EndpointPolicy> makePolicy(PolicyKind Kind);

/// The policy's name in logs and tables, such as "round_robin".
const char *toString(PolicyKind Kind);

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_ENDPOINTPOLICY_H
