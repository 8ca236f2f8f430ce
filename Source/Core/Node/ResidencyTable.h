#ifndef BRONZEPASS_CORE_NODE_RESIDENCYTABLE_H
#define BRONZEPASS_CORE_NODE_RESIDENCYTABLE_H

#include "Core/Model/Residency.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace bronzepass::core::node {

/// The latest report of each engine, whichever node asked for it.
class ResidencyTable {
public:
  /// What a report brought.
  enum class News {
    /// Nothing: a later one is known.
    Stale,
    /// It is the latest, but names the same copies in the same states.
    Same,
    /// Copies or their states changed: other nodes are to learn it.
    Changed,
  };

  News take(const model::EngineReport &Report);

  /// Drops the reports of endpoints that are not among \p Declared.
  void keepOnly(const std::set<model::EndpointId> &Declared);

  /// All copies; those in \p Draining count as draining whatever their engine
  /// says.
  std::vector<model::Copy>
  copies(const std::vector<model::Copy> &Draining) const;

  const model::EngineReport *find(const model::EndpointId &Endpoint) const;

  /// The engines with a report.
  std::set<model::EndpointId> endpoints() const;

  size_t size() const { return m_Reports.size(); }

private:
  std::map<model::EndpointId, model::EngineReport> m_Reports;
};

} // namespace bronzepass::core::node

#endif // BRONZEPASS_CORE_NODE_RESIDENCYTABLE_H
