#include "UnitTests/Membership/MembershipNode.h"

#include <variant>

using namespace bronzepass::core;

namespace bronzepass::unit_tests::membership {

MembershipNode::MembershipNode(model::NodeInfo Self,
                               const ports::IntentReader &Reader,
                               core::membership::StoreSubmitter Submit,
                               ports::Random &Random)
    : m_View(std::move(Self), Random),
      m_Intent(Reader, std::move(Submit), Random) {}

void MembershipNode::start(model::TimePoint Now, ports::EffectList &Out) {
  m_View.start(Now, Out);
  m_Intent.start(Now, Out);
  propagateChanges(Now, Out);
}

bool MembershipNode::handle(const ports::Event &Incoming, model::TimePoint Now,
                            ports::EffectList &Out) {
  bool IsOwnCall = false;
  m_View.detectPause(Now, Out);
  if (std::holds_alternative<ports::Tick>(Incoming)) {
    m_View.tick(Now, Out);
    m_Intent.tick(Now, Out);
  } else if (const auto *Answer = std::get_if<ports::StoreAnswer>(&Incoming)) {
    IsOwnCall = m_Intent.onStoreAnswer(*Answer, Now, Out);
  } else if (const auto *Report = std::get_if<model::EngineReport>(&Incoming)) {
    m_View.onReport(*Report, Now);
  } else if (const auto *Missed = std::get_if<ports::ReportFailed>(&Incoming)) {
    m_View.onReportFailed(*Missed, Now);
  } else if (const auto *Seen =
                 std::get_if<ports::EndpointObserved>(&Incoming)) {
    m_View.onEndpointObserved(*Seen, Now);
  } else if (const auto *Received =
                 std::get_if<ports::PeerMessageReceived>(&Incoming)) {
    m_View.onPeerMessage(*Received, Now, Out);
    m_Intent.onPeerMessage(*Received, Now, Out);
  } else if (const auto *Change =
                 std::get_if<ports::PeerLinkChanged>(&Incoming)) {
    m_View.onPeerLinkChanged(*Change, Now, Out);
    m_Intent.onPeerLinkChanged(*Change, Now, Out);
  } else if (const auto *Vms = std::get_if<ports::VmListReceived>(&Incoming)) {
    m_View.onVmList(*Vms, Now, Out);
  }
  propagateChanges(Now, Out);
  return IsOwnCall;
}

void MembershipNode::leave(model::TimePoint Now, ports::EffectList &Out) {
  m_View.leave(Now, Out);
}

bool MembershipNode::isReady(model::TimePoint Now) const {
  return !m_View.isLeaving() && !m_View.isReplaced() &&
         m_Intent.isCaughtUp(Now, m_View.hasOtherNodes());
}

void MembershipNode::propagateChanges(model::TimePoint Now,
                                      ports::EffectList &Out) {
  if (m_AppliedDutiesVersion != m_View.dutiesVersion()) {
    m_AppliedDutiesVersion = m_View.dutiesVersion();
    m_Intent.setWatching(m_View.watchesForDomain());
  }
  if (m_Intent.generation() == m_View.generations().own())
    return;
  m_View.setIntent(*m_Intent.inForce(), Now);
  m_View.sendDueHeartbeats(Now, Out);
}

} // namespace bronzepass::unit_tests::membership
