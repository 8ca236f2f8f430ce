#include "Core/Membership/PeerLinks.h"

#include "Core/Membership/MembershipTiming.h"

#include <algorithm>

namespace bronzepass::core::membership {

PeerLinks::PeerLinks(ports::Random &Random, InfoSource Infos)
    : m_Random(Random), m_Infos(std::move(Infos)) {}

void PeerLinks::setTargets(LinkTargets Targets, model::TimePoint Now) {
  m_Targets = std::move(Targets);
  std::erase_if(m_Dials, [this](const auto &Entry) {
    return !Entry.second.m_Pending && !m_Targets.contains(Entry.first) &&
           !m_Extras.contains(Entry.first);
  });
  updateUnlinkedSince(Now);
}

void PeerLinks::requestExtra(const model::VmId &Vm, model::TimePoint Now) {
  if (m_Extras.contains(Vm) || m_Extras.size() < MaxExtraLinks)
    m_Extras[Vm] = Now;
}

void PeerLinks::onLinkUp(const model::NodeId &Peer, const model::VmId &Vm,
                         model::TimePoint Now) {
  m_Links[Peer] = {.m_Vm = Vm,
                   .m_Dialled = !Vm.empty(),
                   .m_Since = Now,
                   .m_LastHeard = Now,
                   .m_LastNeeded = Now,
                   .m_LastSent = Now - HeartbeatPeriod};
  m_Dials.erase(Vm);
  m_UnlinkedSince.erase(Vm);
}

void PeerLinks::setVm(const model::NodeId &Peer, const model::VmId &Vm) {
  if (Link *Known = find(Peer))
    Known->m_Vm = Vm;
  m_Dials.erase(Vm);
  m_UnlinkedSince.erase(Vm);
}

void PeerLinks::onLinkDown(const model::NodeId &Peer, const model::VmId &Vm,
                           model::TimePoint Now) {
  m_Links.erase(Peer);
  updateUnlinkedSince(Now);
  const auto Failed = m_Dials.find(Vm);
  if (Failed == m_Dials.end())
    return;
  Failed->second.m_Pending = false;
  Failed->second.m_NextAt = Now + Failed->second.m_Backoff.next(m_Random);
}

bool PeerLinks::isLinked(const model::VmId &Vm) const {
  return std::any_of(m_Links.begin(), m_Links.end(), [&Vm](const auto &Entry) {
    return Entry.second.m_Vm == Vm;
  });
}

bool PeerLinks::isNeighbour(const Link &Known) const {
  return m_Targets.m_Dialled.contains(Known.m_Vm) ||
         m_Targets.m_Expected.contains(Known.m_Vm);
}

PeerLinks::Link *PeerLinks::find(const model::NodeId &Peer) {
  const auto Found = m_Links.find(Peer);
  return Found == m_Links.end() ? nullptr : &Found->second;
}

void PeerLinks::updateUnlinkedSince(model::TimePoint Now) {
  std::set<model::VmId> Wanted = m_Targets.m_Dialled;
  Wanted.insert(m_Targets.m_Expected.begin(), m_Targets.m_Expected.end());
  std::erase_if(m_UnlinkedSince, [&Wanted](const auto &Entry) {
    return !Wanted.contains(Entry.first);
  });
  for (const model::VmId &Vm : Wanted) {
    if (isLinked(Vm))
      m_UnlinkedSince.erase(Vm);
    else
      m_UnlinkedSince.emplace(Vm, Now);
  }
}

std::vector<model::VmId> PeerLinks::unlinkedFor(model::Duration Span,
                                                model::TimePoint Now) const {
  std::vector<model::VmId> Vms;
  for (const auto &[Vm, Since] : m_UnlinkedSince)
    if (Now - Since >= Span)
      Vms.push_back(Vm);
  return Vms;
}

void PeerLinks::resetSilence(model::TimePoint Now) {
  for (auto &[Peer, Known] : m_Links)
    Known.m_LastHeard = Now;
  for (auto &[Vm, Since] : m_UnlinkedSince)
    Since = Now;
}

bool PeerLinks::isNeeded(const model::VmId &Vm, model::TimePoint Now) const {
  const auto Extra = m_Extras.find(Vm);
  return m_Targets.m_Dialled.contains(Vm) ||
         m_Targets.m_Expected.contains(Vm) ||
         (Extra != m_Extras.end() && Now - Extra->second < IdleLinkTimeout);
}

void PeerLinks::dial(const model::VmId &Vm, model::TimePoint Now,
                     ports::EffectList &Out) {
  if (isLinked(Vm))
    return;
  const auto It =
      m_Dials
          .emplace(Vm,
                   Dial{Backoff(DialBackoffBase, DialBackoffCap), Now, false})
          .first;
  Dial &State = It->second;
  if (Now < State.m_NextAt)
    return;
  if (State.m_Pending) {
    // The adapter did not report a result before DialTimeout.
    State.m_Pending = false;
    State.m_NextAt = Now + State.m_Backoff.next(m_Random);
    return;
  }
  const std::optional<model::NodeInfo> Info = m_Infos(Vm);
  if (!Info)
    return;
  State.m_Pending = true;
  State.m_NextAt = Now + DialTimeout;
  Out.push_back(ports::PeerConnect{*Info});
}

void PeerLinks::dialTargets(model::TimePoint Now, ports::EffectList &Out) {
  for (const model::VmId &Vm : m_Targets.m_Dialled)
    dial(Vm, Now, Out);
  for (const model::VmId &Vm : m_Targets.m_Probed)
    dial(Vm, Now, Out);
  for (const model::VmId &Vm : unlinkedFor(PredecessorGrace, Now))
    if (m_Targets.m_Expected.contains(Vm))
      dial(Vm, Now, Out);
}

void PeerLinks::dialExtras(model::TimePoint Now, ports::EffectList &Out) {
  std::erase_if(m_Extras, [Now](const auto &Entry) {
    return Now - Entry.second >= IdleLinkTimeout;
  });
  for (const auto &[Vm, Asked] : m_Extras)
    dial(Vm, Now, Out);
}

std::vector<model::NodeId> PeerLinks::tick(model::TimePoint Now,
                                           ports::EffectList &Out) {
  std::vector<model::NodeId> Silent;
  for (auto It = m_Links.begin(); It != m_Links.end();) {
    Link &Known = It->second;
    if (!Known.m_Dialled || isNeeded(Known.m_Vm, Now))
      Known.m_LastNeeded = Now;
    const bool IsSilent =
        Now - Known.m_LastHeard >=
        (isNeighbour(Known) ? SilenceTimeout : ExtraSilenceTimeout);
    const bool IsIdle = Now - Known.m_LastNeeded >= IdleLinkTimeout;
    if (!IsSilent && !IsIdle) {
      ++It;
      continue;
    }
    Silent.push_back(It->first);
    Out.push_back(ports::PeerDisconnect{It->first});
    It = m_Links.erase(It);
  }
  if (!Silent.empty())
    updateUnlinkedSince(Now);
  dialTargets(Now, Out);
  dialExtras(Now, Out);
  return Silent;
}

} // namespace bronzepass::core::membership
