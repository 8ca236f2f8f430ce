#ifndef BRONZEPASS_CORE_MEMBERSHIP_INTENTFETCH_H
#define BRONZEPASS_CORE_MEMBERSHIP_INTENTFETCH_H

#include "Core/Membership/Backoff.h"
#include "Core/Membership/IntentWatch.h"
#include "Core/Model/IntentDocument.h"
#include "Core/Ports/Effect.h"
#include "Core/Ports/Ports.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bronzepass::core::membership {

/// Texts of intent parts by hash.
using PartMap = std::map<uint64_t, std::string>;

/// Fetches the parts of one generation from the peers that offered it, one peer
/// at a time. Falls back to the object API if the head was read there or no
/// peer sends the parts.
class IntentFetch {
public:
  /// Parts requested from a peer at once.
  static constexpr size_t PartsPerRequest = 8;

  /// Parts found in \p Held are not fetched again.
  IntentFetch(model::IntentHead Head, const PartMap &Held,
              StoreSubmitter Submit, ports::Random &Random,
              model::TimePoint Now);

  const model::IntentHead &head() const { return m_Head; }
  bool isComplete() const { return m_Missing.empty(); }
  /// The object API no longer has a missing part: a newer generation has
  /// replaced this one.
  bool isSuperseded() const { return m_Superseded; }
  const PartMap &parts() const { return m_Parts; }

  void addPeer(const model::NodeId &Peer);
  void removePeer(const model::NodeId &Peer);
  /// Allows reads from the object API, which had the head and so has its parts.
  void allowStore() { m_StoreAllowed = true; }

  void tick(model::TimePoint Now, ports::EffectList &Out);
  void onPartReceived(const model::IntentPart &Part, model::TimePoint Now,
                      ports::EffectList &Out);
  /// Returns whether this object made the call that was answered.
  bool onStoreAnswer(const ports::StoreAnswer &Answer, model::TimePoint Now);

private:
  static constexpr size_t MaxConcurrentStoreCalls = 4;

  void add(const model::IntentPart &Part);
  void requestFromPeer(model::TimePoint Now, ports::EffectList &Out);
  void requestFromStore(model::TimePoint Now);

  model::IntentHead m_Head;
  PartMap m_Parts;
  /// Missing parts, and whether each was requested from the current peer.
  std::map<uint64_t, bool> m_Missing;
  std::vector<model::NodeId> m_Peers;
  std::map<model::CallId, uint64_t> m_Calls;
  StoreSubmitter m_Submit;
  ports::Random &m_Random;
  Backoff m_Backoff;
  model::TimePoint m_StartedAt;
  model::TimePoint m_LastProgress;
  model::TimePoint m_NextStoreAt;
  bool m_StoreAllowed = false;
  bool m_Superseded = false;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_INTENTFETCH_H
