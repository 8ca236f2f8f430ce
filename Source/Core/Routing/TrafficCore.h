#ifndef BRONZEPASS_CORE_ROUTING_TRAFFICCORE_H
#define BRONZEPASS_CORE_ROUTING_TRAFFICCORE_H

#include "Core/Model/Node.h"
#include "Core/Ports/Ports.h"
#include "Core/Routing/CallerLimiter.h"
#include "Core/Routing/DemandMeter.h"
#include "Core/Routing/EndpointPolicy.h"
#include "Core/Routing/EndpointStats.h"
#include "Core/Routing/LiveRequest.h"
#include "Core/Routing/PrefixIndex.h"
#include "Core/Routing/RetryBudget.h"
#include "Core/Routing/RoutingTable.h"
#include "Core/Routing/TrafficEffect.h"
#include "Core/Routing/TrafficEvent.h"
#include "Core/Routing/TrafficSettings.h"
#include "Core/Routing/WaitQueue.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bronzepass::core::routing {

/// Counters of one traffic core since its start.
struct TrafficCounts {
  uint64_t m_Arrived = 0;
  uint64_t m_Answered = 0;
  uint64_t m_Refused = 0;
  uint64_t m_Broken = 0;
  uint64_t m_Attempts = 0;
  uint64_t m_Retries = 0;
  uint64_t m_Forwarded = 0;
  /// Late, crossed or duplicate events that were dropped.
  uint64_t m_StaleDropped = 0;

  friend auto operator<=>(const TrafficCounts &,
                          const TrafficCounts &) = default;
};

/// Schedules the requests of one traffic thread: decides where and when each
/// one runs, and how it ends. A deterministic state machine that does no I/O:
/// it takes events and the time, and returns effects.
///
/// Needs a TrafficTick at least every 20 ms. Every request that arrived gets
/// exactly one of FinishAnswer, RefuseRequest, BreakAnswer or ReplayAnswer,
/// unless its caller has disconnected.
class TrafficCore {
public:
  /// \p Random must outlive the core.
  TrafficCore(const TrafficSettings &Settings, ports::Random &Random,
              model::NodeInfo Self);
  TrafficCore(const TrafficCore &) = delete;
  TrafficCore &operator=(const TrafficCore &) = delete;

  /// Handles one event at time \p Now, which never goes back, and appends the
  /// effects to carry out to \p Effects.
  void handle(const TrafficEvent &Event, model::TimePoint Now,
              TrafficEffectList &Effects);

  /// Returns the table index of the endpoint to which \p Request would be sent
  /// now, without sending it. Returns nothing if no endpoint has room. Does not
  /// allocate after the first call for a model.
  std::optional<EndpointIndex> preview(const model::Request &Request,
                                       const model::ArtifactId &Artifact,
                                       model::TimePoint Now);

  const TrafficCounts &counts() const { return m_Counts; }
  /// Number of requests without a final answer, or whose outcome is awaited.
  size_t live() const { return m_Live.size(); }

private:
  struct EndpointRecord {
    explicit EndpointRecord(const TrafficSettings &Settings)
        : m_Stats(Settings) {}
    EndpointStats m_Stats;
    EndpointTag m_Tag = 0;
    uint64_t m_CacheSequence = 0;
    /// The control core was told that it refuses connections.
    bool m_ReportedRefusing = false;
    bool m_Gone = false;
  };
  /// Moving averages over a lane's answers, to predict the next one.
  struct LaneStats {
    double m_MeanTokens = 0;
    /// Tokens of an answer over the maximum that its request allows.
    double m_MeanMaxTokensShare = 0;
    double m_MeanServiceSeconds = 0;
  };
  /// A claim whose verdict is still awaited though its request has ended.
  struct AbandonedClaim {
    uint64_t m_KeyHash = 0;
    model::TimePoint m_Expires;
  };
  enum class ChoiceKind { Send, Wait, Refuse };
  struct Choice {
    ChoiceKind m_Kind = ChoiceKind::Refuse;
    /// For Send: index into m_Candidates.
    size_t m_Candidate = 0;
    double m_ServiceSeconds = 0;
    model::Refusal m_Refusal;
  };
  using LiveMap = std::unordered_map<model::RequestId, LiveRequest>;

  // TrafficCore.cpp: arrivals, timers, final answers.
  void on(const RequestArrived &Event);
  void on(const CallerDisconnected &Event);
  void on(const TableChanged &Event);
  void on(const LoadReported &Event);
  void on(const CacheChanged &Event);
  void on(const ports::PeerUsageUpdated &Event);
  void on(const TrafficTick &Event);
  void on(const TrafficStopRequested &Event);
  void updateLiveness(const TableEndpoint &Endpoint);
  std::optional<model::Refusal> resolve(LiveRequest &Live);
  std::optional<model::Refusal> resolveModel(LiveRequest &Live);
  void setTimer(LiveRequest &Live, model::TimePoint When);
  void runTimers();
  void onTimerExpired(LiveRequest &Live);
  void report();
  void refuse(LiveRequest &Live, model::Refusal Refusal);
  void refuseOnArrival(const LiveRequest &Live, const model::Refusal &Refusal);
  void removeRequest(LiveRequest &Live);
  void reportStopped();

  // TrafficClaims.cpp: claims on the keys of requests that must not run twice.
  void on(const ports::ClaimVerdict &Event);
  bool needsClaim(const LiveRequest &Live) const;
  void releaseClaim(LiveRequest &Live);

  // TrafficAttempts.cpp: attempts and streams.
  void on(const AttemptHead &Event);
  void on(const AttemptChunk &Event);
  void on(const AttemptEnded &Event);
  LiveRequest *findLiveAttempt(model::AttemptId Attempt);
  void startAttempt(LiveRequest &Live, const Candidate &Chosen);
  const model::NodeInfo *chooseForwardNode(const TableEndpoint &Endpoint);
  void endAttempt(LiveRequest &Live);
  void recordFailure(const LiveRequest &Live, bool Refused);
  void cancelAttempt(LiveRequest &Live);
  void handleComplete(LiveRequest &Live, const AttemptEnded &Event);
  void handleNotRun(LiveRequest &Live, bool Refused);
  void handleBroken(LiveRequest &Live);
  void refuseBroken(LiveRequest &Live);
  bool mayRetry(const LiveRequest &Live);
  void retry(LiveRequest &Live);
  void resume(LiveRequest &Live, const TableEndpoint &Endpoint);
  void recordCompletion(LiveRequest &Live);
  void measureSpeed(LiveRequest &Live);

  // TrafficChoice.cpp: prediction, choice and the queue.
  const TableCopies *copiesOf(const LaneKey &Lane) const;
  void collectCandidates(const LiveRequest &Live, const TableCopies &Copies);
  void addCandidate(const LiveRequest &Live, EndpointIndex Index,
                    const LaneStats *Stats);
  bool hasRoom(const LiveRequest &Live, const Candidate &Value) const;
  double predictPrefill(const LiveRequest &Live, const Candidate &Value) const;
  double predictService(const LiveRequest &Live, const Candidate &Value,
                        const LaneStats *Stats) const;
  double predictWait(const LiveRequest &Live) const;
  Choice choose(const LiveRequest &Live);
  Choice chooseAmong(const LiveRequest &Live);
  std::optional<size_t> findProbeCandidate() const;
  Choice decideWithoutCandidates(const LiveRequest &Live,
                                 const TableCopies &Copies);
  void dispatchOrEnqueue(LiveRequest &Live);
  void enqueue(LiveRequest &Live, double Service);
  bool push(const LiveRequest &Live);
  void refuseFull(LiveRequest &Live);
  void leaveQueue(LiveRequest &Live);
  void dispatchWaiting();
  bool dispatchFrom(const LaneKey &Lane, model::Priority Class);
  /// Estimated requests from all nodes per request of this node.
  double peerLoadFactor(const TableEndpoint &Endpoint) const;

  EndpointRecord &recordFor(const model::EndpointId &Endpoint);
  void logRoute(const LiveRequest &Live, const Candidate &Chosen,
                const std::string &Destination);
  void logRefusal(const LiveRequest &Live, const char *Action,
                  const model::Refusal &Refusal);

  const TrafficSettings m_Settings;
  ports::Random &m_Random;
  const model::NodeInfo m_Self;
  std::unique_ptr<EndpointPolicy> m_Policy;
  std::shared_ptr<const RoutingTable> m_Table;

  // Valid during handle().
  model::TimePoint m_Now;
  TrafficEffectList *m_Effects = nullptr;

  LiveMap m_Live;
  std::unordered_map<model::AttemptId, model::RequestId> m_Attempts;
  std::set<std::pair<model::TimePoint, model::RequestId>> m_Timers;
  std::map<model::RequestId, AbandonedClaim> m_AbandonedClaims;
  uint64_t m_LastAttempt = 0;

  std::map<model::EndpointId, EndpointRecord> m_Endpoints;
  // Indexed like m_Table->endpoints().
  std::vector<EndpointRecord *> m_RecordsByIndex;
  EndpointTag m_LastTag = 0;
  bool m_TagsReused = false;
  std::map<model::NodeId, model::TimePoint> m_AvoidedNodes;
  std::map<LaneKey, LaneStats> m_LaneStats;
  double m_MeanTokenTime = 0;
  PrefixIndex m_Prefixes;
  // Buffers reused by each choice, so that it doesn't allocate.
  std::vector<Candidate> m_Candidates;
  LiveRequest m_PreviewRequest;

  WaitQueue m_Queue;
  // Some event since the last dispatch may have freed capacity. Chunks of
  // answers, by far the most frequent events, don't set it.
  bool m_DispatchNeeded = false;
  CallerLimiter m_Limiter;
  DemandMeter m_Demand;
  RetryBudget m_RetryBudget;
  TrafficCounts m_Counts;
  model::TimePoint m_ReportedAt;
  bool m_Stopping = false;
  bool m_StoppedReported = false;
};

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_TRAFFICCORE_H
