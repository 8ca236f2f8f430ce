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

/// A shard's object in the object API, with its segments: what this node knows
/// of it, and its one call under way. The object's version is the fence: of two
/// nodes that believe they own the shard, one fails at its next write. A write
/// whose answer was lost is settled by reading, then by writing again on the
/// same version: once any later write has succeeded, the lost one can no longer
/// take effect.
class ShardObject {
public:
  ShardObject(uint32_t Shard, const ClaimSettings &Settings,
              const model::NodeId &Self, ports::Random &Source);

  /// Whether history() is whole, as of verifiedAt().
  bool isKnown() const {
    return m_Phase == Phase::Known && !m_History.firstMissing();
  }
  bool isCalling() const { return m_Under != Under::Nothing; }
  /// Whether this node's write was the last that it knows of.
  bool isHeld() const { return m_Held; }
  /// Whether the object belongs to another count of shards.
  bool isForeign() const { return m_Foreign; }
  /// Whether a write was lost that may yet take effect.
  bool hasLostWrite() const { return m_LostWrite; }
  const ClaimHistory &history() const { return m_History; }
  /// When the read was asked for or the write sent that history() comes from.
  model::TimePoint verifiedAt() const { return m_VerifiedAt; }

  bool mayCall(model::TimePoint Now) const {
    return !isCalling() && Now >= m_RetryAt;
  }
  bool mayWrite(model::TimePoint Now) const {
    return mayCall(Now) && isKnown() && Now >= m_NextWriteAt;
  }

  /// Reads the object, or the next segment that is missing.
  ports::StoreCall read(model::TimePoint Now);
  bool isSealDue(model::TimePoint Now) const;
  /// Writes the object's claims to a segment; the next commit() drops them from
  /// the object.
  ports::StoreCall seal();
  bool isSealed() const { return m_Sealed.has_value(); }
  /// The claims that have not expired, to be changed and given to commit().
  ClaimHistory makeDraft(model::TimePoint Now);
  ports::StoreCall commit(ClaimHistory Draft, model::TimePoint Now);
  /// Counts a write against the shard's rate, made or found to be of no use.
  void spendWrite(model::TimePoint Now);
  void onAnswer(const ports::StoreAnswer &Answer, model::TimePoint Now);

  std::vector<model::Decision> takeDecisions();
  /// Deletions of segments that are no longer of use; their answers do not
  /// matter.
  std::vector<ports::StoreCall> takeDeletions();
  model::Decision decision(const std::string &Action,
                           const std::string &Reason) const;

private:
  enum class Phase {
    /// The object's state is not known, or no longer.
    Unread,
    Known,
  };
  enum class Under { Nothing, Read, Load, Seal, Commit };

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
  void setHeld(bool Held, const std::string &Why);
  void backOff(model::TimePoint Now);

  uint32_t m_Shard;
  const ClaimSettings &m_Settings;
  model::NodeId m_Self;
  ports::Random &m_Random;
  ports::ObjectKey m_Key;

  Phase m_Phase = Phase::Unread;
  Under m_Under = Under::Nothing;
  ClaimHistory m_History;
  /// Zero where the object is absent.
  model::ObjectVersion m_Version;
  model::FencingToken m_Epoch;
  uint64_t m_Sequence = 0;
  bool m_Held = false;
  bool m_Foreign = false;
  bool m_LostWrite = false;

  ClaimHistory m_Draft;
  model::FencingToken m_DraftEpoch;
  std::vector<StoredSegment> m_Expired;
  /// The segment being loaded or written.
  model::ClaimSegment m_Segment;
  /// Never goes back, so that no segment's name comes twice.
  uint64_t m_LastSegment = 0;
  /// Written, and not yet named by the object.
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
