#ifndef BRONZEPASS_CORE_LEASES_STOREERATRACKER_H
#define BRONZEPASS_CORE_LEASES_STOREERATRACKER_H

#include "Core/Model/Id.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace bronzepass::core::leases {

/// What the era that an answer names says about the answer.
enum class EraVerdict {
  /// The call was made and answered in the current era.
  Current,
  /// The answer is the first of a new era: the store has been restored from a
  /// backup since the call was made.
  Restored,
  /// The store has been restored while the call was in flight: whether it was
  /// executed, and on which state, is unknown.
  InDoubt,
  /// The answer is from before the restore.
  Outdated,
  /// The store names a lower era than before to a call made since.
  Fallen,
};

/// The store's state as of one call.
struct CallEra {
  /// Restores seen when the call was made.
  uint64_t m_Restores = 0;
  /// The call accepts data that is some seconds old.
  bool m_MayBeStale = false;

  friend auto operator<=>(const CallEra &, const CallEra &) = default;
};

/// Tracks the store's era over all calls of a node.
class StoreEraTracker {
public:
  CallEra onCall(bool MayBeStale) const { return {m_Restores, MayBeStale}; }

  /// Takes the era that the answer to \p Call names; nullopt if it names none.
  EraVerdict onAnswer(const CallEra &Call,
                      std::optional<model::StoreEra> Named);

  /// Another node was told \p Era by the store. False if this one knows a later
  /// one.
  bool onTold(model::StoreEra Era);

  /// nullopt until an answer has named one.
  std::optional<model::StoreEra> current() const { return m_Current; }
  /// Restores seen since this node's start.
  uint64_t restores() const { return m_Restores; }

private:
  std::optional<model::StoreEra> m_Current;
  uint64_t m_Restores = 0;
};

} // namespace bronzepass::core::leases

#endif // BRONZEPASS_CORE_LEASES_STOREERATRACKER_H
