#ifndef BRONZEPASS_CORE_GATEWAY_RELAYCORE_H
#define BRONZEPASS_CORE_GATEWAY_RELAYCORE_H

#include "Core/Gateway/CrashQuarantine.h"
#include "Core/Gateway/EndpointEntry.h"
#include "Core/Gateway/EndpointView.h"
#include "Core/Gateway/HoldQueue.h"
#include "Core/Gateway/HoldRules.h"
#include "Core/Gateway/LinkMonitor.h"
#include "Core/Gateway/PeerNotice.h"
#include "Core/Gateway/RefusedRequests.h"
#include "Core/Gateway/RelaySettings.h"
#include "Core/Gateway/RelayTypes.h"
#include "Core/Gateway/RetryLimiter.h"
#include "Core/Gateway/RouteTable.h"
#include "Core/Gateway/StreamOrigins.h"
#include "Core/Gateway/SuspensionDetector.h"
#include "Core/Model/Address.h"
#include "Core/Model/Id.h"
#include "Core/Organisations/AccessControl.h"
#include "Core/Organisations/QuotaGate.h"
#include "Core/Ports/Ports.h"
#include "Core/Routing/PrefixIndex.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bronzepass::core::gateway {

/// Decides for each caller's request at one node which endpoint it is sent to,
/// whether it is retried, and how it ends. A deterministic state machine
/// without clock, sockets or threads: times are passed in and never run
/// backwards, and the actions to take are appended to \p Out.
///
/// Every request received gets exactly one of ForwardAnswer, RejectRequest or
/// AbortAnswer, unless its caller disconnects.
class RelayCore {
public:
  /// \p Random must outlive the core.
  RelayCore(const RelaySettings &Settings, ports::Random &Random);
  RelayCore(const RelayCore &) = delete;
  RelayCore &operator=(const RelayCore &) = delete;

  /// Puts a configuration in force. Returns false, and ignores it, if it is not
  /// newer than the current one.
  bool setTable(std::shared_ptr<const RouteTable> Table);
  /// Replaces the list of registered endpoints.
  void setEndpoints(const std::vector<EndpointEntry> &Entries,
                    model::TimePoint Now, RelayEffectList &Out);
  /// By an answer of the store to a call made at \p AskedAt, no endpoint is
  /// missing from the list that was set last.
  void onEndpointsConfirmed(model::TimePoint AskedAt, model::TimePoint Now,
                            RelayEffectList &Out);
  void onPeerNotice(const PeerNotice &Notice, model::TimePoint Now,
                    RelayEffectList &Out);
  void setNodeCount(uint32_t Count, model::TimePoint Now);
  /// By an answer of the store to a call made at \p At, no configuration is
  /// newer than the one that was set last.
  void onConfigProven(model::TimePoint At, model::TimePoint Now,
                      RelayEffectList &Out);
  /// Since the configuration was last known to be in force; nullopt if it never
  /// was.
  std::optional<model::Duration> configAge(model::TimePoint Now) const {
    return m_Access.proof().age(Now);
  }
  /// What this node may spend of organisations' quotas.
  organisations::QuotaGate &quotas() { return m_Quotas; }
  /// By the configuration in force.
  organisations::QuotaPlans quotaPlans() const;
  void onQuotaAnswer(const organisations::QuotaNotice &Notice,
                     model::TimePoint Now, RelayEffectList &Out);
  /// The process ends after \p End: by then each request is answered, refused
  /// or cut, and none is sent whose answer is not expected before.
  void beginStop(model::TimePoint End, model::TimePoint Now,
                 RelayEffectList &Out);
  /// Refuses all requests received from now on.
  void stopAccepting() { m_Stopping = true; }

  void onRequestReceived(RelayRequest Request, model::TimePoint Now,
                         RelayEffectList &Out);
  void onCallerDisconnected(model::RequestId Request, model::TimePoint Now,
                            RelayEffectList &Out);
  /// This node has closed the caller's connection before the answer was
  /// complete.
  void onConnectionClosed(model::RequestId Request, const std::string &Reason,
                          model::TimePoint Now, RelayEffectList &Out);
  /// The process ends: requests whose time is not up by now are lost with it.
  void onProcessEnd(model::TimePoint Now, RelayEffectList &Out);
  /// The head of a send's answer was received.
  void onAnswerHead(model::AttemptId Attempt,
                    const EndpointStatement &Statement, model::TimePoint Now,
                    RelayEffectList &Out);
  /// The head of the answer to a forwarded request was received: the endpoint
  /// that the other node chose.
  void onForwardedHead(model::AttemptId Attempt, model::EndpointId Endpoint,
                       std::string SoftwareVersion);
  /// The endpoint of a send wants nothing from this node for \p Pause.
  void onEndpointPaused(model::AttemptId Attempt, model::Duration Pause,
                        model::TimePoint Now, RelayEffectList &Out);
  /// The endpoint of a send has answered over a connection that was opened for
  /// it.
  void onNewConnectionAnswered(model::AttemptId Attempt);
  /// A chunk of a send's answer was received.
  void onAnswerChunk(model::AttemptId Attempt, model::TimePoint Now);
  /// The head or a part of the answer has been forwarded to the caller.
  void onAnswerForwarded(model::RequestId Request, model::TimePoint Now);
  void onSendFinished(model::AttemptId Attempt, const SendOutcome &Outcome,
                      model::TimePoint Now, RelayEffectList &Out);
  /// The send was taken back, since its caller has left. \p MayHaveRun: parts
  /// of it may have reached the endpoint.
  void onSendWithdrawn(model::AttemptId Attempt, bool MayHaveRun,
                       model::TimePoint Now, RelayEffectList &Out);
  /// Handles timeouts and waiting requests; called about every 20 ms.
  void tick(model::TimePoint Now, RelayEffectList &Out);

  const RouteTable *table() const { return m_Table.get(); }
  size_t activeRequestCount() const { return m_ActiveRequests.size(); }
  /// What this node tells its peers about its requests; the caller adds who
  /// sends it.
  PeerNotice notice(model::TimePoint Now) const;
  /// A peer has lost what it was told.
  void onPeerRestarted(model::TimePoint Now) { m_Origins.announceAgain(Now); }
  /// What is known of streams' origins; see StreamOrigins.
  StreamOrigins &streamOrigins() { return m_Origins; }
  /// Changes with each prompt that this node adds to an engine's prefill queue
  /// or that leaves it.
  uint64_t prefillChanges() const { return m_PrefillChanges; }
  size_t quarantinedTraitCount() const {
    return m_Quarantine.quarantinedCount();
  }
  /// Endpoints of which it is being found out how much they take.
  size_t pacedEndpointCount() const;
  /// The counters that increased since the last call.
  std::vector<UsageCounter> takeUsageCounters();

private:
  /// A send to another node, which chooses the endpoint.
  struct ForwardedSend {
    model::NodeId m_Peer;
    /// Endpoints that may run the request there.
    uint32_t m_RunsLeft = 0;
    /// The endpoint that the other node chose; empty until the head of its
    /// answer tells.
    model::EndpointId m_Endpoint;
    std::string m_SoftwareVersion;
  };
  struct ActiveRequest {
    RelayRequest m_Request;
    /// The table in force when it was received, and its route in that table.
    std::shared_ptr<const RouteTable> m_Table;
    const RouteSpec *m_Route = nullptr;
    /// Whose request it is, by the newest table at the last check, which is
    /// kept alive; null if it is nobody's.
    std::shared_ptr<const RouteTable> m_OrganisationTable;
    const organisations::OrganisationSpec *m_Organisation = nullptr;
    const char *m_RefusalCause = "";
    /// The organisation's if it has one, otherwise the route's.
    uint32_t m_Priority = 0;
    std::string m_Service;
    model::TimePoint m_Deadline;
    std::vector<uint64_t> m_PromptHashes;
    RequestTraits m_Traits;
    /// The send in flight; zero if there is none.
    model::AttemptId m_Attempt;
    /// Of the last send; empty if that was forwarded.
    model::EndpointId m_Endpoint;
    /// Set if the last send was forwarded.
    std::optional<ForwardedSend> m_ForwardedTo;
    std::vector<model::NodeId> m_TriedPeers;
    /// The next send tries whether the lost links are back.
    bool m_IsTrial = false;
    model::TimePoint m_SentAt;
    bool m_AnswerStarted = false;
    AnswerTiming m_Timing;
    model::TimePoint m_LastChunkAt;
    /// Prompt tokens that the endpoint is estimated to prefill for it, until
    /// the answer starts; and the same including all tokens queued there at the
    /// send.
    uint32_t m_PrefillTokens = 0;
    uint32_t m_TokensAhead = 0;
    uint32_t m_Sends = 0;
    /// Sends that may have run the request.
    uint32_t m_PossibleRuns = 0;
    std::vector<model::EndpointId> m_Tried;
    bool m_ForwardingStarted = false;
    /// The only software version at which the stream may go on.
    std::optional<std::string> m_RequiredVersion;
    bool m_CallerDisconnected = false;
    /// When it was received, if it waits for the store to confirm the
    /// endpoints.
    std::optional<model::TimePoint> m_UnconfirmedSince;
    /// Set while it waits for a copy to be loaded.
    std::optional<model::TimePoint> m_WaitsUntil;
    /// It waits until an engine's prefill queue is short enough.
    bool m_IsHeld = false;
    /// Set while it waits for the holder of quotas.
    std::optional<model::TimePoint> m_QuotaWaitEnd;
    /// For the last send.
    organisations::QuotaTaken m_QuotaTaken;
    std::string m_LastFailure;
    bool m_LastSendBrokeOff = false;
    /// Inputs of the current choice, for the log line.
    std::optional<ChoiceInputs> m_Inputs;
    /// End of the last send's answer, until a log line has told it.
    std::optional<AnswerEnd> m_AnswerEnd;
    /// The last send ended in a complete failure answer, which the driver
    /// keeps.
    bool m_HasFailureAnswer = false;
  };
  /// Used until the first long prompts were answered: a few tens of tokens per
  /// millisecond are common for models of this size.
  static constexpr double InitialPrefillMsPerToken = 0.03;
  /// Time that a request occupies a slot, until answers have been measured.
  static constexpr double DefaultAnswerMs = 500;
  /// The store answers within milliseconds if it can be reached.
  static constexpr model::Duration ConfirmationTimeout =
      std::chrono::milliseconds(300);
  /// Reason of requests that wait, or are refused, for a limit or a pause.
  static constexpr const char *EndpointsTakeNoMore =
      "every endpoint that could run it takes no more for now";
  struct ServiceState {
    /// Moving averages of the time to the first chunk and to the whole answer.
    double m_FirstChunkMs = 0;
    double m_AnswerMs = 0;
    /// Prefill time of one prompt token, estimated from the times to the first
    /// chunk.
    double m_PrefillMsPerToken = InitialPrefillMsPerToken;
    /// Consecutive prefill longer than this delays the streams running beside
    /// it beyond their target gap.
    double m_LongPrefillMs = 0;
    /// Prefill that may be queued at one engine.
    double m_MaxQueuedPrefillMs = 0;
    HoldRules m_HoldRules;
    /// Connections that one endpoint accepts from all nodes together; 0: no
    /// limit.
    uint32_t m_MaxConnections = 0;
    std::vector<EndpointView *> m_Endpoints;
    /// The last that one of its endpoints said of being brittle, and when.
    double m_RejectsPerSecond = 0;
    std::optional<model::TimePoint> m_BrittleAt;
  };
  struct Choice {
    EndpointView *m_Endpoint = nullptr;
    /// Predicted wait for a slot.
    double m_WaitMs = 0;
    /// Usable endpoints that hold the model.
    uint32_t m_Candidates = 0;
    /// Some registered endpoint holds the model, whether usable or not.
    bool m_CopyExists = false;
    /// When the first of those that have reached their limit, or are paused,
    /// takes a request again.
    std::optional<model::Duration> m_TimeToNext;
    /// Requests a second that those at their limit take from this node.
    double m_LimitedPerSecond = 0;
  };
  /// An endpoint that could be chosen if its limit allows it.
  struct LimitedCandidate {
    double m_CostMs = 0;
    double m_WaitMs = 0;
    EndpointView *m_Endpoint = nullptr;
  };
  using ActiveRequestMap = std::unordered_map<model::RequestId, ActiveRequest>;

  // RelayCore.cpp: new requests, timers; RelayEnds.cpp: the end of requests.
  void reject(ActiveRequest &Active, int Status,
              std::optional<model::Duration> RetryAfter,
              const std::string &Reason, RelayEffectList &Out);
  void abortAnswer(ActiveRequest &Active, const std::string &Reason,
                   RelayEffectList &Out);
  void removeRequest(ActiveRequest &Active);
  /// The request waits for nothing any more: it is sent, forwarded or ended.
  void endWaiting(ActiveRequest &Active);
  /// Nobody can receive the answer any more.
  void leave(model::RequestId Request, const char *Action,
             const std::string &Reason, RelayEffectList &Out);
  /// What is done for the request: "answering", "sent", "forwarded", or what it
  /// waits for.
  static const char *stageOf(const ActiveRequest &Active);
  /// Ends the send in flight, of which nobody awaits the answer any more.
  void cancelSend(ActiveRequest &Active, RelayEffectList &Out);
  void log(ActiveRequest &Active, const char *Action, int Status,
           const std::string &Reason, RelayEffectList &Out) const;
  /// Ends the requests whose time is up.
  void expireDue(RelayEffectList &Out);
  void expire(ActiveRequest &Active, RelayEffectList &Out);
  /// Ends the request if its time is up. Returns whether it has ended.
  bool expireIfDue(ActiveRequest &Active, RelayEffectList &Out);
  bool isCountedModel(const ActiveRequest &Active) const;
  /// Rejects or ends the request if one of its traits is in quarantine.
  bool rejectQuarantined(ActiveRequest &Active, RelayEffectList &Out);

  // RelayStop.cpp: requests of a node that stops.
  /// Whether the answer to the request, if it is sent now, is expected after
  /// the end of the stop, by \p MeanAnswers times the service's mean.
  bool endsBeyondStop(const ActiveRequest &Active, double MeanAnswers) const;
  /// Refuses the request if it has not run and endsBeyondStop().
  bool rejectBeyondStop(ActiveRequest &Active, RelayEffectList &Out);
  /// The same for all requests that wait.
  void rejectWaitingBeyondStop(RelayEffectList &Out);
  /// Whether its time was cut short by the stop.
  bool isBoundByStop(const ActiveRequest &Active) const {
    return m_StopEnd && Active.m_Deadline == *m_StopEnd;
  }
  /// For a caller that finds another node at once; nullopt for another node,
  /// which decides itself.
  std::optional<model::Duration>
  stoppingRetryAfter(const ActiveRequest &Active) const;

  // RelayAccess.cpp: whose a request is, and whether it may be sent.
  /// The newest configuration has no route for it.
  void rejectUnrouted(ActiveRequest &Active, RelayEffectList &Out);
  /// Rejects or ends the request if it may not be sent now. Called when it is
  /// received and before each send.
  bool rejectUnauthorised(ActiveRequest &Active, RelayEffectList &Out);
  organisations::AccessDecision decideAccess(const ActiveRequest &Active) const;
  static uint32_t priorityOf(const ActiveRequest &Active);
  /// What is told of the organisation with a send.
  static std::optional<std::string>
  organisationToTell(const ActiveRequest &Active);
  void noteProof(RelayEffectList &Out);

  // RelayQuota.cpp: quotas of organisations.
  /// Takes what a send counts. Returns false if the request waits for it, or
  /// has ended.
  bool takeQuota(ActiveRequest &Active, RelayEffectList &Out);
  void giveQuotaBack(ActiveRequest &Active, const SendOutcome &Outcome);
  void dispatchQuotaWaiting(RelayEffectList &Out);
  std::vector<uint64_t> promptHashes(const RelayRequest &Request) const;
  static RelayLogEntry::Content contentOf(const ActiveRequest &Active);
  static RequestTraits traitsOf(const RelayRequest &Request);

  // RelayChoice.cpp: choice of an endpoint, waiting for a copy, sends.
  Choice chooseEndpoint(const ActiveRequest &Active) const;
  /// Chooses the first of \p Limited that costs less than \p BestCost and
  /// takes a request now.
  void chooseLimited(std::vector<LimitedCandidate> &Limited, double BestCost,
                     Choice &Best) const;
  /// Chooses the first of \p Paced that costs less than \p BestCost, which it
  /// updates.
  void choosePaced(std::vector<LimitedCandidate> &Paced,
                   const ServiceState &Service, double &BestCost,
                   Choice &Best) const;
  /// What a request costs more at an endpoint that takes none by its pace.
  double beyondPaceCostMs(const ServiceState &Service,
                          const EndpointView &Endpoint) const;
  double endpointCostMs(const ActiveRequest &Active,
                        const ServiceState &Service,
                        const EndpointView &Endpoint, double &WaitMs) const;
  ChoiceInputs choiceInputs(const ActiveRequest &Active,
                            const Choice &Chosen) const;
  void dispatch(ActiveRequest &Active, RelayEffectList &Out);
  void send(ActiveRequest &Active, EndpointView &Endpoint,
            RelayEffectList &Out);
  uint32_t missingTokens(const ActiveRequest &Active,
                         const EndpointView &Endpoint) const;
  void waitForCopy(ActiveRequest &Active, RelayEffectList &Out);
  // RelayHold.cpp: requests that wait at this node for room at the engines.
  bool ordersBySlack(const ActiveRequest &Active) const;
  HeldRequest heldRequest(const ActiveRequest &Active, double OwnMs) const;
  bool mustHold(const ActiveRequest &Active, const Choice &Chosen) const;
  void holdOrReject(ActiveRequest &Active, const Choice &Chosen,
                    RelayEffectList &Out);
  void holdBySlack(ActiveRequest &Active, const Choice &Chosen, double OwnMs,
                   RelayEffectList &Out);
  void holdForLimit(ActiveRequest &Active, const Choice &Chosen,
                    RelayEffectList &Out);
  void logHold(ActiveRequest &Active, const char *Reason, RelayEffectList &Out);
  void releaseHold(ActiveRequest &Active);
  void dispatchHeld(RelayEffectList &Out);
  double prefillMs(const ActiveRequest &Active, uint32_t Tokens) const;
  void dispatchWaiting(RelayEffectList &Out);
  model::Duration jittered(model::Duration Base) const;

  // RelayResumption.cpp: streams that began at a software version.
  /// Finds the version at which a stream that its caller takes up began.
  /// Returns false if the request was rejected, or has to wait.
  bool requireFirstVersion(ActiveRequest &Active, RelayEffectList &Out);
  /// The same with what this node knows. \p MayKnowAll: a version that it does
  /// not know of can't have begun the stream.
  bool findFirstVersion(ActiveRequest &Active, bool MayKnowAll,
                        RelayEffectList &Out);
  /// Hears too few of the other nodes to know of a version that they know.
  bool isOutOfStep() const;
  /// Decides the requests that wait for a confirmation and were received no
  /// later than \p Until.
  void decideUnconfirmed(model::TimePoint Until, bool IsConfirmed,
                         RelayEffectList &Out);
  static bool fitsRequiredVersion(const ActiveRequest &Active,
                                  const EndpointView &Endpoint);
  /// The caller's attempt that a later one names when it takes the stream up.
  static const std::string &firstAttemptOf(const RelayRequest &Request);
  /// Tells m_Origins the versions of the registered endpoints.
  void noteServingVersions();

  // RelayOutcomes.cpp: handling of a send's result.
  void updateEndpointHealth(const ActiveRequest &Active, EndpointView &Endpoint,
                            const SendOutcome &Outcome);
  void updateQuarantine(const ActiveRequest &Active,
                        const EndpointView &Endpoint,
                        const SendOutcome &Outcome);
  void updatePrefillRate(ServiceState &Service, const ActiveRequest &Active,
                         double FirstChunkMs);
  void clearPrefillTokens(ActiveRequest &Active, EndpointView &Endpoint);
  void endSend(ActiveRequest &Active);
  bool mayRetry(const ActiveRequest &Active, const SendOutcome &Outcome);
  void finishUnsuccessful(ActiveRequest &Active, const SendOutcome &Outcome,
                          RelayEffectList &Out);

  // RelayRoom.cpp: limits of endpoints, and the room of brittle ones.
  /// The requests that the endpoint can turn away in a second; nullopt if it is
  /// not brittle.
  std::optional<double> rejectsPerSecond(const EndpointView &Endpoint) const;
  /// Requests in flight from all nodes, of which this one hears a part.
  double estimatedLoad(const EndpointView &Endpoint) const;
  /// Requests in flight for which a brittle endpoint has room.
  double roomOf(const EndpointView &Endpoint) const;
  /// A brittle endpoint has no room, as far as this node knows.
  bool isFull(const EndpointView &Endpoint) const;
  void updateRoom(EndpointView &Endpoint, const SendOutcome &Outcome);
  /// Sets this node's share of what the endpoint takes.
  void updateRateShare(EndpointView &Endpoint);

  // RelayPace.cpp: endpoints that have just started or recovered.
  void beginPace(EndpointView &Endpoint, PaceCause Cause,
                 model::TimePoint From);
  /// The service has had endpoints, and answers to this node.
  bool hasRun(const std::string &Service) const;
  void tickPaces(RelayEffectList &Out);
  bool paceAllows(EndpointView &Endpoint) const;
  /// \p MeanMs: of the service.
  void noteFirstChunk(const ActiveRequest &Active, EndpointView &Endpoint,
                      double MeanMs);
  void noteSent(EndpointView &Endpoint);
  void noteSilenceEnd(EndpointView &Endpoint);
  /// The send timed out while nothing at all arrived from the endpoint.
  static bool isUnheard(const ActiveRequest &Active,
                        const EndpointView &Endpoint,
                        const SendOutcome &Outcome);
  void noteUnheard(EndpointView &Endpoint);
  void updatePace(EndpointView &Endpoint, const SendOutcome &Outcome);
  void onPaceReports(const PeerNotice &Notice);

  // RelayForwarding.cpp: requests that are sent to endpoints by another node
  // than the one that received them.
  /// Forwards the request if this node's links to its service are lost and
  /// another node has them. Returns false if this node has to send it itself.
  bool forwardIfLinksLost(ActiveRequest &Active, RelayEffectList &Out);
  /// Whether the next request is to try lost links.
  bool isTrialDue(const std::string &Service) const;
  void forward(ActiveRequest &Active, const model::NodeId &Peer,
               const model::Address &Address, RelayEffectList &Out);
  /// Why a request that another node forwards can't be taken; nullptr if it
  /// can.
  const char *reasonToDecline(const ForwardingTerms &Terms) const;
  /// Endpoints that may run the request.
  static uint32_t maxRuns(const ActiveRequest &Active);
  /// The caller has a part of the answer, from this node or from the one that
  /// forwarded the request.
  static bool hasBegun(const ActiveRequest &Active);

  // RelayLinks.cpp: links of this node that are lost.
  void updateLinks(const ActiveRequest &Active, const EndpointView &Endpoint,
                   const SendOutcome &Outcome);
  void onHeardFrom(EndpointView &Endpoint);
  /// Takes back the requests whose callers have left from endpoints that stand
  /// still, and would read them long after.
  void takeBackFromSilent(RelayEffectList &Out);
  /// Finds the endpoints that have been silent for too long while this node
  /// awaited an answer.
  void noteSilentEndpoints();

  // RelayStatements.cpp: what endpoints say of themselves in their answers.
  EndpointView *endpointOf(model::AttemptId Attempt);
  void applyStatement(EndpointView &Endpoint,
                      const EndpointStatement &Statement, model::TimePoint At,
                      RelayEffectList &Out);

  EndpointView *findEndpoint(const model::EndpointId &Endpoint);
  /// Empty if the endpoint is not known.
  std::string softwareVersionOf(const model::EndpointId &Endpoint) const;
  // RelayPeers.cpp: notices from and to the other nodes.
  void subtractPeerLoads(const std::vector<EndpointLoad> &Loads);
  void eraseUnregistered();

  const RelaySettings m_Settings;
  ports::Random &m_Random;
  std::shared_ptr<const RouteTable> m_Table;
  organisations::AccessControl m_Access;
  organisations::QuotaGate m_Quotas;
  /// Requests that wait for the holder of quotas, oldest first.
  std::set<model::RequestId> m_QuotaWaiting;
  /// Whether the proof held when it was last noted.
  bool m_IsProven = false;
  // The time passed to the current call.
  model::TimePoint m_Now;
  bool m_Stopping = false;
  /// Set once the node stops.
  std::optional<model::TimePoint> m_StopEnd;
  bool m_HasEndpoints = false;

  ActiveRequestMap m_ActiveRequests;
  std::set<std::pair<model::TimePoint, model::RequestId>> m_Deadlines;
  /// Requests that wait for a copy, oldest first.
  std::set<model::RequestId> m_Waiting;
  /// Those that were left to finish when their callers left.
  std::set<model::RequestId> m_LeftToFinish;
  /// Those that wait for the store to confirm the endpoints.
  std::set<model::RequestId> m_Unconfirmed;
  HoldQueue m_Held;
  /// Reused by dispatchHeld().
  std::vector<HoldQueue::Entry> m_Offered;
  std::vector<std::pair<uint64_t, int>> m_VainOffers;
  RefusedRequests m_Refused;
  uint32_t m_NodeCount = 1;
  uint64_t m_PrefillChanges = 0;
  std::unordered_map<model::AttemptId, model::RequestId> m_Attempts;
  uint64_t m_LastAttempt = 0;
  std::map<model::EndpointId, EndpointView> m_Endpoints;
  std::map<std::string, ServiceState> m_Services;
  routing::EndpointTag m_LastTag = 0;
  routing::PrefixIndex m_Prefixes;
  RetryLimiter m_Retries;
  CrashQuarantine m_Quarantine;
  LinkMonitor m_Links;
  /// When the links to a service were last tried while they were lost.
  std::map<std::string, model::TimePoint> m_LinksTriedAt;
  model::TimePoint m_TickedAt;
  model::TimePoint m_SilenceNotedAt;
  std::vector<PaceChange> m_PaceChanges;
  StreamOrigins m_Origins;
  SuspensionDetector m_Suspension;
  model::TimePoint m_VersionsNotedAt;
  std::map<ModelRef, UsageCounter> m_UsageCounters;
  std::map<ModelRef, uint64_t> m_ReportedRequestCounts;
  struct PeerState {
    model::TimePoint m_At;
    uint64_t m_Start = 0;
    uint64_t m_Sequence = 0;
    std::vector<EndpointLoad> m_Loads;
    /// Where it takes requests that other nodes forward; port 0: nowhere.
    model::Address m_ForwardingAddress;
    std::vector<std::string> m_LostServices;

    /// Can send requests for the service to endpoints.
    bool reaches(const std::string &Service) const;
  };
  std::map<model::NodeId, PeerState> m_Peers;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_RELAYCORE_H
