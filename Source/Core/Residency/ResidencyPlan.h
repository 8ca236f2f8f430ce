#ifndef BRONZEPASS_CORE_RESIDENCY_RESIDENCYPLAN_H
#define BRONZEPASS_CORE_RESIDENCY_RESIDENCYPLAN_H

#include "Core/Gateway/GatewayConfig.h"
#include "Core/Model/Id.h"
#include "Core/Residency/EngineRecord.h"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::residency {

/// One load or unload of a model towards the copies that demand calls for.
struct PlanStep {
  gateway::OrderVerb m_Verb = gateway::OrderVerb::Load;
  model::EndpointId m_Endpoint;
  std::string m_Model;
  /// Load: the same as m_Model. Unload: the model that the room is made for.
  std::string m_ForModel;
  /// For the log, with the figures that led to the step.
  std::string m_Reason;

  friend auto operator<=>(const PlanStep &, const PlanStep &) = default;
};

/// What a step is planned from.
struct PlanInputs {
  const gateway::EngineSpec *m_Spec = nullptr;
  /// Engines of the service that may be used.
  std::vector<const EngineRecord *> m_Engines;
  /// Tokens a second, by model.
  std::map<std::string, double> m_Demand;
  /// Requests that m_Demand is estimated from, over all models.
  double m_DemandSamples = 0;
  /// The model that an engine's room is kept for after an unload.
  std::map<model::EndpointId, std::string> m_ReservedFor;
  /// Models that each engine loaded too recently for them to be evicted.
  std::map<model::EndpointId, std::vector<std::string>> m_RecentLoads;
  /// The weight store allows one more load now.
  bool m_StoreLoadAllowed = false;
};

/// The most useful next step, or nullopt where no step is worth its cost. Every
/// model keeps at least one copy; the engines' remaining room is divided in
/// proportion to demand.
std::optional<PlanStep> planStep(const PlanInputs &Inputs);

} // namespace bronzepass::core::residency

#endif // BRONZEPASS_CORE_RESIDENCY_RESIDENCYPLAN_H
