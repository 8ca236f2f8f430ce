#ifndef BRONZEPASS_CORE_RESIDENCY_ADAPTERSCHEDULER_H
#define BRONZEPASS_CORE_RESIDENCY_ADAPTERSCHEDULER_H

#include "Core/Gateway/RelayTypes.h"
#include "Core/Model/RecentEvents.h"
#include "Core/Model/Time.h"
#include "Core/Residency/EngineRecord.h"

#include <map>
#include <optional>
#include <vector>

namespace bronzepass::core::residency {

/// An order that loads a requested adapter or makes room for it.
struct AdapterOrder {
  gateway::OrderVerb m_Verb = gateway::OrderVerb::Load;
  model::EndpointId m_Endpoint;
  gateway::ModelRef m_ModelRef;

  friend auto operator<=>(const AdapterOrder &, const AdapterOrder &) = default;
};

/// Keeps the adapters that nodes have requested and chooses an engine for each:
/// one that holds the model and has room, else the one whose adapter was used
/// longest ago, which is unloaded first.
class AdapterScheduler {
public:
  /// An adapter that was used less than \p MinIdle ago is not unloaded.
  explicit AdapterScheduler(model::Duration MinIdle) : m_MinIdle(MinIdle) {}

  void request(const gateway::ModelRef &Use, model::TimePoint Until);
  void recordUse(const gateway::ModelRef &Use, model::TimePoint Now) {
    m_LastUse.record(Use, Now);
  }
  /// Drops requests whose time is over, and old uses.
  void expire(model::TimePoint Now);
  std::vector<gateway::ModelRef> requested() const;
  bool isRequested(const gateway::ModelRef &Use) const {
    return m_RequestExpiry.contains(Use);
  }
  void removeRequest(const gateway::ModelRef &Use) {
    m_RequestExpiry.erase(Use);
  }

  /// The next order for \p Use among \p Engines; nothing where none can take
  /// it now.
  std::optional<AdapterOrder>
  nextOrder(const gateway::ModelRef &Use, const gateway::EngineSpec &Spec,
            const std::vector<const EngineRecord *> &Engines,
            model::TimePoint Now) const;

private:
  /// Adapters that were used longer ago are all alike for an eviction.
  static constexpr model::Duration UseLifetime = std::chrono::minutes(10);

  model::Duration m_MinIdle;
  std::map<gateway::ModelRef, model::TimePoint> m_RequestExpiry;
  model::RecentEvents<gateway::ModelRef> m_LastUse{UseLifetime};
};

} // namespace bronzepass::core::residency

#endif // BRONZEPASS_CORE_RESIDENCY_ADAPTERSCHEDULER_H
