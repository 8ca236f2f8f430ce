#include "Core/Gateway/EndpointRegistry.h"

#include <algorithm>
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
  Known = {std::move(Entry), std::nullopt};
  return true;
}

void EndpointRegistry::remove(const model::EndpointId &Endpoint,
                              bool Disturbed, model::TimePoint Now) {
  const auto Found = m_Entries.find(Endpoint);
  if (Found == m_Entries.end())
    return;
  // One that was leaving has left.
  if (Disturbed && !Found->second.m_Entry.m_Draining)
    Found->second.m_LapsedAt = Now;
  else
    m_Entries.erase(Found);
}

bool EndpointRegistry::dropLapsed(model::TimePoint RecoveredAt, bool Failing,
                                  model::TimePoint Now) {
  if (Failing)
    return false;
  return std::erase_if(m_Entries, [&](const auto &Entry) {
           const std::optional<model::TimePoint> &At =
               Entry.second.m_LapsedAt;
           return At && Now >= std::max(*At, RecoveredAt) + m_KeepLapsed;
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
