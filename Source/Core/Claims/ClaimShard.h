#ifndef BRONZEPASS_CORE_CLAIMS_CLAIMSHARD_H
#define BRONZEPASS_CORE_CLAIMS_CLAIMSHARD_H

#include "Core/Claims/ClaimSettings.h"
#include "Core/Claims/ClaimTable.h"
#include "Core/Model/Claim.h"
#include "Core/Model/Decision.h"
#include "Core/Ports/PeerMessage.h"
#include "Core/Ports/Ports.h"
#include "Core/Ports/Store.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::claims {

/// An ask that waits at its shard's owner.
struct WaitingAsk {
  AskRef m_Ask;
  uint64_t m_KeyHash = 0;
  uint64_t m_BodyHash = 0;
  /// Until when an answer is of use.
  model::TimePoint m_Until;
  /// Until when it waits for another run's outcome.
  model::TimePoint m_HoldUntil;
  /// A write that may still take effect holds a claim for it.
  bool m_MayBeWritten = false;
};

/// An outcome that waits to be recorded.
struct WaitingOutcome {
  AskRef m_Ask;
  uint64_t m_KeyHash = 0;
  model::ClaimState m_State = model::ClaimState::Done;
  uint16_t m_Status = 0;
  std::string m_Answer;
  model::TimePoint m_ArrivedAt;
};

struct ShardReply {
  model::NodeId m_To;
  ports::ClaimReply m_Reply;
};

/// What a shard wants done: one call to the object API at most.
struct ShardOutput {
  std::vector<ShardReply> m_Replies;
  std::optional<ports::StoreCall> m_Call;
  std::vector<model::Decision> m_Decisions;
};

/// One shard's owner. The shard's object is the fence: a claim counts once a
/// conditional update has recorded it, so of two nodes that believe they own
/// the shard one fails at its next write and reads again. A write whose answer
/// was lost is settled by reading, then by writing again on the same version:
/// once any later write has succeeded, the lost one can no longer take effect.
/// What the record says is the truth for every ask, whoever wrote it.
class ClaimShard {
public:
  using LivePredicate = std::function<bool(const model::NodeId &)>;

  ClaimShard(uint32_t Shard, const ClaimSettings &Settings,
             const model::NodeId &Self, ports::Random &Source);

  /// Queues an ask; one that waits already is not queued twice.
  void addAsk(const WaitingAsk &Ask, model::TimePoint Now, ShardOutput &Out);
  /// Queues an outcome, and drops the ask that it ends.
  void addOutcome(const WaitingOutcome &Outcome, model::TimePoint Now);
  /// Answers what can be answered and starts the next call that is due.
  void advance(model::TimePoint Now, const LivePredicate &IsLive,
               ShardOutput &Out);
  void onAnswer(const ports::StoreAnswer &Answer, model::TimePoint Now,
                ShardOutput &Out);

  /// Whether this node's write was the last that it knows of.
  bool isHeld() const { return m_Held; }
  /// Whether nothing waits here and no call is under way.
  bool isIdle() const;
  /// Since when isIdle() may hold.
  model::TimePoint lastUsedAt() const { return m_LastUsedAt; }
  size_t waitingCount() const { return m_Asks.size() + m_Outcomes.size(); }
  const ClaimTable &table() const { return m_Table; }

private:
  enum class Phase {
    /// The object's state is not known, or no longer.
    Unread,
    Reading,
    /// m_Table and m_Version are those of the last read or write.
    Known,
    Writing,
  };

  bool hasWork() const { return !m_Asks.empty() || !m_Outcomes.empty(); }
  bool isCalling() const {
    return m_Phase == Phase::Reading || m_Phase == Phase::Writing;
  }
  bool isFresh(model::TimePoint Now) const;
  /// The claim of the key that has not expired.
  const model::ClaimRecord *findCurrent(uint64_t KeyHash,
                                        model::TimePoint Now) const;

  void refuseAll(ShardOutput &Out);
  void dropLateAsks(model::TimePoint Now, ShardOutput &Out);
  void answerAsks(model::TimePoint Now, const LivePredicate &IsLive,
                  ShardOutput &Out);
  std::optional<ports::ClaimReply> verdictOf(const WaitingAsk &Ask,
                                             model::TimePoint Now,
                                             const LivePredicate &IsLive);
  void answerOutcomes(ShardOutput &Out);
  std::optional<ports::ClaimReply> verdictOf(const WaitingOutcome &Outcome);

  bool isWriteDue(model::TimePoint Now) const;
  void startRead(ShardOutput &Out);
  void startWrite(model::TimePoint Now, ShardOutput &Out);
  void draftOutcomes();
  void draftAsks(model::TimePoint Now, ShardOutput &Out);

  void onRead(const ports::StoreAnswer &Answer, model::TimePoint Now,
              ShardOutput &Out);
  void onWritten(const ports::StoreAnswer &Answer, model::TimePoint Now,
                 ShardOutput &Out);
  void adopt(const ports::StoredObject &Object, ShardOutput &Out);
  void adoptAbsent();
  void setVersion(model::ObjectVersion Version);
  void setHeld(bool Held, const std::string &Why, ShardOutput &Out);
  void forgetLostWrite();
  void backOff(model::TimePoint Now);
  model::Decision decision(const std::string &Action,
                           const std::string &Reason) const;

  uint32_t m_Shard;
  const ClaimSettings &m_Settings;
  model::NodeId m_Self;
  ports::Random &m_Random;
  ports::ObjectKey m_Key;

  Phase m_Phase = Phase::Unread;
  ClaimTable m_Table;
  /// Zero where the object is absent.
  model::ObjectVersion m_Version;
  model::FencingToken m_Epoch;
  uint64_t m_Sequence = 0;
  bool m_Held = false;
  /// Set where the object belongs to another count of shards.
  bool m_Foreign = false;
  /// When the last read was asked for or the last write sent, that set m_Table.
  model::TimePoint m_VerifiedAt;
  model::TimePoint m_CallStartedAt;

  ClaimTable m_Draft;
  model::FencingToken m_DraftEpoch;
  bool m_DraftChanged = false;
  /// A write on m_Version was lost and may yet take effect.
  bool m_LostWrite = false;
  bool m_ReadWanted = false;

  std::vector<WaitingAsk> m_Asks;
  std::vector<WaitingOutcome> m_Outcomes;
  model::TimePoint m_NextWriteAt;
  model::TimePoint m_RetryAt;
  uint32_t m_Failures = 0;
  model::TimePoint m_LastUsedAt;
};

} // namespace bronzepass::core::claims

#endif // BRONZEPASS_CORE_CLAIMS_CLAIMSHARD_H
