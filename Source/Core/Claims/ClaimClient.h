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
  /// Grants that came after their ask was given up.
  uint64_t m_LateGrants = 0;
  /// Outcomes that could not be recorded: the key stays Pending.
  uint64_t m_OutcomesLost = 0;
};

/// The asks of this node's own requests, and the outcomes of its runs until
/// their owner has recorded them. An ask is sent until it is answered; its
/// first answer alone counts, and a grant after that is released.
class ClaimClient {
public:
  /// Messages for owners; one to this node itself is not sent over a link.
  using Sends = std::vector<ports::PeerSend>;

  ClaimClient(const ClaimSettings &Settings, ports::Random &Source)
      : m_Settings(Settings), m_Random(Source) {}

  void onWanted(const ports::ClaimRequested &Wanted, model::TimePoint Now,
                ports::EffectList &Out);
  void onEnded(const ports::ClaimEnded &Ended, model::TimePoint Now);
  void onReply(const model::NodeId &From, const ports::ClaimReply &Reply,
               model::TimePoint Now, ports::EffectList &Out);
  /// Ends asks whose time is up, and sends what is due.
  void advance(const ShardCandidates &Candidates, model::TimePoint Now,
               Sends &ToOwners, ports::EffectList &Out);

  /// Whether every ask is answered and every outcome told so far is recorded.
  bool isIdle() const;
  /// Runs granted to traffic that have not ended.
  size_t runningCount() const { return m_Running.size(); }
  const ClaimCounts &counts() const { return m_Counts; }

private:
  /// Sent to a shard's owner until it is answered.
  struct Delivery {
    uint64_t m_KeyHash = 0;
    model::TimePoint m_StartedAt;
    model::TimePoint m_NextSendAt;
    uint32_t m_Sends = 0;
    /// Set by NotOwner, for the next send alone.
    model::NodeId m_Hint;
  };
  struct OpenAsk {
    Delivery m_Delivery;
    model::RequestId m_Request;
    uint64_t m_BodyHash = 0;
    model::TimePoint m_Deadline;
  };
  struct OpenOutcome {
    Delivery m_Delivery;
    model::ClaimState m_State = model::ClaimState::Released;
    uint16_t m_Status = 0;
    std::string m_Answer;
    /// Not sent, only kept in case a grant comes late.
    bool m_Dormant = false;
  };
  struct Run {
    uint64_t m_ClaimRequestId = 0;
    uint64_t m_KeyHash = 0;
    model::TimePoint m_GrantedAt;
  };
  using AskMap = std::map<uint64_t, OpenAsk>;
  using OutcomeMap = std::map<uint64_t, OpenOutcome>;

  uint32_t shardOf(uint64_t KeyHash) const {
    return static_cast<uint32_t>(KeyHash % m_Settings.m_ShardCount);
  }
  void onAskReply(AskMap::iterator Ask, const model::NodeId &From,
                  const ports::ClaimReply &Reply, model::TimePoint Now,
                  ports::EffectList &Out);
  void onOutcomeReply(const model::NodeId &From, const ports::ClaimReply &Reply,
                      model::TimePoint Now);
  void redirect(Delivery &D, const model::NodeId &From,
                const ports::ClaimReply &Reply, model::TimePoint Now);
  void giveUp(AskMap::iterator Ask, bool MayBeHeld, model::TimePoint Now);
  void addOutcome(uint64_t AskId, OpenOutcome Outcome);
  /// The outcome that is missed least: one not sent, else a release, else the
  /// oldest.
  OutcomeMap::iterator leastMissed();
  void sendNew(const ShardCandidates &Candidates, model::TimePoint Now,
               Sends &ToOwners);
  void sendAsk(AskMap::value_type &Entry, const ShardCandidates &Candidates,
               model::TimePoint Now, Sends &ToOwners);
  void sendAsks(const ShardCandidates &Candidates, model::TimePoint Now,
                Sends &ToOwners);
  void sendOutcomes(const ShardCandidates &Candidates, model::TimePoint Now,
                    Sends &ToOwners);
  /// Makes advance() look again at \p At at the latest.
  void wakeAt(model::TimePoint At) { m_WakeAt = std::min(m_WakeAt, At); }
  void expireAsks(model::TimePoint Now, ports::EffectList &Out);
  void expireDormant(model::TimePoint Now);
  /// Forgets runs whose claim has expired and whose end was never told.
  void expireRuns(model::TimePoint Now);
  bool isDue(Delivery &D, model::TimePoint Now);
  /// Where the next send goes; empty while no node is known.
  model::NodeId target(Delivery &D, const ShardCandidates &Candidates,
                       uint32_t &Rank, model::TimePoint Now) const;
  void scheduleResend(Delivery &D, model::TimePoint Now);

  const ClaimSettings &m_Settings;
  ports::Random &m_Random;
  uint64_t m_LastAskId = 0;
  AskMap m_Asks;
  OutcomeMap m_Outcomes;
  std::map<model::RequestId, uint64_t> m_AskOf;
  std::map<model::RequestId, Run> m_Running;
  /// Not yet sent for the first time.
  std::vector<uint64_t> m_NewAsks;
  /// Before this, advance() has nothing to do but to send m_NewAsks.
  model::TimePoint m_WakeAt = model::TimePoint::max();
  model::TimePoint m_NextScanAt;
  ClaimCounts m_Counts;
};

} // namespace bronzepass::core::claims

#endif // BRONZEPASS_CORE_CLAIMS_CLAIMCLIENT_H
