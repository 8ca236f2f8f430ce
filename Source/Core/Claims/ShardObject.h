#ifndef BRONZEPASS_CORE_CLAIMS_SHARDOBJECT_H
#define BRONZEPASS_CORE_CLAIMS_SHARDOBJECT_H

#include "Core/Claims/ClaimHistory.h"
#include "Core/Claims/ClaimSettings.h"
#include "Core/Model/Claim.h"
#include "Core/Model/Decision.h"
#include "Core/Ports/Ports.h"
#include "Core/Ports/Store.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::claims {

/// Cached state of a shard's object in the object API and of its segments, with
/// at most one call in flight. The object's version fences writers: of two
/// nodes that believe they own the shard, one fails at its next write. After a
/// write with an unknown result, the object is read, then written again on the
/// same version: once any later write has succeeded, the earlier one can no
/// longer take effect.
class ShardObject {
public:
  ShardObject(uint32_t Shard, const ClaimSettings &Settings,
              const model::NodeId &Self, ports::Random &Source);

  /// Whether history() is complete as of verifiedAt().
  bool isKnown() const {
    return m_Phase == Phase::Known && !m_History.firstUnloaded();
  }
  bool isCalling() const { return m_CallInFlight != CallType::None; }
  /// Whether the last known write is this node's.
  bool isLastWriter() const { return m_IsLastWriter; }
  /// Whether the object was written with another number of shards.
  bool hasOtherShardCount() const { return m_HasOtherShardCount; }
  /// Whether a write with an unknown result may still take effect.
  bool hasUnknownWrite() const { return m_UnknownWrite; }
  const ClaimHistory &history() const { return m_History; }
  /// When the read or write that history() comes from was sent.
  model::TimePoint verifiedAt() const { return m_VerifiedAt; }

  bool mayCall(model::TimePoint Now) const {
    return !isCalling() && Now >= m_RetryAt;
  }
  bool mayWrite(model::TimePoint Now) const {
    return mayCall(Now) && isKnown() && Now >= m_NextWriteAt;
  }

  /// Reads the object, or the next segment that is not loaded.
  ports::StoreCall read(model::TimePoint Now);
  bool isSealDue(model::TimePoint Now) const;
  /// Writes the object's claims to a segment; the next commit() drops them from
  /// the object.
  ports::StoreCall seal();
  bool isSealed() const { return m_Sealed.has_value(); }
  /// A copy of the claims that have not expired, to be changed and passed to
  /// commit().
  ClaimHistory makeDraft(model::TimePoint Now);
  ports::StoreCall commit(ClaimHistory Draft, model::TimePoint Now);
  /// Counts a write against the shard's rate limit, even one that turned out to
  /// be unnecessary.
  void countWrite(model::TimePoint Now);
  void onAnswer(const ports::StoreAnswer &Answer, model::TimePoint Now);

  std::vector<model::Decision> takeDecisions();
  /// Deletions of segments that are no longer needed; their answers are
  /// ignored.
  std::vector<ports::StoreCall> takeDeletions();
  model::Decision decision(const std::string &Action,
                           const std::string &Reason) const;

private:
  enum class Phase {
    /// The object's state is not known, or may be outdated.
    Unread,
    Known,
  };
  enum class CallType { None, Read, Load, Seal, Commit };

  ports::StoreCall call(ports::StoreVerb Verb,
                        const ports::ObjectKey &Key) const;
  ports::ObjectKey keyOf(const model::ClaimSegment &Segment) const;
  model::ClaimShardRecord blankRecord() const;

  void onRead(const ports::StoreAnswer &Answer, model::TimePoint Now);
  void onLoaded(const ports::StoreAnswer &Answer, model::TimePoint Now);
  void onSealed(const ports::StoreAnswer &Answer, model::TimePoint Now);
  void onCommitted(const ports::StoreAnswer &Answer, model::TimePoint Now);
  void deleteExpired();
  void adopt(const ports::StoredObject &Object);
  void adoptAbsent();
  void setVersion(model::ObjectVersion Version);
  void setLastWriter(bool IsLastWriter, const std::string &Why);
  void backOff(model::TimePoint Now);

  uint32_t m_Shard;
  const ClaimSettings &m_Settings;
  model::NodeId m_Self;
  ports::Random &m_Random;
  ports::ObjectKey m_Key;

  Phase m_Phase = Phase::Unread;
  CallType m_CallInFlight = CallType::None;
  ClaimHistory m_History;
  /// Zero if the object does not exist.
  model::ObjectVersion m_Version;
  model::FencingToken m_Epoch;
  uint64_t m_Sequence = 0;
  bool m_IsLastWriter = false;
  bool m_HasOtherShardCount = false;
  bool m_UnknownWrite = false;

  ClaimHistory m_Draft;
  model::FencingToken m_DraftEpoch;
  std::vector<StoredSegment> m_Expired;
  /// The segment being loaded or written.
  model::ClaimSegment m_Segment;
  /// Never decreases, so that no segment name is reused.
  uint64_t m_LastSegment = 0;
  /// A segment that is written but not yet listed in the object.
  std::optional<StoredSegment> m_Sealed;

  model::TimePoint m_VerifiedAt;
  model::TimePoint m_CallStartedAt;
  model::TimePoint m_NextWriteAt;
  model::TimePoint m_NextSealAt;
  model::TimePoint m_RetryAt;
  uint32_t m_Failures = 0;
  std::vector<model::Decision> m_Decisions;
  std::vector<ports::StoreCall> m_Deletions;
};

} // namespace bronzepass::core::claims

#endif // BRONZEPASS_CORE_CLAIMS_SHARDOBJECT_H
