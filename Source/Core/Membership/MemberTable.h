#ifndef BRONZEPASS_CORE_MEMBERSHIP_MEMBERTABLE_H
#define BRONZEPASS_CORE_MEMBERSHIP_MEMBERTABLE_H

#include "Core/Model/Node.h"
#include "Core/Model/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bronzepass::core::membership {

/// Whether statement \p A about a VM's node holds against \p B: the higher
/// incarnation, then the worse liveness.
bool supersedes(const model::NodeInfo &A, const model::NodeInfo &B);

/// What is known of each VM's node, merged from statements that come in any
/// order and any number of times. All tables that took the same statements
/// are equal.
class MemberTable {
public:
  struct Member {
    model::NodeInfo m_Info;
    /// When the statement was taken, by this node's clock.
    model::TimePoint m_Since;
  };

  /// Takes \p Statement where it supersedes what is known; returns whether it
  /// did. At most MaxMembers VMs are kept.
  bool merge(const model::NodeInfo &Statement, model::TimePoint Now);

  /// Forgets VMs that are gone for longer than a statement can travel.
  void forgetGone(model::TimePoint Now);

  const Member *find(const model::VmId &Vm) const;
  /// The VM whose present process is \p Node.
  std::optional<model::VmId> vmOf(const model::NodeId &Node) const;

  /// All that are not gone.
  std::vector<model::NodeInfo> present() const;
  const std::map<model::VmId, Member> &all() const { return m_Members; }

  /// Equal on two nodes whose present members are the same.
  uint64_t digest() const { return m_Digest; }
  /// Rises with each change.
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
