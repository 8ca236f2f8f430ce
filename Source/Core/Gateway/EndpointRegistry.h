#ifndef BRONZEPASS_CORE_GATEWAY_ENDPOINTREGISTRY_H
#define BRONZEPASS_CORE_GATEWAY_ENDPOINTREGISTRY_H

#include "Core/Gateway/EndpointEntry.h"
#include "Core/Gateway/StoreHealth.h"
#include "Core/Model/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

/// The registered endpoints. An entry that lapses during a store outage, or
/// shortly after, is retained for a while: endpoints that are alive write
/// theirs again.
///
/// Never goes back: a store that was restored from a backup lists entries as
/// they were some seconds before. An endpoint that has left, or has announced
/// that it is leaving, stays so unless it starts anew or renews its entry.
class EndpointRegistry {
public:
  /// \p LapsedRetention: how long after the store's recovery a lapsed entry is
  /// retained; by then endpoints that are alive have written theirs again.
  explicit EndpointRegistry(model::Duration LapsedRetention)
      : m_LapsedRetention(LapsedRetention) {}

  /// Returns false if \p Entry is older than what is known of the same endpoint
  /// start, or of a later start.
  bool set(EndpointEntry Entry, model::TimePoint Now);
  /// The store has been restored from a backup.
  void onStoreRestored(model::TimePoint Now);
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
  /// The last known state of an endpoint that was removed.
  struct RemovedEndpoint {
    int64_t m_StartedAtMs = 0;
    /// Renewals from which on an entry shows that the endpoint is alive.
    uint64_t m_OldestNews = 0;
    model::TimePoint m_RemovedAt;
  };
  bool isFromBackup(const EndpointEntry &Entry, model::TimePoint Now) const;
  void recordRemoval(const EndpointEntry &Entry, bool HasLeft,
                     model::TimePoint Now);
  void forgetRemoved(model::TimePoint Now);

  std::map<model::EndpointId, RemovedEndpoint> m_Removed;
  std::optional<model::TimePoint> m_RestoredAt;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_ENDPOINTREGISTRY_H
