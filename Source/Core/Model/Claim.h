#ifndef BRONZEPASS_CORE_MODEL_CLAIM_H
#define BRONZEPASS_CORE_MODEL_CLAIM_H

#include "Core/Model/Id.h"
#include "Core/Model/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzepass::core::model {

enum class ClaimState {
  /// Taken; its run may be under way or its outcome lost.
  Claimed,
  /// It ran; m_Status and m_Answer hold what the endpoint said.
  Done,
  /// Proven not to have run; the key is free again. Kept only where it replaces
  /// a claim of a segment.
  Released,
};

/// The at-most-once record of one idempotency key.
struct ClaimRecord {
  /// stableHash of caller, pool and key.
  uint64_t m_KeyHash = 0;
  /// Hash of method, path and body: a repeat must ask for the same thing.
  uint64_t m_BodyHash = 0;
  ClaimState m_State = ClaimState::Claimed;
  /// The ask that holds the key: the node that may run it, and its number for
  /// the ask. The two together never come again.
  NodeId m_Runner;
  uint64_t m_ClaimRequestId = 0;
  TimePoint m_TakenAt;
  /// Of the first answer, for repeats; empty where it is too long to keep.
  uint16_t m_Status = 0;
  std::string m_Answer;

  friend auto operator<=>(const ClaimRecord &, const ClaimRecord &) = default;
};

/// An object of claims that its shard's owner has set aside: it is written once
/// and never changes.
struct ClaimSegment {
  /// Its owner's, and that owner's number for it: together never used again.
  FencingToken m_Epoch;
  uint64_t m_Number = 0;
  /// When the last of its claims was taken: it expires with that.
  TimePoint m_NewestTakenAt;

  friend auto operator<=>(const ClaimSegment &, const ClaimSegment &) = default;
};

/// One shard of claims: one object of the object API, written by conditional
/// update alone.
struct ClaimShardRecord {
  uint32_t m_Shard = 0;
  /// Of the deployment; an owner with another count must not write.
  uint32_t m_ShardCount = 0;
  /// The owner that wrote it last, and the epoch it took the shard with.
  NodeId m_Writer;
  FencingToken m_Epoch;
  /// Rises with every write.
  uint64_t m_Sequence = 0;
  /// Oldest first. What m_Claims or a later segment says of a key replaces what
  /// an earlier one does.
  std::vector<ClaimSegment> m_Segments;
  std::vector<ClaimRecord> m_Claims;

  friend auto operator<=>(const ClaimShardRecord &,
                          const ClaimShardRecord &) = default;
};

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_CLAIM_H
