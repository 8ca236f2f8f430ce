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

/// A claim request that waits at its shard's owner.
struct WaitingRequest {
  ClaimRequestRef m_RequestRef;
  uint64_t m_KeyHash = 0;
  uint64_t m_BodyHash = 0;
  /// After this time, an answer is of no use to the requester.
  model::TimePoint m_Deadline;
  /// When it stops waiting for the outcome of another run of the same key.
  model::TimePoint m_HoldUntil;
  /// Whether a write that may still take effect contains a claim for it.
  bool m_MayBeWritten = false;
};

/// An outcome that waits to be recorded.
struct WaitingOutcome {
  ClaimRequestRef m_RequestRef;
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

/// Replies and calls that the caller of ClaimShard must send.
struct ShardOutput {
  std::vector<ShardReply> m_Replies;
  /// Its answer goes to onAnswer().
  std::optional<ports::StoreCall> m_Call;
  /// Deletions of old segments; their answers are ignored.
  std::vector<ports::StoreCall> m_Deletions;
  std::vector<model::Decision> m_Decisions;
};

/// Owner side of one shard: queues claim requests and outcomes, and answers
/// them from the shard's object. A claim is valid once the object records it;
/// the object is authoritative for every claim request, whichever node wrote
/// it.
class ClaimShard {
public:
  using LivePredicate = std::function<bool(const model::NodeId &)>;

  ClaimShard(uint32_t Shard, const ClaimSettings &Settings,
             const model::NodeId &Self, ports::Random &Source);

  /// Queues a claim request, unless it is queued already or has ended.
  void addRequest(const WaitingRequest &Request, model::TimePoint Now,
                  ShardOutput &Out);
  /// Queues an outcome, and drops the claim request that it ends.
  void addOutcome(const WaitingOutcome &Outcome, model::TimePoint Now);
  /// Sends the answers that are known and starts the next call that is due.
  void advance(model::TimePoint Now, const LivePredicate &IsLive,
               ShardOutput &Out);
  /// Makes advance() evaluate all requests and outcomes again, because the time
  /// or the set of live nodes has changed.
  void reevaluateAll() {
    m_EvaluatedRequests = 0;
    m_EvaluatedOutcomes = 0;
  }
  void onAnswer(const ports::StoreAnswer &Answer, model::TimePoint Now,
                ShardOutput &Out);

  /// Whether the last known write is this node's.
  bool isLastWriter() const { return m_Object.isLastWriter(); }
  /// Whether nothing waits here and no call is in flight.
  bool isIdle() const;
  /// Time of the last work or message for this shard.
  model::TimePoint lastUsedAt() const { return m_LastUsedAt; }
  size_t waitingCount() const { return m_Requests.size() + m_Outcomes.size(); }
  const ClaimHistory &history() const { return m_Object.history(); }

private:
  bool hasWork() const { return !m_Requests.empty() || !m_Outcomes.empty(); }
  bool isFresh(model::TimePoint Now) const;
  /// The claim of the key that has not expired.
  const model::ClaimRecord *findCurrent(uint64_t KeyHash,
                                        model::TimePoint Now) const;

  void refuseAll(ShardOutput &Out);
  void dropExpiredRequests(model::TimePoint Now, ShardOutput &Out);
  void answerRequests(model::TimePoint Now, const LivePredicate &IsLive,
                      ShardOutput &Out);
  std::optional<ports::ClaimReply> verdictOf(const WaitingRequest &Request,
                                             model::TimePoint Now,
                                             const LivePredicate &IsLive);
  void answerOutcomes(ShardOutput &Out);
  std::optional<ports::ClaimReply> verdictOf(const WaitingOutcome &Outcome);

  /// Starts the call to the object API that is due, if any.
  void startCall(model::TimePoint Now, ShardOutput &Out);
  bool isCommitDue(model::TimePoint Now) const;
  void startCommit(model::TimePoint Now, ShardOutput &Out);
  /// These add the queued outcomes and claim requests to \p Draft, and return
  /// whether that changed it.
  bool draftOutcomes(ClaimHistory &Draft);
  bool draftClaims(ClaimHistory &Draft, model::TimePoint Now, ShardOutput &Out);

  const ClaimSettings &m_Settings;
  ShardObject m_Object;
  /// Whether an answer needs the object to be read again.
  bool m_ReadNeeded = false;
  std::vector<WaitingRequest> m_Requests;
  /// Number of requests at the front that were already evaluated against the
  /// current state.
  size_t m_EvaluatedRequests = 0;
  size_t m_EvaluatedOutcomes = 0;
  std::vector<WaitingOutcome> m_Outcomes;
  model::TimePoint m_LastUsedAt;
};

} // namespace bronzepass::core::claims

#endif // BRONZEPASS_CORE_CLAIMS_CLAIMSHARD_H
