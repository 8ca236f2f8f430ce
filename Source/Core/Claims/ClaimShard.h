#ifndef BRONZEPASS_CORE_CLAIMS_CLAIMSHARD_H
#define BRONZEPASS_CORE_CLAIMS_CLAIMSHARD_H

#include "Core/Claims/ClaimHistory.h"
#include "Core/Claims/ClaimSettings.h"
#include "Core/Claims/ShardObject.h"
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

/// What a shard wants done.
struct ShardOutput {
  std::vector<ShardReply> m_Replies;
  /// Its answer goes to onAnswer().
  std::optional<ports::StoreCall> m_Call;
  /// Calls whose answers do not matter.
  std::vector<ports::StoreCall> m_Deletions;
  std::vector<model::Decision> m_Decisions;
};

/// One shard's owner: the asks and outcomes that wait for it. A claim counts
/// once the shard's object records it, and what the object says is the truth
/// for every ask, whoever wrote it.
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
  /// Makes advance() judge every ask anew, since time or the nodes that live
  /// have changed.
  void judgeAnew() {
    m_JudgedAsks = 0;
    m_JudgedOutcomes = 0;
  }
  void onAnswer(const ports::StoreAnswer &Answer, model::TimePoint Now,
                ShardOutput &Out);

  /// Whether this node's write was the last that it knows of.
  bool isHeld() const { return m_Object.isHeld(); }
  /// Whether nothing waits here and no call is under way.
  bool isIdle() const;
  /// Since when isIdle() may hold.
  model::TimePoint lastUsedAt() const { return m_LastUsedAt; }
  size_t waitingCount() const { return m_Asks.size() + m_Outcomes.size(); }
  const ClaimHistory &history() const { return m_Object.history(); }

private:
  bool hasWork() const { return !m_Asks.empty() || !m_Outcomes.empty(); }
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

  /// Starts the next call to the object API that is due.
  void startCall(model::TimePoint Now, ShardOutput &Out);
  bool isCommitDue(model::TimePoint Now) const;
  void startCommit(model::TimePoint Now, ShardOutput &Out);
  /// Whether the draft was changed by them.
  bool draftOutcomes(ClaimHistory &Draft);
  bool draftAsks(ClaimHistory &Draft, model::TimePoint Now, ShardOutput &Out);

  const ClaimSettings &m_Settings;
  ShardObject m_Object;
  /// A verdict waits for the object to be read again.
  bool m_ReadWanted = false;
  std::vector<WaitingAsk> m_Asks;
  /// So many from the front were judged on the state as it is.
  size_t m_JudgedAsks = 0;
  size_t m_JudgedOutcomes = 0;
  std::vector<WaitingOutcome> m_Outcomes;
  model::TimePoint m_LastUsedAt;
};

} // namespace bronzepass::core::claims

#endif // BRONZEPASS_CORE_CLAIMS_CLAIMSHARD_H
