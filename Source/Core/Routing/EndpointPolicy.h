#ifndef BRONZEPASS_CORE_ROUTING_ENDPOINTPOLICY_H
#define BRONZEPASS_CORE_ROUTING_ENDPOINTPOLICY_H

#include "Core/Ports/Ports.h"
#include "Core/Routing/EndpointView.h"
#include "Core/Routing/RoutingTable.h"
#include "Core/Routing/TrafficSettings.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace bronzepass::core::routing {

/// An endpoint that could run a request, with what is predicted of it.
struct Candidate {
  EndpointIndex m_Index = 0;
  EndpointView *m_View = nullptr;
  /// Requests inside it now, by everyone.
  double m_Load = 0;
  /// It would start the request soon and end it inside the window.
  bool m_HasRoom = true;
  /// Leading prompt blocks that its cache holds.
  uint32_t m_CachedBlocks = 0;
  /// Predicted seconds until the answer is whole, and of that the service.
  double m_Finish = 0;
  double m_Service = 0;
  /// Seconds to compare by: the finish and what it costs others; less is
  /// better.
  double m_Cost = 0;
};

/// Picks one of several candidates.
class EndpointPolicy {
public:
  virtual ~EndpointPolicy() = default;
  /// Position of the one chosen; \p Candidates is not empty. Must not allocate.
  virtual size_t pick(const std::vector<Candidate> &Candidates,
                      ports::Random &Dice) = 0;
};

std::unique_ptr<EndpointPolicy> makePolicy(PolicyKind Kind);

/// "predictive", "round_robin" and so on, as logs and tables name it.
const char *toString(PolicyKind Kind);

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_ENDPOINTPOLICY_H
