#ifndef BRONZEPASS_CORE_MEMBERSHIP_MEMBERTABLE_H
#define BRONZEPASS_CORE_MEMBERSHIP_MEMBERTABLE_H

#include "Core/Model/Node.h"
#include "Core/Model/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bronzepass::core::membership {

/// Whether statement \p A about a VM's node supersedes \p B: the higher
/// incarnation wins, then the worse liveness.
bool supersedes(const model::NodeInfo &A, const model::NodeInfo &B);

/// The known state of each VM's node, merged from statements that may arrive in
/// any order and more than once. Tables that merged the same statements are
/// equal.
class MemberTable {
public:
  struct Member {
    model::NodeInfo m_Info;
    /// When the statement was merged, by this node's clock.
    model::TimePoint m_Since;
  };

  /// Merges \p Statement if it supersedes the known one; returns whether it
  /// did. At most MaxMembers VMs are kept.
  bool merge(const model::NodeInfo &Statement, model::TimePoint Now);

  /// Removes VMs that have been Gone for longer than a statement can circulate.
  void forgetGone(model::TimePoint Now);

  const Member *find(const model::VmId &Vm) const;
  /// The VM whose current process is \p Node.
  std::optional<model::VmId> vmOf(const model::NodeId &Node) const;

  /// All members that are not Gone.
  std::vector<model::NodeInfo> present() const;
  const std::map<model::VmId, Member> &all() const { return m_Members; }

  /// Hash of the present members; equal on nodes that know the same ones.
  uint64_t digest() const { return m_Digest; }
  /// Increases with each change.
  uint64_t version() const { return m_Version; }

private:
  static constexpr size_t MaxMembers = 4096;

  static uint64_t digestOf(const model::NodeInfo &Info);

  std::map<model::VmId, Member> m_Members;
  std::map<model::NodeId, model::VmId> m_Vms;
  uint64_t m_Digest = 0;
  uint64_t m_Version = 0;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_MEMBERTABLE_H
