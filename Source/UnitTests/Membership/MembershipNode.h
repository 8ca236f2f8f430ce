#ifndef BRONZEPASS_UNITTESTS_MEMBERSHIP_MEMBERSHIPNODE_H
#define BRONZEPASS_UNITTESTS_MEMBERSHIP_MEMBERSHIPNODE_H

#include "Core/Membership/IntentReplicator.h"
#include "Core/Membership/MembershipView.h"
#include "Core/Ports/Effect.h"
#include "Core/Ports/Event.h"
#include "Core/Ports/Ports.h"

namespace bronzepass::unit_tests::membership {

/// Membership and the intent's distribution without the rest of a node: gives
/// each event to those whom it concerns and tells one of the other's changes.
class MembershipNode {
public:
  MembershipNode(core::model::NodeInfo Self,
                 const core::ports::IntentReader &Reader,
                 core::membership::StoreSubmitter Submit,
                 core::ports::Random &Random);

  void start(core::model::TimePoint Now, core::ports::EffectList &Out);

  /// Takes any event; passes over those that are not for it. Call it before
  /// the other subsystems, which then see what has changed. Returns whether
  /// the event was the answer to a store call of its own.
  bool handle(const core::ports::Event &Incoming, core::model::TimePoint Now,
              core::ports::EffectList &Out);

  /// This node stops: its peers learn it at once.
  void leave(core::model::TimePoint Now, core::ports::EffectList &Out);

  /// Whether this node knows enough to take traffic.
  bool isReady(core::model::TimePoint Now) const;

  core::membership::MembershipView &view() { return m_View; }
  const core::membership::MembershipView &view() const { return m_View; }
  const core::membership::IntentReplicator &intent() const { return m_Intent; }

private:
  void propagateChanges(core::model::TimePoint Now,
                        core::ports::EffectList &Out);

  core::membership::MembershipView m_View;
  core::membership::IntentReplicator m_Intent;
  uint64_t m_AppliedDutiesVersion = UINT64_MAX;
};

} // namespace bronzepass::unit_tests::membership

#endif // BRONZEPASS_UNITTESTS_MEMBERSHIP_MEMBERSHIPNODE_H
