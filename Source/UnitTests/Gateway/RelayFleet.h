#ifndef BRONZEPASS_UNITTESTS_GATEWAY_RELAYFLEET_H
#define BRONZEPASS_UNITTESTS_GATEWAY_RELAYFLEET_H

#include "Core/Gateway/StreamRecordKeeper.h"
#include "UnitTests/Gateway/RelayFixture.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bronzepass::unit_tests {

/// Several RelayCores that exchange notices, and the engines that they share,
/// in simulated time. Engines crash while they answer a request with a crashing
/// fingerprint or prompt part, and start again under another id.
class RelayFleet {
public:
  struct Settings {
    size_t m_Nodes = 6;
    size_t m_Engines = 12;
    double m_LostNotices = 0.1;
    std::set<uint64_t> m_CrashingParts;
    std::set<uint64_t> m_CrashingFingerprints;
    model::Duration m_RestartTime = std::chrono::seconds(4);
    model::Duration m_AnswerTime = std::chrono::milliseconds(400);
    /// Requests that an engine runs at once, and that it lets wait besides.
    uint32_t m_Slots = 32;
    uint32_t m_Queue = 1000;
    /// Of the engines' entries in the store; zero for never.
    model::Duration m_RenewalPeriod{0};
  };
  /// What becomes of the links between a node and all engines.
  enum class Links {
    Whole,
    /// Connections are reset, and new ones refused.
    Reset,
    /// Nothing arrives, and nothing is refused.
    Silent,
    /// Connections that are open live on, and new ones are refused.
    NoNewConnections,
  };
  /// A request of the fixture's routes.
  struct Request {
    std::string m_Path = "/stream/";
    /// Empty for a plain service.
    std::string m_Model = "m";
    std::vector<uint64_t> m_Parts;
    std::optional<uint64_t> m_Fingerprint;
    /// For a caller that takes a stream up: the number of the request that
    /// began it.
    std::optional<size_t> m_Resumes;
    /// When its caller leaves; zero for never.
    model::Duration m_LeavesAfter{0};
  };
  /// A request reached an engine.
  struct Arrival {
    model::TimePoint m_At;
    size_t m_Node = 0;
    model::EndpointId m_Engine;
    bool m_Crashes = false;
  };
  /// What became of a request.
  struct Asked {
    model::TimePoint m_At;
    std::vector<uint64_t> m_Parts;
    std::optional<uint64_t> m_Fingerprint;
    bool m_BeganAtFirstSend = false;
    bool m_Refused = false;
    /// The whole answer was forwarded.
    bool m_Served = false;
    std::string m_Path;
    size_t m_Node = 0;
    std::optional<size_t> m_Resumes;
    /// Events of it, or of its continuation, reached the caller.
    bool m_HasBegun = false;
    /// Software versions of the engines whose events its caller has; kept with
    /// the request that began the stream.
    std::set<std::string> m_Versions;
  };

  RelayFleet(uint64_t Seed, Settings Chosen);

  void askFor(size_t Node, const Request &Asked);
  void ask(size_t Node, const std::vector<uint64_t> &Parts) {
    askFor(Node, Request{.m_Parts = Parts});
  }
  void run(model::Duration Span);
  /// All requests at one engine break off, and it starts again.
  void crash(const model::EndpointId &Engine);
  model::EndpointId startEngine(const std::string &Version);
  /// The engine takes no new requests, and is gone after \p Notice.
  void retire(const model::EndpointId &Engine, model::Duration Notice);
  /// What the engine says of itself in all answers from now on.
  void state(const model::EndpointId &Engine,
             const gateway::EndpointStatement &Statement) {
    m_Statements[Engine] = Statement;
  }
  /// From now on, an engine that turns more than \p RejectsPerSecond requests
  /// away in a second crashes, and says so in its answers.
  void makeBrittle(uint32_t RejectsPerSecond);
  /// Requests that engines let wait besides those that they run.
  void setQueue(uint32_t Length) { m_Queue = Length; }
  const std::vector<model::TimePoint> &rejections() const {
    return m_Rejections;
  }
  /// Share of the answers that break off from now on, at engines that live on.
  void breakAnswers(double Share) { m_BrokenShare = Share; }
  /// Callers take streams that break off up at these nodes only.
  void takeUpAt(const std::set<size_t> &Nodes) { m_TakeUpAt = Nodes; }
  void setLinks(size_t Node, Links Links);
  /// From now on, the store and the nodes of other groups don't reach these
  /// nodes, nor the other way round; callers and engines still do. Nodes that
  /// are not named are one group with the store.
  void cutOff(const std::set<size_t> &Nodes);
  /// When the node first received an answer of \p Engine with a statement.
  std::optional<model::TimePoint> toldAt(size_t Node,
                                         const model::EndpointId &Engine) const;
  /// The node forgets all that it knew; its answers break off.
  void restartNode(size_t Node);
  /// All nodes forget what they knew, their answers break off, and what they
  /// recorded in the store is all that is left. Callers come back after
  /// \p Outage, in which \p Ending ends, if it is given.
  void restartAllNodes(model::Duration Outage,
                       const std::optional<model::EndpointId> &Ending);
  size_t nodeCount() const { return m_Nodes.size(); }
  size_t randomNode() { return m_Random() % m_Nodes.size(); }
  std::vector<model::EndpointId> engines() const;

  model::TimePoint now() const { return m_Now; }
  const std::vector<Arrival> &arrivals() const { return m_Arrivals; }
  const std::vector<model::TimePoint> &crashes() const { return m_Crashes; }
  const std::vector<Asked> &asked() const { return m_Asked; }
  const gateway::RelayCore &node(size_t Index) const {
    return m_Nodes[Index]->m_Relay.m_Core;
  }

private:
  struct Send {
    model::EndpointId m_Engine;
    size_t m_Asked = 0;
    bool m_IsFirst = true;
    model::RequestId m_Request;
    bool m_IsResumable = false;
    /// The engine runs it or lets it wait.
    bool m_IsAdmitted = false;
  };
  struct Node;
  /// The send of another node that brought a request.
  struct Origin {
    size_t m_Index = 0;
    Node *m_Node = nullptr;
    model::AttemptId m_Attempt;
  };
  struct Node {
    explicit Node(uint64_t Seed) : m_Relay(Seed) {}
    RelayFixture m_Relay;
    std::map<model::AttemptId, Send> m_Sends;
    std::map<model::RequestId, size_t> m_Requests;
    std::set<model::RequestId> m_Sent;
    std::set<model::RequestId> m_Resumable;
    std::map<model::RequestId, Origin> m_Forwarded;
    Links m_Links = Links::Whole;
  };
  struct Event {
    uint64_t m_Order = 0;
    std::function<void()> m_Run;
  };

  void schedule(model::Duration Delay, std::function<void()> Run);
  void carryOut(size_t Index);
  /// Tells the node that forwarded a request what became of it.
  void answerOrigin(size_t Index, const gateway::RelayEffect &Effect);
  void receiveForwarded(size_t Index, Origin From,
                        const gateway::SendRequest &Sent, size_t Number);
  void whenCurrent(model::Duration Delay, Origin At, std::function<void()> Run);
  void startNode(size_t Index);
  void arrive(size_t Index, model::AttemptId Attempt);
  /// Whether the engine turns a request away that arrives now.
  bool turnsAway(const model::EndpointId &Engine);
  size_t running(const model::EndpointId &Engine) const;
  void receiveHead(size_t Index, model::AttemptId Attempt,
                   const model::EndpointId &Engine);
  void finish(size_t Index, model::AttemptId Attempt,
              gateway::SendResult Result,
              std::optional<model::Duration> RetryAfter = std::nullopt);
  void exchangeNotices();
  void publishEngines();
  /// Tells the nodes of the store's entries, as they are.
  void tellEndpoints();
  void renewEntries();
  /// The end of a send of a node whose links are not whole; nullopt if the send
  /// reaches its engine.
  struct LostSend {
    gateway::SendResult m_Result;
    model::Duration m_After;
  };
  std::optional<LostSend> lostSend(const Node &From);
  void end(const model::EndpointId &Engine);
  /// The caller of a stream that broke off takes it up at any node but
  /// \p LostNode.
  void takeUp(size_t Number, std::optional<size_t> LostNode = std::nullopt,
              model::Duration After = ReconnectTime);
  void recordStreams();
  void confirmEndpoints(size_t Index);
  void onEvent(size_t Index, model::AttemptId Attempt);
  bool crashesEngines(const Asked &Request) const;

  static constexpr model::Duration Step = std::chrono::milliseconds(10);
  /// Until a caller has connected to another node.
  static constexpr model::Duration ReconnectTime =
      std::chrono::milliseconds(30);

  const Settings m_Settings;
  std::mt19937_64 m_Random;
  /// By slot.
  std::map<size_t, gateway::StreamNotice> m_StreamRecords;
  std::set<size_t> m_CutOff;
  /// Empty: at any.
  std::set<size_t> m_TakeUpAt;
  model::TimePoint m_Now = model::TimePoint(std::chrono::seconds(100));
  std::multimap<model::TimePoint, Event> m_Events;
  std::vector<std::unique_ptr<Node>> m_Nodes;
  std::set<model::EndpointId> m_Engines;
  /// Entries in the store.
  std::vector<gateway::EndpointEntry> m_Published;
  uint64_t m_Renewals = 0;
  std::map<model::EndpointId, std::string> m_SoftwareVersions;
  std::set<model::EndpointId> m_Draining;
  uint64_t m_LastEngine = 0;
  double m_BrokenShare = 0;
  uint32_t m_Queue = 0;
  std::optional<uint32_t> m_BrittleAt;
  std::map<model::EndpointId, std::vector<model::TimePoint>> m_RejectedAt;
  std::vector<model::TimePoint> m_Rejections;
  uint64_t m_Notices = 0;
  std::map<model::EndpointId, gateway::EndpointStatement> m_Statements;
  std::map<std::pair<size_t, model::EndpointId>, model::TimePoint> m_ToldAt;
  std::vector<Arrival> m_Arrivals;
  std::vector<model::TimePoint> m_Crashes;
  std::vector<Asked> m_Asked;
};

} // namespace bronzepass::unit_tests

#endif // BRONZEPASS_UNITTESTS_GATEWAY_RELAYFLEET_H
