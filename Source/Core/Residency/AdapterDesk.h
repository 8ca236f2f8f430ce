#ifndef BRONZEPASS_CORE_RESIDENCY_ADAPTERDESK_H
#define BRONZEPASS_CORE_RESIDENCY_ADAPTERDESK_H

#include "Core/Gateway/RelayTypes.h"
#include "Core/Model/Time.h"
#include "Core/Residency/EngineBook.h"

#include <map>
#include <optional>
#include <vector>

namespace bronzepass::core::residency {

/// An order that brings a wanted adapter nearer.
struct AdapterStep {
  gateway::OrderVerb m_Verb = gateway::OrderVerb::Load;
  model::EndpointId m_Endpoint;
  gateway::ModelRef m_ModelRef;

  friend auto operator<=>(const AdapterStep &, const AdapterStep &) = default;
};

/// Adapters that nodes wait for, and which engine gets each: one that holds the
/// model and has a place, else the one whose adapter was used longest ago.
class AdapterDesk {
public:
  explicit AdapterDesk(model::Duration InUse) : m_InUse(InUse) {}

  void want(const gateway::ModelRef &Use, model::TimePoint Until);
  void used(const gateway::ModelRef &Use, model::TimePoint Now);
  /// Drops what has been waited for too long.
  void expire(model::TimePoint Now);
  std::vector<gateway::ModelRef> wanted() const;
  bool isWanted(const gateway::ModelRef &Use) const {
    return m_Wanted.contains(Use);
  }
  void granted(const gateway::ModelRef &Use) { m_Wanted.erase(Use); }

  /// The next order for \p Use among \p Engines; nothing where none can take
  /// it now.
  std::optional<AdapterStep>
  stepFor(const gateway::ModelRef &Use, const gateway::EngineSpec &Spec,
          const std::vector<const EngineBook *> &Engines,
          model::TimePoint Now) const;

private:
  std::optional<model::TimePoint> usedAt(const gateway::ModelRef &Use) const;

  model::Duration m_InUse;
  std::map<gateway::ModelRef, model::TimePoint> m_Wanted;
  std::map<gateway::ModelRef, model::TimePoint> m_UsedAt;
};

} // namespace bronzepass::core::residency

#endif // BRONZEPASS_CORE_RESIDENCY_ADAPTERDESK_H
