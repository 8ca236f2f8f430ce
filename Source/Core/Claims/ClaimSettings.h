#ifndef BRONZEPASS_CORE_CLAIMS_CLAIMSETTINGS_H
#define BRONZEPASS_CORE_CLAIMS_CLAIMSETTINGS_H

#include "Core/Model/Time.h"

#include <cstddef>
#include <cstdint>

namespace bronzepass::core::claims {

struct ClaimSettings {
  /// Objects that the claims are spread over; the same on every node. A node
  /// with another count refuses claims rather than write.
  uint32_t m_ShardCount = 64;
  /// How long a key is remembered after its claim was taken.
  model::Duration m_Expiry = std::chrono::hours(24);
  /// Conditional updates that all owners together make at most; each shard
  /// gets an equal share of it.
  double m_FleetWritesPerSecond = 150;
  /// Writes that a shard may make at once after it has rested.
  int m_CommitBurst = 3;
  /// How long an outcome waits for other changes of its shard to be written
  /// with.
  model::Duration m_OutcomeDelay = std::chrono::milliseconds(200);
  /// Timeout of one call to the object API.
  model::Duration m_StoreTimeout = std::chrono::seconds(2);
  model::Duration m_StoreBackoffBase = std::chrono::milliseconds(20);
  model::Duration m_StoreBackoffMax = std::chrono::seconds(2);
  /// A shard's state older than this is read again before a caller is told
  /// Pending or Mismatch from it.
  model::Duration m_FreshFor = std::chrono::seconds(2);
  /// How long a repeat waits for the first run's outcome.
  model::Duration m_PendingHold = std::chrono::seconds(2);
  /// Kept of each window for the run itself: a claim that cannot be had before
  /// is refused.
  model::Duration m_ServeMargin = std::chrono::milliseconds(20);
  /// Owners that are no longer first for a shard forget it after this rest.
  model::Duration m_IdleBeforeForget = std::chrono::seconds(10);

  /// Back-off between two sends of one ask or outcome.
  model::Duration m_ResendBase = std::chrono::milliseconds(100);
  model::Duration m_ResendMax = std::chrono::seconds(1);
  /// An ask without any reply goes to the next candidate after this long.
  model::Duration m_SilenceBeforeNext = std::chrono::seconds(3);
  /// How long an ask that was given up is remembered, to release a late grant.
  model::Duration m_AbandonedFor = std::chrono::seconds(60);

  /// Encoded claims in a shard's own object past which they are set aside in a
  /// segment, so that each commit writes little.
  size_t m_SealBytes = 128'000;
  /// Segments of one shard; past them its own object fills up.
  size_t m_MaxSegments = 100;
  /// After a segment could not be written, the next try waits this long.
  model::Duration m_SealRetry = std::chrono::seconds(10);
  /// Encoded claims in a shard's own object past which claims are refused; the
  /// platform holds values up to 1 MB.
  size_t m_MaxShardBytes = 900'000;
  /// From here on answers are no longer kept, claims still are.
  size_t m_AnswerShardBytes = 600'000;
  /// Longer answers are not kept: a repeat gets the status alone.
  size_t m_MaxAnswerBytes = 2'048;
  /// Asks that wait at one shard's owner.
  size_t m_MaxWaitingPerShard = 1'000;
  /// Asks, and outcomes not yet recorded, of this node's own requests.
  size_t m_MaxOpenAsks = 10'000;
  size_t m_MaxOpenOutcomes = 2'000;

  /// Time between two writes of one shard, on average.
  model::Duration commitSpacing() const {
    const double Seconds = m_ShardCount / m_FleetWritesPerSecond;
    return model::Duration(static_cast<int64_t>(Seconds * 1e6));
  }
};

} // namespace bronzepass::core::claims

#endif // BRONZEPASS_CORE_CLAIMS_CLAIMSETTINGS_H
