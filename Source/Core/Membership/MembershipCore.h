#ifndef BRONZEPASS_CORE_MEMBERSHIP_MEMBERSHIPCORE_H
#define BRONZEPASS_CORE_MEMBERSHIP_MEMBERSHIPCORE_H

#include "Core/Membership/IntentKeeper.h"
#include "Core/Membership/MembershipView.h"
#include "Core/Ports/Effect.h"
#include "Core/Ports/Event.h"
#include "Core/Ports/Ports.h"

namespace bronzepass::core::membership {

/// Membership and the intent's distribution together: gives each event to
/// those whom it concerns and tells one of the other's changes.
class MembershipCore {
public:
  MembershipCore(model::NodeInfo Self, const ports::IntentReader &Reader,
                 StoreSubmitter Submit, ports::Random &Random);

  void start(model::TimePoint Now, ports::EffectList &Out);

  /// Takes any event; passes over those that are not for it. Call it before
  /// the other subsystems, which then see what has changed. Returns whether
  /// the event was the answer to a store call of its own.
  bool handle(const ports::Event &Incoming, model::TimePoint Now,
              ports::EffectList &Out);

  /// This node stops: its peers learn it at once.
  void leave(model::TimePoint Now, ports::EffectList &Out);

  /// Whether this node knows enough to take traffic.
  bool isReady(model::TimePoint Now) const;

  MembershipView &view() { return m_View; }
  const MembershipView &view() const { return m_View; }
  const IntentKeeper &intent() const { return m_Intent; }

private:
  void passOnChanges(model::TimePoint Now, ports::EffectList &Out);

  MembershipView m_View;
  IntentKeeper m_Intent;
  uint64_t m_SeenDuties = UINT64_MAX;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_MEMBERSHIPCORE_H
