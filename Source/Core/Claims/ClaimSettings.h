#ifndef BRONZEPASS_CORE_CLAIMS_CLAIMSETTINGS_H
#define BRONZEPASS_CORE_CLAIMS_CLAIMSETTINGS_H

#include "Core/Model/Time.h"

#include <cstddef>
#include <cstdint>

namespace bronzepass::core::claims {

struct ClaimSettings {
  /// Number of shards that claims are distributed over; must be the same on
  /// every node. A node that finds another count in a shard's object refuses
  /// claims instead of writing.
  uint32_t m_ShardCount = 64;
  /// How long a key is remembered after its claim is taken.
  model::Duration m_ClaimLifetime = std::chrono::hours(24);
  /// Limit on conditional updates by all owners together; each shard gets an
  /// equal share.
  double m_FleetWritesPerSecond = 150;
  /// Writes that a shard may make in a burst after an idle time.
  int m_CommitBurst = 3;
  /// How long an outcome waits to be written together with other changes of its
  /// shard.
  model::Duration m_OutcomeDelay = std::chrono::milliseconds(200);
  /// Timeout of one call to the object API.
  model::Duration m_StoreTimeout = std::chrono::seconds(2);
  model::Duration m_StoreBackoffBase = std::chrono::milliseconds(20);
  model::Duration m_StoreBackoffMax = std::chrono::seconds(2);
  /// A shard's state older than this is read again before a request is answered
  /// Pending or Mismatch.
  model::Duration m_MaxStateAge = std::chrono::seconds(2);
  /// How long a repeated request waits for the outcome of the first run.
  model::Duration m_PendingHold = std::chrono::seconds(2);
  /// Part of each window that is reserved for the run itself: a claim that is
  /// not granted before it is refused.
  model::Duration m_ServeMargin = std::chrono::milliseconds(20);
  /// A node that is no longer first for a shard unloads it after this idle
  /// time.
  model::Duration m_IdleUnloadDelay = std::chrono::seconds(10);

  /// Back-off between two sends of a claim request or outcome.
  model::Duration m_ResendBase = std::chrono::milliseconds(100);
  model::Duration m_ResendMax = std::chrono::seconds(1);
  /// A claim request without any reply goes to the next candidate after this
  /// time.
  model::Duration m_FailoverTimeout = std::chrono::seconds(3);
  /// How long an abandoned claim request is remembered, so that a late grant
  /// can be released.
  model::Duration m_AbandonedRetention = std::chrono::seconds(60);

  /// Encoded size of the claims in a shard's own object from which they are
  /// moved to a segment, so that each commit stays small.
  size_t m_SealBytes = 128'000;
  /// Segments of one shard; beyond that its own object fills up.
  size_t m_MaxSegments = 100;
  /// Delay before a segment that could not be written is tried again.
  model::Duration m_SealRetryDelay = std::chrono::seconds(10);
  /// Encoded size of the claims in a shard's own object beyond which claims are
  /// refused; the platform stores values of up to 1 MB.
  size_t m_MaxShardBytes = 900'000;
  /// Beyond this size, answers are no longer stored, but claims still are.
  size_t m_MaxShardBytesForAnswers = 600'000;
  /// Longer answers are not stored: a repeated request gets only the status.
  size_t m_MaxAnswerBytes = 2'048;
  /// Claim requests, and outcomes, that may wait at one shard's owner.
  size_t m_MaxWaitingPerShard = 1'000;
  /// Unanswered claim requests, and unrecorded outcomes, of this node's own
  /// traffic.
  size_t m_MaxPendingRequests = 10'000;
  size_t m_MaxPendingOutcomes = 2'000;

  /// Time between two writes of one shard, on average.
  model::Duration commitSpacing() const {
    const double Seconds = m_ShardCount / m_FleetWritesPerSecond;
    return model::Duration(static_cast<int64_t>(Seconds * 1e6));
  }
};

} // namespace bronzepass::core::claims

#endif // BRONZEPASS_CORE_CLAIMS_CLAIMSETTINGS_H
