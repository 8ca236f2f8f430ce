#ifndef BRONZEPASS_CORE_GATEWAY_ENDPOINTREGISTRY_H
#define BRONZEPASS_CORE_GATEWAY_ENDPOINTREGISTRY_H

#include "Core/Gateway/EndpointEntry.h"
#include "Core/Gateway/StoreHealth.h"
#include "Core/Model/Time.h"

#include <map>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

/// The endpoints that are registered. An entry that lapses while the store is
/// disturbed, or just after, is kept for a while: endpoints that live write
/// theirs again.
class EndpointRegistry {
public:
  /// \p KeepLapsed: within this time of the store's return, entries that
  /// endpoints could not renew are back.
  explicit EndpointRegistry(model::Duration KeepLapsed)
      : m_KeepLapsed(KeepLapsed) {}

  /// False where \p Entry is older than what is known of the same start.
  bool set(EndpointEntry Entry);
  /// The entry is gone. While the store does not answer, or within the time
  /// for which lapsed entries are kept after its return, it may be back.
  void remove(const model::EndpointId &Endpoint, const StoreHealth &Store,
              model::TimePoint Now);
  /// Drops what has not come back in time. True where anything changed.
  bool dropLapsed(const StoreHealth &Store, model::TimePoint Now);

  std::vector<EndpointEntry> entries() const;
  const EndpointEntry *find(const model::EndpointId &Endpoint) const;
  bool empty() const { return m_Entries.empty(); }

private:
  struct Kept {
    EndpointEntry m_Entry;
    /// Its entry is missing.
    bool m_Lapsed = false;
  };

  model::Duration m_KeepLapsed;
  std::map<model::EndpointId, Kept> m_Entries;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_ENDPOINTREGISTRY_H
