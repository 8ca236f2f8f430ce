#include "Core/Gateway/EndpointRegistry.h"

#include <chrono>
#include <optional>
#include <utility>

namespace bronzepass::core::gateway {

namespace {

/// Longer than a backup is old when the store is restored from it, and than the
/// store keeps the entry of an endpoint that does not renew it.
constexpr model::Duration RemovedRetention = std::chrono::seconds(60);

} // namespace

bool EndpointRegistry::set(EndpointEntry Entry, model::TimePoint Now) {
  if (isFromBackup(Entry, Now))
    return false;
  RegisteredEndpoint &Registered = m_Entries[Entry.m_Id];
  const EndpointEntry &Known = Registered.m_Entry;
  const bool IsSameStart =
      Known.m_Id == Entry.m_Id && Known.m_StartedAtMs == Entry.m_StartedAtMs;
  // A delayed renewal must not overwrite a later one.
  const bool IsStale = IsSameStart && Entry.m_Renewals < Known.m_Renewals;
  const bool UndoesDraining = IsSameStart && Known.m_Draining &&
                              !Entry.m_Draining &&
                              Entry.m_Renewals == Known.m_Renewals;
  if (IsStale || UndoesDraining)
    return false;
  m_Removed.erase(Entry.m_Id);
  Registered = {std::move(Entry), false};
  return true;
}

void EndpointRegistry::onStoreRestored(model::TimePoint Now) {
  m_RestoredAt = Now;
}

bool EndpointRegistry::isFromBackup(const EndpointEntry &Entry,
                                    model::TimePoint Now) const {
  if (!m_RestoredAt || Now >= *m_RestoredAt + RemovedRetention)
    return false;
  const auto Known = m_Entries.find(Entry.m_Id);
  if (Known != m_Entries.end())
    return Entry.m_StartedAtMs < Known->second.m_Entry.m_StartedAtMs;
  const auto Removed = m_Removed.find(Entry.m_Id);
  if (Removed == m_Removed.end())
    return false;
  const RemovedEndpoint &Last = Removed->second;
  return Entry.m_StartedAtMs < Last.m_StartedAtMs ||
         (Entry.m_StartedAtMs == Last.m_StartedAtMs &&
          Entry.m_Renewals < Last.m_OldestNews);
}

void EndpointRegistry::forgetRemoved(model::TimePoint Now) {
  std::erase_if(m_Removed, [&](const auto &Each) {
    return Now >= Each.second.m_RemovedAt + RemovedRetention;
  });
}

void EndpointRegistry::remove(const model::EndpointId &Endpoint,
                              const StoreHealth &Store, model::TimePoint Now) {
  const auto Found = m_Entries.find(Endpoint);
  if (Found == m_Entries.end())
    return;
  const std::optional<model::TimePoint> Returned = Store.recoveredAt();
  const bool MayComeBack =
      Store.isFailing() || (Returned && Now < *Returned + m_LapsedRetention);
  const EndpointEntry &Entry = Found->second.m_Entry;
  // A draining endpoint was shutting down and does not come back.
  if (MayComeBack && !Entry.m_Draining) {
    Found->second.m_Lapsed = true;
    return;
  }
  forgetRemoved(Now);
  recordRemoval(Entry, true, Now);
  m_Entries.erase(Found);
}

bool EndpointRegistry::dropLapsed(const StoreHealth &Store,
                                  model::TimePoint Now) {
  const std::optional<model::TimePoint> Returned = Store.recoveredAt();
  if (Store.isFailing() || !Returned || Now < *Returned + m_LapsedRetention)
    return false;
  forgetRemoved(Now);
  return std::erase_if(m_Entries, [&](const auto &Each) {
           if (Each.second.m_Lapsed)
             recordRemoval(Each.second.m_Entry, false, Now);
           return Each.second.m_Lapsed;
         }) != 0;
}

void EndpointRegistry::recordRemoval(const EndpointEntry &Entry, bool HasLeft,
                                     model::TimePoint Now) {
  // An endpoint whose entry has lapsed may write the same entry again.
  const uint64_t OldestNews = Entry.m_Renewals + (HasLeft ? 1 : 0);
  m_Removed[Entry.m_Id] = {Entry.m_StartedAtMs, OldestNews, Now};
}

std::vector<EndpointEntry> EndpointRegistry::entries() const {
  std::vector<EndpointEntry> All;
  for (const auto &Entry : m_Entries)
    All.push_back(Entry.second.m_Entry);
  return All;
}

const EndpointEntry *
EndpointRegistry::find(const model::EndpointId &Endpoint) const {
  const auto Found = m_Entries.find(Endpoint);
  return Found == m_Entries.end() ? nullptr : &Found->second.m_Entry;
}

} // namespace bronzepass::core::gateway
