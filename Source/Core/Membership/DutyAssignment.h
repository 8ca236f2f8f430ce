#ifndef BRONZEPASS_CORE_MEMBERSHIP_DUTYASSIGNMENT_H
#define BRONZEPASS_CORE_MEMBERSHIP_DUTYASSIGNMENT_H

#include "Core/Model/Intent.h"
#include "Core/Model/Lease.h"
#include "Core/Model/Node.h"

#include <cstddef>
#include <string>
#include <vector>

namespace bronzepass::core::membership {

/// Spreads duties over nodes by rendezvous hashing of their VMs: every node
/// that holds the same list comes to the same answer without a message, and a
/// VM that leaves moves only its own duties. A duty is a preference, not a
/// right: what must have one holder is under a lease besides.
class DutyAssignment {
public:
  /// Nodes that watch the object API for each failure domain.
  static constexpr size_t WatchersPerDomain = 2;
  /// Nodes that ask one engine for its reports.
  static constexpr size_t PollersPerEndpoint = 2;

  /// \p Nodes are those that may take duties.
  explicit DutyAssignment(std::vector<model::NodeInfo> Nodes);

  /// The nodes of \p Domain that watch for it, best first.
  std::vector<model::NodeId> watchersOf(const model::DomainId &Domain) const;

  /// The nodes that ask \p Endpoint for its reports, best first: one of its
  /// own failure domain where there is one, then one of another domain in its
  /// region, then any.
  std::vector<model::NodeId>
  pollersOf(const model::EndpointSpec &Endpoint) const;

  /// Place of \p Node in the order in which nodes are to take \p Lease; 0 is
  /// the preferred holder. The number of nodes where it is not among them.
  size_t preferenceRank(const model::LeaseName &Lease,
                        const model::NodeId &Node) const;

  /// The node whose preference for \p Lease is 0, or none without nodes.
  model::NodeId preferredHolder(const model::LeaseName &Lease) const;

  /// The node that should own \p Duty, or none without nodes.
  model::NodeId ownerOf(const std::string &Duty) const;

  /// The node that should own claim shard \p Shard.
  model::NodeId claimShardOwner(uint32_t Shard) const;

  const std::vector<model::NodeInfo> &nodes() const { return m_Nodes; }

private:
  std::vector<model::NodeInfo> m_Nodes;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_DUTYASSIGNMENT_H
