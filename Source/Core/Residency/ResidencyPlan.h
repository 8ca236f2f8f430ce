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

/// One step towards the copies that demand asks for.
struct PlanStep {
  gateway::OrderVerb m_Verb = gateway::OrderVerb::Load;
  model::EndpointId m_Endpoint;
  std::string m_Model;
  /// Unload: the model that the room is for.
  std::string m_ForModel;
  /// Why, with the figures that decided.
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
  /// Room that an unload under way is made for, by engine.
  std::map<model::EndpointId, std::string> m_ReservedFor;
  /// Engines whose copies are too young to be taken away.
  std::map<model::EndpointId, std::vector<std::string>> m_RecentLoads;
  /// The weight store allows one more load now.
  bool m_StoreLoadAllowed = false;
};

/// The most useful next step; nothing where no step is worth its cost. Every
/// model keeps one copy at least; the engines' other room is shared out in
/// proportion to demand.
std::optional<PlanStep> planStep(const PlanInputs &Inputs);

} // namespace bronzepass::core::residency

#endif // BRONZEPASS_CORE_RESIDENCY_RESIDENCYPLAN_H
