#ifndef BRONZEPASS_UNITTESTS_GATEWAY_RANDOMDEPLOYMENT_H
#define BRONZEPASS_UNITTESTS_GATEWAY_RANDOMDEPLOYMENT_H

#include "Core/Gateway/EndpointEntry.h"
#include "Core/Gateway/GatewayConfig.h"
#include "Core/Gateway/PeerNotice.h"
#include "Core/Gateway/RelayTypes.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bronzepass::unit_tests {

namespace gateway = core::gateway;
namespace model = core::model;
namespace organisations = core::organisations;

/// Configurations, lists of endpoints, requests and peers' notices that differ
/// from call to call in all that RelayCore decides by.
class RandomDeployment {
public:
  explicit RandomDeployment(uint64_t Seed) : m_Random(Seed) {}

  /// Uniform below \p Bound.
  uint64_t below(uint64_t Bound) { return m_Random() % Bound; }
  bool oneIn(uint64_t Count) { return below(Count) == 0; }
  model::Duration upTo(model::Duration Most) {
    return model::Duration(
        static_cast<int64_t>(below(static_cast<uint64_t>(Most.count()) + 1)));
  }

  /// Newer than the last one.
  gateway::GatewayConfig nextConfig();
  std::vector<gateway::EndpointEntry> nextEndpoints();
  /// Of a caller, or forwarded by a node with \p Config.
  gateway::RelayRequest nextRequest(model::RequestId Number,
                                    model::TimePoint Now,
                                    const gateway::GatewayConfig &Config);
  gateway::PeerNotice nextNotice();

private:
  gateway::RouteSpec nextRoute(const std::string &Prefix);
  std::vector<organisations::OrganisationSpec> nextOrganisations();

  std::mt19937_64 m_Random;
  uint64_t m_LastVersion = 0;
  uint64_t m_LastSequence = 0;
};

} // namespace bronzepass::unit_tests

#endif // BRONZEPASS_UNITTESTS_GATEWAY_RANDOMDEPLOYMENT_H
