#ifndef BRONZEPASS_UNITTESTS_MEMBERSHIP_MEMBERSHIPNODE_H
#define BRONZEPASS_UNITTESTS_MEMBERSHIP_MEMBERSHIPNODE_H

#include "Core/Membership/IntentReplicator.h"
#include "Core/Membership/MembershipView.h"
#include "Core/Ports/Effect.h"
#include "Core/Ports/Event.h"
#include "Core/Ports/Ports.h"

namespace bronzepass::unit_tests::membership {

/// Membership and intent replication without the rest of a node: dispatches
/// each event to the component it concerns and propagates changes between the
/// two.
class MembershipNode {
public:
  MembershipNode(core::model::NodeInfo Self,
                 const core::ports::IntentReader &Reader,
                 core::membership::StoreSubmitter Submit,
                 core::ports::Random &Random);

  void start(core::model::TimePoint Now, core::ports::EffectList &Out);

  /// Handles any event; ignores those that don't concern membership or the
  /// intent. Returns whether the event was the answer to a store call made
  /// here.
  bool handle(const core::ports::Event &Incoming, core::model::TimePoint Now,
              core::ports::EffectList &Out);

  /// This node is stopping: tells its peers at once.
  void leave(core::model::TimePoint Now, core::ports::EffectList &Out);

  /// Whether this node is up to date and may take traffic.
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
