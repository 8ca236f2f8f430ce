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
  /// A node holds the key. Its run may be in progress, or its outcome was lost.
  Claimed,
  /// The request ran; m_Status and m_Answer hold the endpoint's response.
  Done,
  /// The request provably did not run and the key can be claimed again. Stored
  /// only to override a claim in a segment.
  Released,
};

/// The at-most-once record of one idempotency key.
struct ClaimRecord {
  /// stableHash of caller, pool and key.
  uint64_t m_KeyHash = 0;
  /// Hash of method, path and body, which must match in a repeated request.
  uint64_t m_BodyHash = 0;
  ClaimState m_State = ClaimState::Claimed;
  /// The claim request that holds the key: the node that may run the request,
  /// and that node's number for the claim request. The pair is never reused.
  NodeId m_Runner;
  uint64_t m_ClaimRequestId = 0;
  TimePoint m_TakenAt;
  /// The first answer, returned to repeated requests. m_Answer is empty if it
  /// is too long to store.
  uint16_t m_Status = 0;
  std::string m_Answer;

  friend auto operator<=>(const ClaimRecord &, const ClaimRecord &) = default;
};

/// An immutable object of claims that the shard's owner has moved out of the
/// shard record. It is written once.
struct ClaimSegment {
  /// The owner's epoch, and the owner's number for the segment. The pair is
  /// never reused.
  FencingToken m_Epoch;
  uint64_t m_Number = 0;
  /// When the newest claim in the segment was taken; the segment expires with
  /// that claim.
  TimePoint m_NewestTakenAt;

  friend auto operator<=>(const ClaimSegment &, const ClaimSegment &) = default;
};

/// One shard of claims, stored as one object of the object API and written only
/// by conditional update.
struct ClaimShardRecord {
  uint32_t m_Shard = 0;
  /// Number of shards in the deployment; an owner with another count must not
  /// write.
  uint32_t m_ShardCount = 0;
  /// The owner that last wrote the record, and the epoch in which it took over
  /// the shard.
  NodeId m_Writer;
  FencingToken m_Epoch;
  /// Rises with every write.
  uint64_t m_Sequence = 0;
  /// Oldest first. A claim in m_Claims or in a later segment overrides a claim
  /// on the same key in an earlier one.
  std::vector<ClaimSegment> m_Segments;
  std::vector<ClaimRecord> m_Claims;

  friend auto operator<=>(const ClaimShardRecord &,
                          const ClaimShardRecord &) = default;
};

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_CLAIM_H
