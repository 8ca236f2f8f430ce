#include "Core/Gateway/EndpointRegistry.h"

#include <optional>
#include <utility>

namespace bronzepass::core::gateway {

bool EndpointRegistry::set(EndpointEntry Entry) {
  RegisteredEndpoint &Registered = m_Entries[Entry.m_Id];
  // A delayed renewal must not overwrite a later one.
  const bool IsStale =
      Registered.m_Entry.m_Id == Entry.m_Id &&
      Registered.m_Entry.m_StartedAtMs == Entry.m_StartedAtMs &&
      Entry.m_Renewals < Registered.m_Entry.m_Renewals;
  if (IsStale)
    return false;
  Registered = {std::move(Entry), false};
  return true;
}

void EndpointRegistry::remove(const model::EndpointId &Endpoint,
                              const StoreHealth &Store, model::TimePoint Now) {
  const auto Found = m_Entries.find(Endpoint);
  if (Found == m_Entries.end())
    return;
  const std::optional<model::TimePoint> Returned = Store.recoveredAt();
  const bool MayComeBack =
      Store.isFailing() || (Returned && Now < *Returned + m_LapsedRetention);
  // A draining endpoint was shutting down and does not come back.
  if (MayComeBack && !Found->second.m_Entry.m_Draining)
    Found->second.m_Lapsed = true;
  else
    m_Entries.erase(Found);
}

bool EndpointRegistry::dropLapsed(const StoreHealth &Store,
                                  model::TimePoint Now) {
  const std::optional<model::TimePoint> Returned = Store.recoveredAt();
  if (Store.isFailing() || !Returned || Now < *Returned + m_LapsedRetention)
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
