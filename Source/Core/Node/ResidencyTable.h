#ifndef BRONZEPASS_CORE_NODE_RESIDENCYTABLE_H
#define BRONZEPASS_CORE_NODE_RESIDENCYTABLE_H

#include "Core/Model/Residency.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace bronzepass::core::node {

/// The latest report of each engine, whichever node requested it.
class ResidencyTable {
public:
  /// How a report changed the table.
  enum class UpdateResult {
    /// Ignored: a later report is known.
    Stale,
    /// Stored, but copies, their states and the highest token are unchanged.
    Unchanged,
    /// Stored; one of these has changed, so other nodes must be told.
    Changed,
  };

  UpdateResult update(const model::EngineReport &Report);

  /// Drops the reports of endpoints that are not in \p Declared.
  void keepOnly(const std::set<model::EndpointId> &Declared);

  /// All copies. Serving copies in \p Draining are returned as draining.
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
