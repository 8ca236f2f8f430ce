#include "Core/Leases/LeaseManager.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::leases {

LeaseManager::LeaseManager(const LeaseSettings &Settings,
                           const model::NodeId &Self, StoreGovernor &Governor,
                           ports::Random &Source)
    : m_Settings(Settings), m_Self(Self), m_Governor(Governor),
      m_Random(Source) {}

void LeaseManager::setCandidacies(
    const std::vector<LeaseCandidacy> &Candidacies, model::TimePoint Now,
    ports::EffectList &Out) {
  if (m_Stopping)
    return;
  std::map<model::LeaseName, uint32_t> RankByLease;
  for (const LeaseCandidacy &Candidacy : Candidacies)
    RankByLease[Candidacy.m_Name] = Candidacy.m_Rank;
  for (auto &Entry : m_Trackers)
    if (!RankByLease.contains(Entry.first))
      Entry.second.release();
  for (const auto &Entry : RankByLease) {
    auto Tracker =
        m_Trackers
            .try_emplace(Entry.first, Entry.first, m_Settings, m_Self, m_Random)
            .first;
    if (m_Era)
      Tracker->second.setStoreEra(*m_Era, Now);
    Tracker->second.setRank(Entry.second, Now);
    advance(Tracker->second, Now, Out);
  }
}

std::optional<model::HeldLease> LeaseManager::find(const model::LeaseName &Name,
                                                   model::TimePoint Now) const {
  auto Found = m_Trackers.find(Name);
  if (Found == m_Trackers.end())
    return std::nullopt;
  return Found->second.heldAt(Now);
}

std::vector<model::HeldLease> LeaseManager::held(model::TimePoint Now) const {
  std::vector<model::HeldLease> Held;
  for (const auto &Entry : m_Trackers) {
    const std::optional<model::HeldLease> Lease = Entry.second.heldAt(Now);
    if (Lease)
      Held.push_back(*Lease);
  }
  return Held;
}

std::vector<LeaseNotice> LeaseManager::tick(model::TimePoint Now,
                                            ports::EffectList &Out) {
  std::vector<LeaseNotice> Notices;
  for (auto &Entry : m_Trackers) {
    advance(Entry.second, Now, Out);
    collect(Entry.second, Notices, Out);
  }
  std::erase_if(m_Trackers, [](const TrackerMap::value_type &Entry) {
    return Entry.second.isFinished();
  });
  return Notices;
}

std::vector<LeaseNotice>
LeaseManager::onStoreAnswer(const ports::StoreAnswer &Answer,
                            model::TimePoint Now, ports::EffectList &Out) {
  std::vector<LeaseNotice> Notices;
  auto Call = m_Calls.find(Answer.m_Id);
  if (Call == m_Calls.end())
    return Notices;
  auto Tracker = m_Trackers.find(Call->second);
  m_Calls.erase(Call);
  if (Tracker == m_Trackers.end())
    return Notices;
  Tracker->second.onAnswer(Answer, Now);
  advance(Tracker->second, Now, Out);
  collect(Tracker->second, Notices, Out);
  return Notices;
}

std::vector<LeaseNotice> LeaseManager::setStoreEra(model::StoreEra Era,
                                                   model::TimePoint Now,
                                                   ports::EffectList &Out) {
  std::vector<LeaseNotice> Notices;
  if (m_Era == Era)
    return Notices;
  if (m_Era)
    m_Calls.clear();
  m_Era = Era;
  for (auto &Entry : m_Trackers) {
    Entry.second.setStoreEra(Era, Now);
    collect(Entry.second, Notices, Out);
  }
  return Notices;
}

void LeaseManager::stop(model::TimePoint Now, ports::EffectList &Out) {
  m_Stopping = true;
  for (auto &Entry : m_Trackers) {
    Entry.second.release();
    advance(Entry.second, Now, Out);
  }
}

void LeaseManager::advance(LeaseTracker &Tracker, model::TimePoint Now,
                           ports::EffectList &Out) {
  std::optional<ports::StoreCall> Call = Tracker.advance(Now);
  if (!Call)
    return;
  const model::CallId Id =
      m_Governor.submit(StoreClient::Leases, std::move(*Call), Now, Out);
  m_Calls[Id] = Tracker.name();
}

void LeaseManager::collect(LeaseTracker &Tracker,
                           std::vector<LeaseNotice> &Notices,
                           ports::EffectList &Out) {
  for (LeaseNotice &Notice : Tracker.takeNotices()) {
    const bool Gained = Notice.m_Change == LeaseChange::Gained;
    Out.push_back(model::Decision{
        .m_Kind = model::DecisionKind::Membership,
        .m_Subject = Tracker.name().m_Duty,
        .m_Action = Gained ? "acquire" : "lose",
        .m_Chosen = m_Self.str(),
        .m_Reason = "token " + std::to_string(Notice.m_Lease.m_Token.m_Value) +
                    ": " + Notice.m_Reason});
    Notices.push_back(std::move(Notice));
  }
}

} // namespace bronzepass::core::leases
