#ifndef BRONZEPASS_CORE_GATEWAY_RELAYCORE_H
#define BRONZEPASS_CORE_GATEWAY_RELAYCORE_H

#include "Core/Gateway/EndpointEntry.h"
#include "Core/Gateway/EndpointView.h"
#include "Core/Gateway/PeerNotice.h"
#include "Core/Gateway/RelaySettings.h"
#include "Core/Gateway/RelayTypes.h"
#include "Core/Gateway/RetryWindow.h"
#include "Core/Gateway/RouteTable.h"
#include "Core/Model/Id.h"
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

/// Decides for each caller's request of one node which endpoint it is sent to,
/// whether it is sent again, and how it ends. A deterministic state machine: no
/// clock, socket or thread; times come in with the calls and never run
/// backwards, what is to be done is appended to \p Out.
///
/// Every request that arrived gets exactly one of PassAnswer, RefuseAnswer or
/// CutAnswer, unless its caller is gone.
class RelayCore {
public:
  /// \p Dice outlives the core.
  RelayCore(const RelaySettings &Settings, ports::Random &Dice);
  RelayCore(const RelayCore &) = delete;
  RelayCore &operator=(const RelayCore &) = delete;

  /// Puts a configuration in force; one that is not newer is passed over.
  /// False where it was.
  bool setTable(std::shared_ptr<const RouteTable> Table);
  /// All endpoints that are registered now.
  void setEndpoints(const std::vector<EndpointEntry> &Entries,
                    model::TimePoint Now, RelayEffectList &Out);
  void peerNotice(const PeerNotice &Notice, model::TimePoint Now,
                  RelayEffectList &Out);
  void setNodeCount(uint32_t Count) { m_Retries.setNodeCount(Count); }
  /// Refuse what arrives from now on.
  void stopTaking() { m_Stopping = true; }

  void requestArrived(RelayRequest Request, model::TimePoint Now,
                      RelayEffectList &Out);
  void callerGone(model::RequestId Request, model::TimePoint Now,
                  RelayEffectList &Out);
  /// A piece of a send's answer has come.
  void pieceCame(model::AttemptId Attempt, model::TimePoint Now);
  /// The answer's head, or a part of it, has been passed on to the caller.
  void callerAnswered(model::RequestId Request);
  void sendEnded(model::AttemptId Attempt, const SendOutcome &Outcome,
                 model::TimePoint Now, RelayEffectList &Out);
  /// Time-outs and what waits; every 20 ms or so.
  void tick(model::TimePoint Now, RelayEffectList &Out);

  const RouteTable *table() const { return m_Table.get(); }
  size_t live() const { return m_Live.size(); }
  /// What this node tells its peers of its own requests.
  std::vector<EndpointLoad> loads() const;
  /// The counters that rose since the last call.
  std::vector<UseCount> takeUses();

private:
  struct Live {
    RelayRequest m_Request;
    /// The table it arrived under, and its route in it.
    std::shared_ptr<const RouteTable> m_Table;
    const RouteSpec *m_Route = nullptr;
    std::string m_Service;
    model::TimePoint m_Deadline;
    std::vector<uint64_t> m_PromptHashes;
    /// The live send; zero where there is none.
    model::AttemptId m_Attempt;
    model::EndpointId m_Endpoint;
    model::TimePoint m_SentAt;
    bool m_BeganSeen = false;
    AnswerPace m_Pace;
    model::TimePoint m_LastPieceAt;
    /// Prompt tokens that the endpoint is taken to read for it, until its
    /// answer begins; and with all that waited there when it was sent.
    uint32_t m_PrefillTokens = 0;
    uint32_t m_TokensAhead = 0;
    uint32_t m_Sends = 0;
    /// Sends that may have run.
    uint32_t m_Runs = 0;
    std::vector<model::EndpointId> m_Tried;
    bool m_CallerAnswered = false;
    bool m_CallerGone = false;
    /// Set while it waits for a copy.
    std::optional<model::TimePoint> m_WaitsUntil;
    std::string m_LastDetail;
    /// Of the decision under way; for its line in the log.
    std::optional<ChoiceInputs> m_Inputs;
    /// The last whole failure that an endpoint answered is kept by the adapter.
    bool m_HasFailure = false;
  };
  /// Until the first long prompts were answered: a few tens of tokens a
  /// millisecond are common for models of this size.
  static constexpr double FirstPrefillMsPerToken = 0.03;
  struct ServiceView {
    /// Moving averages: to the first piece, and of the whole answer.
    double m_FirstMs = 0;
    double m_WholeMs = 0;
    /// Time in which an engine reads one prompt token, learned from the first
    /// pieces of answers.
    double m_PrefillMsPerToken = FirstPrefillMsPerToken;
    /// Prompts read in a row beyond this make the streams that run beside them
    /// late.
    double m_LongPrefillMs = 0;
    /// Connections that one endpoint accepts, over all nodes.
    uint32_t m_MaxConnections = 0;
    std::vector<EndpointView *> m_Endpoints;
  };
  struct Choice {
    EndpointView *m_Endpoint = nullptr;
    /// Predicted wait for a slot, ms.
    double m_WaitMs = 0;
    /// Endpoints that hold what is asked for and may be used.
    uint32_t m_Candidates = 0;
    /// Some listed endpoint holds what is asked for, used or not.
    bool m_CopyExists = false;
  };
  using LiveMap = std::unordered_map<model::RequestId, Live>;

  // RelayCore.cpp: arrivals, timers, the end of requests.
  void refuse(Live &Value, int Status,
              std::optional<model::Duration> RetryAfter,
              const std::string &Reason, RelayEffectList &Out);
  void cut(Live &Value, const std::string &Reason, RelayEffectList &Out);
  void forget(Live &Value);
  void note(const Live &Value, const char *Action, int Status,
            const std::string &Reason, RelayEffectList &Out) const;
  void timeOut(Live &Value, RelayEffectList &Out);
  bool isDeclared(const Live &Value) const;
  std::vector<uint64_t> promptHashes(const RelayRequest &Request) const;

  // RelayChoice.cpp: which endpoint, now or later.
  Choice choose(const Live &Value) const;
  double costOf(const Live &Value, const ServiceView &Service,
                const EndpointView &Endpoint, double &WaitMs) const;
  ChoiceInputs inputsOf(const Live &Value, const Choice &Chosen) const;
  void place(Live &Value, RelayEffectList &Out);
  void send(Live &Value, EndpointView &Endpoint, RelayEffectList &Out);
  uint32_t missingTokens(const Live &Value, const EndpointView &Endpoint) const;
  void waitForCopy(Live &Value, RelayEffectList &Out);
  void placeWaiting(RelayEffectList &Out);
  model::Duration jittered(model::Duration Base) const;

  // RelayOutcomes.cpp: what an ended send means.
  void judgeEndpoint(const Live &Value, EndpointView &Endpoint,
                     const SendOutcome &Outcome);
  void learnPrefill(ServiceView &Service, const Live &Value, double FirstMs);
  void endPrefill(Live &Value, EndpointView &Endpoint);
  void endSend(Live &Value);
  bool mayGoOn(const Live &Value, const SendOutcome &Outcome);
  void finishAfter(Live &Value, const SendOutcome &Outcome,
                   RelayEffectList &Out);

  EndpointView *view(const model::EndpointId &Endpoint);
  void forgetPeerLoads(const std::vector<EndpointLoad> &Loads);
  void dropIfUnused(const model::EndpointId &Endpoint);

  const RelaySettings m_Settings;
  ports::Random &m_Dice;
  std::shared_ptr<const RouteTable> m_Table;
  // The time of the call under way.
  model::TimePoint m_Now;
  bool m_Stopping = false;
  bool m_HasEndpoints = false;

  LiveMap m_Live;
  std::set<std::pair<model::TimePoint, model::RequestId>> m_Deadlines;
  /// Those that wait for a copy, in the order of their arrival.
  std::set<model::RequestId> m_Waiting;
  std::unordered_map<model::AttemptId, model::RequestId> m_Attempts;
  uint64_t m_LastAttempt = 0;
  std::map<model::EndpointId, EndpointView> m_Endpoints;
  std::map<std::string, ServiceView> m_Services;
  routing::EndpointTag m_LastTag = 0;
  routing::PrefixIndex m_Prefixes;
  RetryWindow m_Retries;
  std::map<ModelUse, UseCount> m_Uses;
  std::map<ModelUse, uint64_t> m_ToldUses;
  struct PeerLoads {
    model::TimePoint m_At;
    uint64_t m_Start = 0;
    uint64_t m_Sequence = 0;
    std::vector<EndpointLoad> m_Loads;
  };
  std::map<model::NodeId, PeerLoads> m_Peers;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_RELAYCORE_H
