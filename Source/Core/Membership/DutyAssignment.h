#ifndef BRONZEPASS_CORE_MEMBERSHIP_DUTYASSIGNMENT_H
#define BRONZEPASS_CORE_MEMBERSHIP_DUTYASSIGNMENT_H

#include "Core/Model/Intent.h"
#include "Core/Model/Lease.h"
#include "Core/Model/Node.h"

#include <cstddef>
#include <string>
#include <vector>

namespace bronzepass::core::membership {

/// Assigns duties (watching the object API, polling an engine, holding a lease,
/// owning a claim shard) to nodes by rendezvous hashing of their VMs. Nodes
/// with the same member list compute the same assignment without exchanging
/// messages, and a VM that leaves moves only its own duties. An assignment is a
/// preference and no guarantee: a duty that needs a single holder is also under
/// a lease.
class DutyAssignment {
public:
  /// Nodes of each failure domain that watch the object API.
  static constexpr size_t WatchersPerDomain = 2;
  /// Nodes that poll one engine for its reports.
  static constexpr size_t PollersPerEndpoint = 2;

  /// \p Nodes are those to which duties may be assigned.
  explicit DutyAssignment(std::vector<model::NodeInfo> Nodes);

  /// The nodes of \p Domain that watch the object API, most preferred first.
  std::vector<model::NodeId> watchersOf(const model::DomainId &Domain) const;

  /// The nodes that poll \p Endpoint for its reports, most preferred first: one
  /// of its own failure domain if there is one, then one of another domain in
  /// its region, then any.
  std::vector<model::NodeId>
  pollersOf(const model::EndpointSpec &Endpoint) const;

  /// Rank of \p Node in the order in which nodes should acquire \p Lease; 0 is
  /// the preferred holder. The number of nodes if \p Node is unknown.
  size_t preferenceRank(const model::LeaseName &Lease,
                        const model::NodeId &Node) const;

  /// The node with rank 0 for \p Lease; empty if there are no nodes.
  model::NodeId preferredHolder(const model::LeaseName &Lease) const;

  /// The node that should own \p Duty; empty if there are no nodes.
  model::NodeId ownerOf(const std::string &Duty) const;

  /// The node that should own claim shard \p Shard.
  model::NodeId claimShardOwner(uint32_t Shard) const;

  const std::vector<model::NodeInfo> &nodes() const { return m_Nodes; }

private:
  std::vector<model::NodeInfo> m_Nodes;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_DUTYASSIGNMENT_H
