#ifndef BRONZEPASS_UNITTESTS_CLAIMS_CLAIMNETWORK_H
#define BRONZEPASS_UNITTESTS_CLAIMS_CLAIMNETWORK_H

#include "Core/Claims/ClaimShards.h"
#include "Core/Leases/StoreGovernor.h"
#include "UnitTests/Fakes/FakeStore.h"
#include "UnitTests/Fakes/FixedRandom.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzepass::unit_tests::claims {

/// How a granted run ends.
enum class RunOutcome {
  /// Runs, and its outcome is reported.
  Done,
  /// Known not to have run.
  NotRun,
  /// Runs, but its outcome is never known.
  Unknown,
};

/// One request as seen by the caller.
struct ClientRequest {
  uint64_t m_Key = 0;
  core::model::TimePoint m_SentAt;
  core::model::TimePoint m_Deadline;
  std::optional<core::ports::ClaimVerdict> m_Verdict;
  core::model::TimePoint m_VerdictAt;
};

/// Simulated nodes, each a real ClaimShards and its governor, over one
/// FakeStore in virtual time. m_OnMessage may drop, delay or duplicate
/// messages. Counts runs by key.
class ClaimNetwork {
public:
  /// Delays of the copies of a message that arrive; empty if it is lost.
  using MessageDelays = std::function<std::vector<core::model::Duration>()>;

  struct Node {
    core::model::NodeId m_Id;
    std::unique_ptr<fakes::FixedRandom> m_Random;
    std::unique_ptr<core::leases::StoreGovernor> m_Governor;
    std::unique_ptr<core::claims::ClaimShards> m_Claims;
    bool m_Alive = true;
    core::model::TimePoint m_PausedUntil;
    std::map<uint64_t, ClientRequest> m_Requests;
  };

  ClaimNetwork(size_t Nodes, const core::claims::ClaimSettings &Settings)
      : m_Settings(Settings) {
    for (size_t I = 0; I < Nodes; ++I)
      m_Nodes.push_back(makeNode());
    for (size_t I = 0; I < Nodes; ++I)
      setLiveNodes(I, allLive());
  }

  core::model::TimePoint now() const { return m_Now; }
  Node &node(size_t Index) { return m_Nodes[Index]; }
  size_t size() const { return m_Nodes.size(); }

  std::vector<core::model::NodeId> allLive() const {
    std::vector<core::model::NodeId> Live;
    for (const Node &N : m_Nodes)
      if (N.m_Alive)
        Live.push_back(N.m_Id);
    return Live;
  }

  /// Sets the nodes that node \p Index believes to be live.
  void setLiveNodes(size_t Index,
                    const std::vector<core::model::NodeId> &Nodes) {
    schedule(Index, m_Now, [this, Index, Nodes](core::ports::EffectList &Out) {
      m_Nodes[Index].m_Claims->setNodes(Nodes, m_Now, Out);
    });
  }

  void setAllLiveNodes() {
    for (size_t I = 0; I < m_Nodes.size(); ++I)
      setLiveNodes(I, allLive());
  }

  /// Sends a caller's request to node \p Index; returns the request's number.
  uint64_t sendRequest(size_t Index, uint64_t Key,
                       core::model::Duration Window = std::chrono::seconds(10),
                       uint64_t Body = 1) {
    const uint64_t Request = ++m_LastRequest;
    const core::model::TimePoint Deadline = m_Now + Window;
    m_Nodes[Index].m_Requests[Request] = {Key, m_Now, Deadline, {}, {}};
    schedule(Index, m_Now, [=, this](core::ports::EffectList &Out) {
      m_Nodes[Index].m_Claims->onClaimRequested(
          {{Request}, Key, Body, Deadline}, m_Now, Out);
    });
    return Request;
  }

  const ClientRequest &request(size_t Index, uint64_t Request) const {
    return m_Nodes[Index].m_Requests.at(Request);
  }

  std::optional<core::ports::ClaimVerdictKind> verdict(size_t Index,
                                                       uint64_t Request) const {
    const ClientRequest &A = request(Index, Request);
    if (!A.m_Verdict)
      return std::nullopt;
    return A.m_Verdict->m_Kind;
  }

  /// Kills the process and starts a new one with a new id at the same index,
  /// which knows the live nodes.
  void restart(size_t Index) {
    m_Nodes[Index].m_Alive = false;
    m_StoppedNodes.push_back(std::move(m_Nodes[Index]));
    m_Nodes[Index] = makeNode();
    setLiveNodes(Index, allLive());
  }

  /// Kills the process without replacement.
  void kill(size_t Index) { m_Nodes[Index].m_Alive = false; }

  /// Incoming events wait until the pause ends.
  void pause(size_t Index, core::model::Duration For) {
    m_Nodes[Index].m_PausedUntil = m_Now + For;
  }

  void run(core::model::Duration For) {
    const core::model::TimePoint End = m_Now + For;
    while (true) {
      const core::model::TimePoint Next = nextEventAt();
      if (Next > End)
        break;
      m_Now = std::max(m_Now, Next);
      step();
    }
    m_Now = End;
  }

  uint64_t runsOf(uint64_t Key) const {
    auto Found = m_Runs.find(Key);
    return Found == m_Runs.end() ? 0 : Found->second;
  }
  const std::map<uint64_t, uint64_t> &runs() const { return m_Runs; }
  /// Requests that were answered Unavailable and then granted.
  uint64_t falseNotRun() const { return m_FalseNotRun; }
  /// Done verdicts for keys that never ran.
  uint64_t falseDone() const { return m_FalseDone; }
  /// Runs granted after the caller's deadline.
  uint64_t lateGrants() const { return m_LateGrants; }
  /// Verdicts for requests that already had one.
  uint64_t doubleVerdicts() const { return m_DoubleVerdicts; }

  fakes::FakeStore m_Store;
  core::model::Duration m_TickPeriod = std::chrono::milliseconds(50);
  core::model::Duration m_RunTime = std::chrono::milliseconds(30);
  MessageDelays m_OnMessage = [] {
    return std::vector<core::model::Duration>{std::chrono::milliseconds(1)};
  };
  std::function<RunOutcome()> m_OnGrant = [] { return RunOutcome::Done; };

private:
  using Action = std::function<void(core::ports::EffectList &)>;
  struct ScheduledAction {
    core::model::NodeId m_To;
    Action m_Action;
  };

  Node makeNode() {
    Node N;
    const std::string Name = "node-" + std::to_string(++m_LastNode);
    N.m_Id = core::model::NodeId(Name);
    N.m_Random = std::make_unique<fakes::FixedRandom>(m_LastNode);
    N.m_Governor = std::make_unique<core::leases::StoreGovernor>(
        core::leases::GovernorSettings(), *N.m_Random);
    N.m_Claims = std::make_unique<core::claims::ClaimShards>(
        m_Settings, N.m_Id, *N.m_Governor, *N.m_Random);
    return N;
  }

  void schedule(size_t Index, core::model::TimePoint When, Action What) {
    m_Scheduled.emplace(When,
                        ScheduledAction{m_Nodes[Index].m_Id, std::move(What)});
  }

  Node *find(const core::model::NodeId &Id) {
    for (Node &N : m_Nodes)
      if (N.m_Id == Id && N.m_Alive)
        return &N;
    return nullptr;
  }

  core::model::TimePoint nextEventAt() const {
    core::model::TimePoint Next = m_NextTick;
    if (!m_Scheduled.empty())
      Next = std::min(Next, m_Scheduled.begin()->first);
    return std::min(Next, m_Store.nextDueAt().value_or(Next));
  }

  void step() {
    for (fakes::FakeStore::DueAnswer &Answer : m_Store.takeDue(m_Now))
      deliver(Answer.m_Caller,
              [this, Id = Answer.m_Caller, Answer = Answer.m_Answer](
                  auto &Out) { onStoreAnswer(Id, Answer, Out); });
    while (!m_Scheduled.empty() && m_Scheduled.begin()->first <= m_Now) {
      const ScheduledAction Next = std::move(m_Scheduled.begin()->second);
      m_Scheduled.erase(m_Scheduled.begin());
      deliver(Next.m_To, Next.m_Action);
    }
    if (m_Now < m_NextTick)
      return;
    m_NextTick = m_Now + m_TickPeriod;
    for (size_t I = 0; I < m_Nodes.size(); ++I)
      if (m_Nodes[I].m_Alive && m_Nodes[I].m_PausedUntil <= m_Now)
        deliver(m_Nodes[I].m_Id, [this, I](auto &Out) { tick(I, Out); });
  }

  void tick(size_t Index, core::ports::EffectList &Out) {
    Node &N = m_Nodes[Index];
    for (const auto &Routed : N.m_Governor->tick(m_Now, Out))
      N.m_Claims->onStoreAnswer(Routed.m_Answer, m_Now, Out);
    N.m_Claims->tick(m_Now, Out);
  }

  void onStoreAnswer(const core::model::NodeId &To,
                     const core::ports::StoreAnswer &Answer,
                     core::ports::EffectList &Out) {
    Node &N = *find(To);
    const auto Routed = N.m_Governor->onAnswer(Answer, m_Now, Out);
    if (Routed)
      N.m_Claims->onStoreAnswer(Routed->m_Answer, m_Now, Out);
  }

  void deliver(const core::model::NodeId &To, const Action &What) {
    Node *N = find(To);
    if (!N)
      return;
    if (N->m_PausedUntil > m_Now) {
      m_Scheduled.emplace(N->m_PausedUntil, ScheduledAction{To, What});
      return;
    }
    core::ports::EffectList Out;
    What(Out);
    for (const core::ports::Effect &E : Out)
      carryOut(*N, E);
  }

  void carryOut(Node &From, const core::ports::Effect &E) {
    if (const auto *Call = std::get_if<core::ports::StoreCall>(&E))
      m_Store.submit(From.m_Id, *Call, m_Now);
    if (const auto *Send = std::get_if<core::ports::PeerSend>(&E))
      send(From.m_Id, *Send);
    if (const auto *Verdict = std::get_if<core::ports::ClaimVerdict>(&E))
      onVerdict(From, *Verdict);
  }

  void send(const core::model::NodeId &From,
            const core::ports::PeerSend &Sent) {
    for (const core::model::Duration Delay : m_OnMessage())
      m_Scheduled.emplace(m_Now + Delay,
                          ScheduledAction{Sent.m_To, [=, this](auto &Out) {
                                            receive(From, Sent, Out);
                                          }});
  }

  void receive(const core::model::NodeId &From,
               const core::ports::PeerSend &Sent,
               core::ports::EffectList &Out) {
    core::claims::ClaimShards &Claims = *find(Sent.m_To)->m_Claims;
    if (const auto *Request =
            std::get_if<core::ports::ClaimRequest>(&Sent.m_Message))
      Claims.onClaimRequest(From, *Request, m_Now, Out);
    if (const auto *Reply =
            std::get_if<core::ports::ClaimReply>(&Sent.m_Message))
      Claims.onClaimReply(From, *Reply, m_Now, Out);
    if (const auto *Outcome =
            std::get_if<core::ports::ClaimOutcome>(&Sent.m_Message))
      Claims.onClaimOutcome(From, *Outcome, m_Now, Out);
  }

  void onVerdict(Node &N, const core::ports::ClaimVerdict &Verdict) {
    using core::ports::ClaimVerdictKind;
    ClientRequest &A = N.m_Requests.at(Verdict.m_Request.m_Value);
    if (A.m_Verdict)
      ++m_DoubleVerdicts;
    if (A.m_Verdict && Verdict.m_Kind == ClaimVerdictKind::Granted)
      m_FalseNotRun += A.m_Verdict->m_Kind == ClaimVerdictKind::Unavailable;
    A.m_Verdict = Verdict;
    A.m_VerdictAt = m_Now;
    if (Verdict.m_Kind == ClaimVerdictKind::Done && runsOf(A.m_Key) == 0)
      ++m_FalseDone;
    if (Verdict.m_Kind == ClaimVerdictKind::Granted && m_Now > A.m_Deadline)
      ++m_LateGrants;
    if (Verdict.m_Kind == ClaimVerdictKind::Granted)
      startRun(N, Verdict.m_Request, A.m_Key);
  }

  void startRun(Node &N, core::model::RequestId Request, uint64_t Key) {
    const RunOutcome End = m_OnGrant();
    if (End != RunOutcome::NotRun)
      ++m_Runs[Key];
    core::ports::ClaimEnded Ended{Request, Key};
    Ended.m_State = End == RunOutcome::Done ? core::model::ClaimState::Done
                    : End == RunOutcome::NotRun
                        ? core::model::ClaimState::Released
                        : core::model::ClaimState::Claimed;
    Ended.m_Status = 201;
    Ended.m_Answer = "run by " + N.m_Id.str();
    m_Scheduled.emplace(
        m_Now + m_RunTime,
        ScheduledAction{N.m_Id, [this, Id = N.m_Id, Ended](auto &Out) {
                          find(Id)->m_Claims->onClaimEnded(Ended, m_Now, Out);
                        }});
  }

  core::claims::ClaimSettings m_Settings;
  std::vector<Node> m_Nodes;
  std::vector<Node> m_StoppedNodes;
  std::multimap<core::model::TimePoint, ScheduledAction> m_Scheduled;
  core::model::TimePoint m_Now{std::chrono::seconds(1'000'000)};
  core::model::TimePoint m_NextTick = m_Now;
  uint64_t m_LastNode = 0;
  uint64_t m_LastRequest = 0;
  std::map<uint64_t, uint64_t> m_Runs;
  uint64_t m_FalseNotRun = 0;
  uint64_t m_FalseDone = 0;
  uint64_t m_LateGrants = 0;
  uint64_t m_DoubleVerdicts = 0;
};

} // namespace bronzepass::unit_tests::claims

#endif // BRONZEPASS_UNITTESTS_CLAIMS_CLAIMNETWORK_H
