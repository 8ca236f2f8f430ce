#ifndef BRONZEPASS_CORE_GATEWAY_ENDPOINTREGISTRY_H
#define BRONZEPASS_CORE_GATEWAY_ENDPOINTREGISTRY_H

#include "Core/Gateway/EndpointEntry.h"
#include "Core/Gateway/StoreHealth.h"
#include "Core/Model/Time.h"

#include <map>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

/// The registered endpoints. An entry that lapses during a store outage, or
/// shortly after, is retained for a while: endpoints that are alive write
/// theirs again.
class EndpointRegistry {
public:
  /// \p LapsedRetention: how long after the store's recovery a lapsed entry is
  /// retained; by then endpoints that are alive have written theirs again.
  explicit EndpointRegistry(model::Duration LapsedRetention)
      : m_LapsedRetention(LapsedRetention) {}

  /// Returns false if \p Entry is older than the known entry of the same
  /// endpoint start.
  bool set(EndpointEntry Entry);
  /// The entry was deleted from the store. While the store is failing, and for
  /// the retention time after its recovery, it is only marked as lapsed,
  /// because the endpoint may write it again.
  void remove(const model::EndpointId &Endpoint, const StoreHealth &Store,
              model::TimePoint Now);
  /// Drops lapsed entries whose retention time is over. True if any was
  /// dropped.
  bool dropLapsed(const StoreHealth &Store, model::TimePoint Now);

  std::vector<EndpointEntry> entries() const;
  const EndpointEntry *find(const model::EndpointId &Endpoint) const;
  bool empty() const { return m_Entries.empty(); }

private:
  struct RegisteredEndpoint {
    EndpointEntry m_Entry;
    /// The entry is missing from the store.
    bool m_Lapsed = false;
  };

  model::Duration m_LapsedRetention;
  std::map<model::EndpointId, RegisteredEndpoint> m_Entries;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_ENDPOINTREGISTRY_H
