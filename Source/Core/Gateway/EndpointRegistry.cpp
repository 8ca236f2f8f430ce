#include "Core/Gateway/EndpointRegistry.h"

#include <optional>
#include <utility>

namespace bronzepass::core::gateway {

bool EndpointRegistry::set(EndpointEntry Entry) {
  Kept &Known = m_Entries[Entry.m_Id];
  // A renewal that was long on its way must not undo a later one.
  const bool IsStale = Known.m_Entry.m_Id == Entry.m_Id &&
                       Known.m_Entry.m_BornMs == Entry.m_BornMs &&
                       Entry.m_Renewals < Known.m_Entry.m_Renewals;
  if (IsStale)
    return false;
  Known = {std::move(Entry), false};
  return true;
}

void EndpointRegistry::remove(const model::EndpointId &Endpoint,
                              const StoreHealth &Store, model::TimePoint Now) {
  const auto Found = m_Entries.find(Endpoint);
  if (Found == m_Entries.end())
    return;
  const std::optional<model::TimePoint> Returned = Store.returnedAt();
  const bool MayComeBack =
      Store.isFailing() || (Returned && Now < *Returned + m_KeepLapsed);
  // One that was leaving has left.
  if (MayComeBack && !Found->second.m_Entry.m_Draining)
    Found->second.m_Lapsed = true;
  else
    m_Entries.erase(Found);
}

bool EndpointRegistry::dropLapsed(const StoreHealth &Store,
                                  model::TimePoint Now) {
  const std::optional<model::TimePoint> Returned = Store.returnedAt();
  if (Store.isFailing() || !Returned || Now < *Returned + m_KeepLapsed)
    return false;
  return std::erase_if(m_Entries, [](const auto &Entry) {
           return Entry.second.m_Lapsed;
         }) != 0;
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
