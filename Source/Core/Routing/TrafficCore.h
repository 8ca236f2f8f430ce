#ifndef BRONZEPASS_CORE_ROUTING_TRAFFICCORE_H
#define BRONZEPASS_CORE_ROUTING_TRAFFICCORE_H

#include "Core/Model/Node.h"
#include "Core/Ports/Ports.h"
#include "Core/Routing/CallerLimiter.h"
#include "Core/Routing/DemandMeter.h"
#include "Core/Routing/EndpointPolicy.h"
#include "Core/Routing/EndpointView.h"
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

/// What a node has counted since it started.
struct TrafficCounts {
  uint64_t m_Arrived = 0;
  uint64_t m_Answered = 0;
  uint64_t m_Refused = 0;
  uint64_t m_Broken = 0;
  uint64_t m_Attempts = 0;
  uint64_t m_Retries = 0;
  uint64_t m_Forwarded = 0;
  /// Late, crossed or duplicate pieces of answers that were dropped.
  uint64_t m_StaleDropped = 0;

  friend auto operator<=>(const TrafficCounts &,
                          const TrafficCounts &) = default;
};

/// Decides for every request of one traffic thread where and when it runs, and
/// how it ends. A deterministic state machine: events and time in, effects out.
///
/// Post a TrafficTick at least every 20 ms. Every request that arrived gets
/// exactly one of FinishAnswer, RefuseRequest, BreakAnswer or ReplayAnswer,
/// unless its caller is gone.
class TrafficCore {
public:
  /// \p Dice must outlive the core.
  TrafficCore(const TrafficSettings &Settings, ports::Random &Dice,
              model::NodeInfo Self);
  TrafficCore(const TrafficCore &) = delete;
  TrafficCore &operator=(const TrafficCore &) = delete;

  /// Takes one event at time \p Now, which never runs backwards, and appends
  /// what is to be done to \p Out.
  void handle(const TrafficEvent &Event, model::TimePoint Now,
              TrafficEffectList &Out);

  /// Picks where \p Request would go now, without sending it: the endpoint's
  /// position in the table. Nothing where no endpoint has room. Does not
  /// allocate once it has run for a model.
  std::optional<EndpointIndex> preview(const model::Request &Request,
                                       const model::ArtifactId &Artifact,
                                       model::TimePoint Now);

  const TrafficCounts &counts() const { return m_Counts; }
  /// Requests that have no final answer yet, or whose outcome is awaited.
  size_t live() const { return m_Live.size(); }

private:
  struct EndpointRecord {
    explicit EndpointRecord(const TrafficSettings &Settings)
        : m_View(Settings) {}
    EndpointView m_View;
    EndpointTag m_Tag = 0;
    uint64_t m_CacheSequence = 0;
    bool m_ToldRefused = false;
    bool m_Gone = false;
  };
  /// Sizes of a lane's answers, to predict the next one's.
  struct LaneStats {
    double m_Tokens = 0;
    double m_TokenRatio = 0;
    double m_Service = 0;
  };
  struct AbandonedClaim {
    uint64_t m_KeyHash = 0;
    model::TimePoint m_Expires;
  };
  enum class Advice { Send, Wait, Refuse };
  struct Choice {
    Advice m_Advice = Advice::Refuse;
    /// For Send: position in m_Candidates.
    size_t m_Candidate = 0;
    double m_Service = 0;
    model::Refusal m_Refusal;
  };
  using LiveMap = std::unordered_map<model::RequestId, LiveRequest>;

  // TrafficCore.cpp: arrivals, timers, final answers.
  void on(const RequestArrived &Event);
  void on(const CallerGone &Event);
  void on(const TableChanged &Event);
  void on(const LoadSeen &Event);
  void on(const CacheSeen &Event);
  void on(const ports::PeerUsageUpdated &Event);
  void on(const TrafficTick &Event);
  void on(const TrafficStopWanted &Event);
  void noteLiveness(const TableEndpoint &Endpoint);
  std::optional<model::Refusal> resolve(LiveRequest &Live);
  std::optional<model::Refusal> resolveModel(LiveRequest &Live);
  void setDue(LiveRequest &Live, model::TimePoint When);
  void runTimers();
  void timerDue(LiveRequest &Live);
  void report();
  void refuse(LiveRequest &Live, model::Refusal Refusal);
  void refuseUnknown(const LiveRequest &Live, const model::Refusal &Refusal);
  void forget(LiveRequest &Live);
  void noteEmpty();

  // TrafficClaims.cpp: the right to run what must not run twice.
  void on(const ports::ClaimVerdict &Event);
  bool needsClaim(const LiveRequest &Live) const;
  void releaseClaim(LiveRequest &Live);

  // TrafficAttempts.cpp: attempts and streams.
  void on(const AttemptHead &Event);
  void on(const AttemptChunk &Event);
  void on(const AttemptEnded &Event);
  LiveRequest *liveAttempt(model::AttemptId Attempt);
  void start(LiveRequest &Live, const Candidate &Chosen);
  const model::NodeInfo *chooseDriver(const TableEndpoint &Endpoint);
  void endAttempt(LiveRequest &Live);
  void noteFailed(const LiveRequest &Live, bool Refused);
  void cancelAttempt(LiveRequest &Live);
  void endWhole(LiveRequest &Live, const AttemptEnded &Event);
  void endNotRun(LiveRequest &Live, bool Refused);
  void endBroken(LiveRequest &Live);
  void refuseBroken(LiveRequest &Live);
  bool mayRetry(const LiveRequest &Live);
  void retry(LiveRequest &Live);
  void resume(LiveRequest &Live, const TableEndpoint &Endpoint);
  void noteAnswered(LiveRequest &Live);
  void measureSpeed(LiveRequest &Live);

  // TrafficChoice.cpp: prediction, choice and the queue.
  const TableCopies *copiesOf(const LaneKey &Lane) const;
  void collect(const LiveRequest &Live, const TableCopies &Copies);
  void addCandidate(const LiveRequest &Live, EndpointIndex Index,
                    const LaneStats *Stats);
  bool hasRoom(const LiveRequest &Live, const Candidate &Value) const;
  double predictPrefill(const LiveRequest &Live, const Candidate &Value) const;
  double predictService(const LiveRequest &Live, const Candidate &Value,
                        const LaneStats *Stats) const;
  double predictWait(const LiveRequest &Live) const;
  Choice choose(const LiveRequest &Live);
  Choice chooseAmong(const LiveRequest &Live);
  std::optional<size_t> probe() const;
  Choice noCandidate(const LiveRequest &Live, const TableCopies &Copies);
  void place(LiveRequest &Live);
  void enqueue(LiveRequest &Live, double Service);
  bool push(const LiveRequest &Live);
  void refuseFull(LiveRequest &Live);
  void leaveQueue(LiveRequest &Live);
  void dispatchWaiting();
  bool dispatchFrom(const LaneKey &Lane, model::Priority Class);
  double mirror(const TableEndpoint &Endpoint) const;

  EndpointRecord &record(const model::EndpointId &Endpoint);
  void logRoute(const LiveRequest &Live, const Candidate &Chosen,
                const std::string &Where);
  void logEnd(const LiveRequest &Live, const char *Action,
              const model::Refusal &Refusal);

  const TrafficSettings m_Settings;
  ports::Random &m_Dice;
  const model::NodeInfo m_Self;
  std::unique_ptr<EndpointPolicy> m_Policy;
  std::shared_ptr<const RoutingTable> m_Table;

  // Valid during handle().
  model::TimePoint m_Now;
  TrafficEffectList *m_Out = nullptr;

  LiveMap m_Live;
  std::unordered_map<model::AttemptId, model::RequestId> m_Attempts;
  std::set<std::pair<model::TimePoint, model::RequestId>> m_Timers;
  std::map<model::RequestId, AbandonedClaim> m_AbandonedClaims;
  uint64_t m_LastAttempt = 0;

  std::map<model::EndpointId, EndpointRecord> m_Endpoints;
  // By position in the table.
  std::vector<EndpointRecord *> m_ByIndex;
  EndpointTag m_LastTag = 0;
  bool m_TagsReused = false;
  std::map<model::NodeId, model::TimePoint> m_AvoidedNodes;
  std::map<LaneKey, LaneStats> m_LaneStats;
  double m_MeanTokenTime = 0;
  PrefixIndex m_Prefixes;
  // Scratch of the last choice.
  std::vector<Candidate> m_Candidates;
  LiveRequest m_Preview;

  WaitQueue m_Queue;
  // Something has happened since the last dispatch that may make room; pieces
  // of answers, by far the most events, don't.
  bool m_MayHaveRoom = false;
  CallerLimiter m_Limiter;
  DemandMeter m_Demand;
  RetryBudget m_Retries;
  TrafficCounts m_Counts;
  model::TimePoint m_ReportedAt;
  bool m_Stopping = false;
  bool m_ToldEmpty = false;
};

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_TRAFFICCORE_H
