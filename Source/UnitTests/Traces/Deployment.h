#ifndef BRONZEPASS_UNITTESTS_TRACES_DEPLOYMENT_H
#define BRONZEPASS_UNITTESTS_TRACES_DEPLOYMENT_H

#include "Core/Routing/RoutingInputs.h"

#include <string>
#include <vector>

namespace bronzepass::unit_tests::traces {

/// A user's system at its real size, with a fixed placement that fits its
/// steady demand.
struct Deployment {
  std::string m_Name;
  core::routing::RoutingInputs m_Inputs;
  /// Share of requests for each model, in the intent's order; sums to 1.
  std::vector<double> m_Popularity;
  /// Model requests per second under ordinary demand.
  double m_SteadyRate = 0;
  uint32_t m_Engines = 0;

  /// Returns the routing inputs of node \p Index.
  core::routing::RoutingInputs inputsOf(size_t Index) const;
};

/// Cooperativa Dieléctrica del Magdalena: 12 + 4 endpoints, 15 models, 77
/// adapters, four failure domains 1.5 ms apart.
Deployment dielectrica();

/// Nile Bulky Haul Cooperative: 18 + 3 endpoints, 31 models, 98 adapters, three
/// failure domains 1 ms apart.
Deployment nile();

} // namespace bronzepass::unit_tests::traces

#endif // BRONZEPASS_UNITTESTS_TRACES_DEPLOYMENT_H
