#include "Core/Leases/StoreEraTracker.h"

namespace bronzepass::core::leases {

EraVerdict StoreEraTracker::onAnswer(const CallEra &Call,
                                     std::optional<model::StoreEra> Named) {
  const bool IsFirst = Named && !m_Current;
  if (IsFirst)
    m_Current = Named;
  if (Named && *Named > *m_Current) {
    m_Current = Named;
    ++m_Restores;
    return EraVerdict::Restored;
  }
  const bool SentBefore = Call.m_Restores != m_Restores;
  if (Named && *Named < *m_Current)
    return SentBefore || Call.m_MayBeStale ? EraVerdict::Outdated
                                           : EraVerdict::Fallen;
  return SentBefore ? EraVerdict::InDoubt : EraVerdict::Current;
}

bool StoreEraTracker::onTold(model::StoreEra Era) {
  if (m_Current && Era < *m_Current)
    return false;
  if (m_Current && Era > *m_Current)
    ++m_Restores;
  m_Current = Era;
  return true;
}

} // namespace bronzepass::core::leases
