#ifndef BRONZEPASS_CORE_CLAIMS_CLAIMCLIENT_H
#define BRONZEPASS_CORE_CLAIMS_CLAIMCLIENT_H

#include "Core/Claims/ClaimSettings.h"
#include "Core/Claims/ShardCandidates.h"
#include "Core/Model/Claim.h"
#include "Core/Ports/Effect.h"
#include "Core/Ports/Event.h"
#include "Core/Ports/Ports.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bronzepass::core::claims {

/// Counts since the start, for metrics.
struct ClaimCounts {
  uint64_t m_Granted = 0;
  uint64_t m_Repeats = 0;
  uint64_t m_Unavailable = 0;
  /// Grants received after the request for them was abandoned.
  uint64_t m_LateGrants = 0;
  /// Outcomes that could not be recorded; their keys stay Pending.
  uint64_t m_OutcomesLost = 0;
};

/// Requests claims for this node's own traffic, and reports the outcomes of its
/// runs to the shard owners until they are recorded. A claim request is resent
/// until it is answered. Only its first answer counts; a later grant is
/// released.
class ClaimClient {
public:
  /// Messages for shard owners, which may include this node itself.
  using OwnerMessages = std::vector<ports::PeerSend>;

  ClaimClient(const ClaimSettings &Settings, ports::Random &Source)
      : m_Settings(Settings), m_Random(Source) {}

  void onClaimRequested(const ports::ClaimRequested &Requested,
                        model::TimePoint Now, ports::EffectList &Out);
  void onClaimEnded(const ports::ClaimEnded &Ended, model::TimePoint Now);
  void onClaimReply(const model::NodeId &From, const ports::ClaimReply &Reply,
                    model::TimePoint Now, ports::EffectList &Out);
  /// Fails claim requests whose deadline has passed, and sends messages that
  /// are due.
  void advance(const ShardCandidates &Candidates, model::TimePoint Now,
               OwnerMessages &ToOwners, ports::EffectList &Out);

  /// Whether every claim request is answered and every outcome reported so far
  /// is recorded.
  bool isIdle() const;
  /// Number of granted runs that have not ended.
  size_t runningCount() const { return m_Running.size(); }
  const ClaimCounts &counts() const { return m_Counts; }

private:
  /// Resend state of a message to a shard's owner.
  struct Delivery {
    uint64_t m_KeyHash = 0;
    model::TimePoint m_StartedAt;
    model::TimePoint m_NextSendAt;
    uint32_t m_SendCount = 0;
    /// Owner named by a NotOwner reply; used for the next send only.
    model::NodeId m_OwnerHint;
  };
  struct PendingRequest {
    Delivery m_Delivery;
    model::RequestId m_Request;
    uint64_t m_BodyHash = 0;
    model::TimePoint m_Deadline;
  };
  struct PendingOutcome {
    Delivery m_Delivery;
    model::ClaimState m_State = model::ClaimState::Released;
    uint16_t m_Status = 0;
    std::string m_Answer;
    /// Not sent unless a late grant arrives, which must then be released.
    bool m_AwaitsLateGrant = false;
  };
  struct Run {
    uint64_t m_ClaimRequestId = 0;
    uint64_t m_KeyHash = 0;
    model::TimePoint m_GrantedAt;
  };
  using RequestMap = std::map<uint64_t, PendingRequest>;
  using OutcomeMap = std::map<uint64_t, PendingOutcome>;

  uint32_t shardOf(uint64_t KeyHash) const {
    return static_cast<uint32_t>(KeyHash % m_Settings.m_ShardCount);
  }
  void onRequestReply(RequestMap::iterator Request, const model::NodeId &From,
                      const ports::ClaimReply &Reply, model::TimePoint Now,
                      ports::EffectList &Out);
  void onOutcomeReply(const model::NodeId &From, const ports::ClaimReply &Reply,
                      model::TimePoint Now);
  void redirect(Delivery &D, const model::NodeId &From,
                const ports::ClaimReply &Reply, model::TimePoint Now);
  void abandon(RequestMap::iterator Request, bool MayBeHeld,
               model::TimePoint Now);
  void addOutcome(uint64_t ClaimRequestId, PendingOutcome Outcome);
  /// The outcome to drop when there are too many: one that only awaits a late
  /// grant, else a release, else the oldest.
  OutcomeMap::iterator evictionCandidate();
  void sendNewRequests(const ShardCandidates &Candidates, model::TimePoint Now,
                       OwnerMessages &ToOwners);
  void sendRequest(RequestMap::value_type &Entry,
                   const ShardCandidates &Candidates, model::TimePoint Now,
                   OwnerMessages &ToOwners);
  void sendDueRequests(const ShardCandidates &Candidates, model::TimePoint Now,
                       OwnerMessages &ToOwners);
  void sendDueOutcomes(const ShardCandidates &Candidates, model::TimePoint Now,
                       OwnerMessages &ToOwners);
  /// Makes advance() do its full work at \p At at the latest.
  void wakeAt(model::TimePoint At) { m_WakeAt = std::min(m_WakeAt, At); }
  void expireRequests(model::TimePoint Now, ports::EffectList &Out);
  void expireAbandoned(model::TimePoint Now);
  /// Drops runs whose claim has expired and whose end was never reported.
  void expireRuns(model::TimePoint Now);
  bool isDue(Delivery &D, model::TimePoint Now);
  /// Receiver of the next send; empty while no node is known.
  model::NodeId target(Delivery &D, const ShardCandidates &Candidates,
                       uint32_t &Rank, model::TimePoint Now) const;
  void scheduleResend(Delivery &D, model::TimePoint Now);

  const ClaimSettings &m_Settings;
  ports::Random &m_Random;
  uint64_t m_LastClaimRequestId = 0;
  RequestMap m_Requests;
  OutcomeMap m_Outcomes;
  std::map<model::RequestId, uint64_t> m_ClaimRequestIds;
  std::map<model::RequestId, Run> m_Running;
  /// Not yet sent for the first time.
  std::vector<uint64_t> m_NewRequests;
  /// Until then, advance() only has to send m_NewRequests.
  model::TimePoint m_WakeAt = model::TimePoint::max();
  model::TimePoint m_NextScanAt;
  ClaimCounts m_Counts;
};

} // namespace bronzepass::core::claims

#endif // BRONZEPASS_CORE_CLAIMS_CLAIMCLIENT_H
