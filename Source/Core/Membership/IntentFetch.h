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

/// Parts by their hashes.
using PartMap = std::map<uint64_t, std::string>;

/// Gathers the parts of one generation: from peers that offered it, one after
/// another, and from the object API where the head came from there or no peer
/// delivers.
class IntentFetch {
public:
  /// Parts asked of a peer at once.
  static constexpr size_t PartsPerRequest = 8;

  /// Starts with those parts that \p Held has.
  IntentFetch(model::IntentHead Head, const PartMap &Held,
              StoreSubmitter Submit, ports::Random &Random,
              model::TimePoint Now);

  const model::IntentHead &head() const { return m_Head; }
  bool isComplete() const { return m_Missing.empty(); }
  /// No source has what is missing.
  bool isLost() const { return m_Lost; }
  const PartMap &parts() const { return m_Parts; }

  void addPeer(const model::NodeId &Peer);
  void removePeer(const model::NodeId &Peer);
  /// The head was read from the object API: its parts are there.
  void allowStore() { m_StoreAllowed = true; }

  void tick(model::TimePoint Now, ports::EffectList &Out);
  void partSent(const model::IntentPart &Part, model::TimePoint Now,
                ports::EffectList &Out);
  /// Returns whether the answer was to this object's call.
  bool onStoreAnswer(const ports::StoreAnswer &Answer, model::TimePoint Now);

private:
  static constexpr size_t StoreCallsAtOnce = 4;

  void add(const model::IntentPart &Part);
  void askPeer(model::TimePoint Now, ports::EffectList &Out);
  void askStore(model::TimePoint Now);

  model::IntentHead m_Head;
  PartMap m_Parts;
  /// Missing parts, and whether the peer in turn was asked for them.
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
  bool m_Lost = false;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_INTENTFETCH_H
