#include "UnitTests/Traces/Replay.h"

#include "Core/Model/Hash.h"

#include <algorithm>

namespace bronzepass::unit_tests::traces {

using namespace core;          // NOLINT: names of the code under test.
using namespace core::routing; // NOLINT
using unit_tests::routing::Millisecond;
using unit_tests::routing::SeededRandom;
using unit_tests::routing::StartTime;

namespace {

constexpr model::Duration SameDomainDelay = std::chrono::microseconds(200);
constexpr model::Duration TickPeriod = std::chrono::milliseconds(20);
constexpr model::Duration ReportPeriod = std::chrono::milliseconds(250);
constexpr model::Duration ReportLag = std::chrono::milliseconds(100);
constexpr model::Duration LateReportLag = std::chrono::seconds(2);
constexpr model::Duration CacheLag = std::chrono::milliseconds(500);
constexpr model::Duration ServiceTime = std::chrono::milliseconds(40);
constexpr model::Duration ClaimTime = std::chrono::milliseconds(10);
constexpr model::Duration LossDetectionTime = std::chrono::seconds(1);
constexpr model::Duration EngineLossTime = std::chrono::seconds(8);
constexpr model::Duration StoreOutageStart = std::chrono::seconds(60);
constexpr model::Duration StoreOutageEnd = std::chrono::seconds(660);
constexpr model::Duration SettleTime = std::chrono::seconds(60);
constexpr double SlowFactor = 4;
constexpr uint32_t BlockTokens = 64;
/// One in this many cache events is lost.
constexpr uint64_t CacheEventLossInterval = 10;
constexpr size_t NoEngine = SIZE_MAX;
constexpr uint64_t Seeds = 3;

/// Hashes of the prompt's blocks. Prompts of one conversation share a prefix.
std::vector<uint64_t> prefixOf(const TraceLine &Line) {
  std::string Text = std::to_string(Line.m_Model) + "/" +
                     std::to_string(Line.m_Adapter) + "/" +
                     std::to_string(Line.m_Conversation);
  uint64_t First = model::stableHash(Text);
  std::vector<uint64_t> Hashes;
  for (uint32_t Block = 0; Block < Line.m_PromptTokens / BlockTokens; ++Block)
    Hashes.push_back(model::stableHash("block", First + Block));
  return Hashes;
}

} // namespace

Replay::Replay(const Deployment &Of, const std::vector<TraceLine> &Lines,
               ReplayFaults Faults, const TrafficSettings &Settings,
               uint64_t Seed)
    : m_Deployment(Of), m_Lines(Lines), m_Faults(Faults), m_Settings(Settings) {
  for (const model::EndpointSpec &Spec :
       Of.m_Inputs.m_Intent->m_Pools[0].m_Endpoints) {
    m_Engines.emplace_back();
    m_Engines.back().m_Name = Spec.m_Name;
    m_Engines.back().m_Domain = Spec.m_Domain;
  }
  for (size_t Index = 0; Index < Of.m_Inputs.m_Nodes.size(); ++Index) {
    Node Added;
    Added.m_Random = std::make_unique<SeededRandom>(Seed * 1000 + Index);
    Added.m_Core = std::make_unique<TrafficCore>(Settings, *Added.m_Random,
                                                 Of.m_Inputs.m_Nodes[Index]);
    m_Nodes.push_back(std::move(Added));
  }
  m_Outcomes.resize(Lines.size());
  m_End = StartTime + Millisecond * Lines.back().m_AtMs + SettleTime;
}

void Replay::scheduleAt(model::TimePoint When, std::function<void()> Action) {
  m_Queue.push({When, ++m_Order, std::move(Action)});
}

void Replay::scheduleAfter(model::Duration Span, std::function<void()> Action) {
  scheduleAt(m_Now + Span, std::move(Action));
}

ReplayResult Replay::run() {
  publishTable();
  tick();
  reportLoad();
  for (size_t Line = 0; Line < m_Lines.size(); ++Line)
    scheduleAt(StartTime + Millisecond * m_Lines[Line].m_AtMs,
               [this, Line] { receiveRequest(Line); });
  if (m_Faults.m_SlowEngine)
    m_Engines[1].m_Fake.m_SlowFactor = SlowFactor;
  if (m_Faults.m_EngineLost)
    scheduleAfter(EngineLossTime, [this] { loseEngine(); });
  while (!m_Queue.empty() && m_Queue.top().m_At <= m_End) {
    ScheduledEvent Next = m_Queue.top();
    m_Queue.pop();
    m_Now = Next.m_At;
    Next.m_Action();
  }
  for (const Outcome &Each : m_Outcomes)
    m_Result.m_CorrectnessViolations += Each.m_TerminalEvents != 1;
  m_Result.m_Requests = m_Lines.size();
  m_Result.m_AttainedPerAccelerator =
      static_cast<double>(m_Result.m_Attained) / m_Deployment.m_Engines;
  return m_Result;
}

model::Duration Replay::delay(size_t Node, size_t Engine) const {
  bool Same =
      Engine == NoEngine || m_Deployment.m_Inputs.m_Nodes[Node].m_Domain ==
                                m_Engines[Engine].m_Domain;
  return Same ? SameDomainDelay
              : m_Deployment.m_Inputs.m_Settings.m_DomainDelay;
}

void Replay::publishTable() {
  for (size_t Index = 0; Index < m_Nodes.size(); ++Index) {
    RoutingInputs Inputs = m_Deployment.inputsOf(Index);
    Inputs.m_EndpointStates = m_States;
    deliver(Index, TableChanged{RoutingTable::build(Inputs)});
  }
}

void Replay::tick() {
  for (size_t Index = 0; Index < m_Nodes.size(); ++Index)
    deliver(Index, TrafficTick());
  scheduleAfter(TickPeriod, [this] { tick(); });
}

void Replay::reportLoad() {
  model::Duration Lag = m_Faults.m_LateReports ? LateReportLag : ReportLag;
  for (Engine &Each : m_Engines) {
    if (Each.m_Lost)
      continue;
    LoadReported Seen{
        Each.m_Name, {Each.m_Fake.running(), Each.m_Fake.waiting()}, m_Now};
    CacheChanged Cache{Each.m_Name, ++Each.m_CacheSequence,
                       Each.m_CacheChanges.m_CacheAdded,
                       Each.m_CacheChanges.m_CacheRemoved};
    Each.m_CacheChanges = fakes::StepResult();
    for (size_t Index = 0; Index < m_Nodes.size(); ++Index) {
      scheduleAfter(Lag, [this, Index, Seen] { deliver(Index, Seen); });
      if (Cache.m_Sequence % CacheEventLossInterval != 0)
        scheduleAfter(CacheLag,
                      [this, Index, Cache] { deliver(Index, Cache); });
    }
  }
  scheduleAfter(ReportPeriod, [this] { reportLoad(); });
}

void Replay::loseEngine() {
  m_Engines[0].m_Lost = true;
  m_Engines[0].m_Fake.clear();
  for (auto &[AttemptKey, Each] : m_Attempts) {
    if (Each.m_Engine == 0 && !Each.m_Ended)
      sendToNode(AttemptKey,
                 AttemptEnded{Each.m_Id, AttemptOutcome::Broken, 0, ""});
  }
  m_States.push_back({m_Engines[0].m_Name, model::Liveness::Gone});
  scheduleAfter(LossDetectionTime, [this] { publishTable(); });
}

void Replay::receiveRequest(size_t Index) {
  const TraceLine &Line = m_Lines[Index];
  const model::Intent &Intent = *m_Deployment.m_Inputs.m_Intent;
  RequestArrived Event;
  model::Request &Request = Event.m_Request;
  Request.m_Id = {Index + 1};
  Request.m_Caller = model::CallerId("caller-" + std::to_string(Line.m_Caller));
  Request.m_Priority =
      Line.m_Batch ? model::Priority::Batch : model::Priority::Interactive;
  Request.m_Deadline = m_Now + Millisecond * Line.m_WindowMs;
  Request.m_PromptTokens = Line.m_PromptTokens;
  Request.m_MaxTokens = Line.m_MaxTokens;
  Request.m_BodyBytes = uint64_t(4) * Line.m_PromptTokens;
  if (Line.m_Model < 0) {
    Request.m_ServicePool = model::PoolId("service");
    Request.m_IdempotencyKey = "key-" + std::to_string(Index);
    Request.m_Repeatable = false;
    Event.m_KeyHash = Index + 1;
    ++m_Result.m_KeyedRequests;
  } else {
    Request.m_Model = Intent.m_Models[Line.m_Model].m_Name;
    Request.m_Stream = true;
    if (Line.m_Adapter >= 0)
      Request.m_Adapter = Intent.m_Adapters[Line.m_Adapter].m_Name;
    Request.m_PrefixHashes = prefixOf(Line);
  }
  // The platform's load balancer doesn't take load into account.
  deliver(model::stableHash("balancer", Index) % m_Nodes.size(), Event);
}

void Replay::deliver(size_t Node, const TrafficEvent &Event) {
  TrafficEffectList Effects;
  if (const auto *Chunk = std::get_if<AttemptChunk>(&Event))
    m_ChunkTokens = Chunk->m_Tokens;
  m_Nodes[Node].m_Core->handle(Event, m_Now, Effects);
  for (const TrafficEffect &Effect : Effects)
    std::visit([this, Node](const auto &Each) { carryOut(Node, Each); },
               Effect);
}

void Replay::carryOut(size_t Node, const StartAttempt &Effect) {
  uint64_t AttemptKey =
      (static_cast<uint64_t>(Node) << 48) | Effect.m_Attempt.m_Value;
  Attempt Added;
  Added.m_Node = Node;
  Added.m_Id = Effect.m_Attempt;
  Added.m_Artifact = Effect.m_Artifact;
  Added.m_Line = Effect.m_Request.m_Value - 1;
  Added.m_Engine = NoEngine;
  for (size_t Index = 0; Index < m_Engines.size(); ++Index) {
    if (m_Engines[Index].m_Name == Effect.m_Endpoint)
      Added.m_Engine = Index;
  }
  m_Attempts[AttemptKey] = Added;
  scheduleAfter(delay(Node, Added.m_Engine),
                [this, AttemptKey] { submitAttempt(AttemptKey); });
}

void Replay::carryOut(size_t Node, const CancelAttempt &Effect) {
  uint64_t AttemptKey =
      (static_cast<uint64_t>(Node) << 48) | Effect.m_Attempt.m_Value;
  Attempt &Each = m_Attempts[AttemptKey];
  Each.m_Ended = true;
  if (Each.m_Engine != NoEngine)
    scheduleAfter(delay(Node, Each.m_Engine),
                  [this, AttemptKey, Engine = Each.m_Engine] {
                    m_Engines[Engine].m_Fake.cancel(AttemptKey);
                  });
}

void Replay::submitAttempt(uint64_t AttemptKey) {
  Attempt &Each = m_Attempts[AttemptKey];
  if (Each.m_Ended)
    return;
  if (Each.m_Engine != NoEngine && m_Engines[Each.m_Engine].m_Lost) {
    sendToNode(AttemptKey,
               AttemptEnded{Each.m_Id, AttemptOutcome::NotSent, 0, ""});
    return;
  }
  Outcome &Actual = m_Outcomes[Each.m_Line];
  ++Actual.m_Runs;
  const TraceLine &Line = m_Lines[Each.m_Line];
  bool RanTwice = Line.m_Model < 0 && Actual.m_Runs > 1;
  m_Result.m_CorrectnessViolations += RanTwice || Actual.m_ReportedNotRun;
  if (Each.m_Engine == NoEngine) {
    scheduleAfter(ServiceTime, [this, AttemptKey] {
      sendToNode(AttemptKey, AttemptHead{m_Attempts[AttemptKey].m_Id, 200});
      completeAttempt(AttemptKey);
    });
    return;
  }
  fakes::Sequence Sequence;
  Sequence.m_Id = AttemptKey;
  Sequence.m_Priority =
      Line.m_Batch ? model::Priority::Batch : model::Priority::Interactive;
  Sequence.m_PromptTokens = Line.m_PromptTokens;
  Sequence.m_Tokens = Line.m_Tokens;
  Sequence.m_Prefix = prefixOf(Line);
  for (uint64_t &Hash : Sequence.m_Prefix)
    Hash = model::cachedPrefixHash(Hash, model::toString(Each.m_Artifact));
  m_Engines[Each.m_Engine].m_Fake.submit(std::move(Sequence));
  if (!m_Engines[Each.m_Engine].m_Stepping)
    beginStep(Each.m_Engine);
}

void Replay::beginStep(size_t Index) {
  Engine &Each = m_Engines[Index];
  Each.m_Stepping = !Each.m_Fake.idle();
  if (Each.m_Stepping)
    scheduleAfter(Each.m_Fake.beginStep(Each.m_CacheChanges),
                  [this, Index] { endStep(Index); });
}

void Replay::endStep(size_t Index) {
  Engine &Each = m_Engines[Index];
  fakes::StepResult Result;
  Each.m_Fake.endStep(Result);
  ReportedLoad Load{Each.m_Fake.running(), Each.m_Fake.waiting()};
  for (uint64_t AttemptKey : Result.m_Started)
    sendToNode(AttemptKey, AttemptHead{m_Attempts[AttemptKey].m_Id, 200, Load});
  for (uint64_t AttemptKey : Result.m_Progressed)
    sendTokens(AttemptKey, fakes::ProgressTokens);
  for (uint64_t AttemptKey : Result.m_Finished)
    completeAttempt(AttemptKey);
  beginStep(Index);
}

void Replay::sendTokens(uint64_t AttemptKey, uint32_t Tokens) {
  Attempt &Each = m_Attempts[AttemptKey];
  if (Tokens > 0)
    sendToNode(AttemptKey,
               AttemptChunk{Each.m_Id, Each.m_SentTokens, Tokens, Tokens});
  Each.m_SentTokens += Tokens;
}

void Replay::completeAttempt(uint64_t AttemptKey) {
  const Attempt &Each = m_Attempts[AttemptKey];
  sendTokens(AttemptKey, m_Lines[Each.m_Line].m_Tokens - Each.m_SentTokens);
  sendToNode(AttemptKey,
             AttemptEnded{Each.m_Id, AttemptOutcome::Complete, 200, "answer"});
}

void Replay::sendToNode(uint64_t AttemptKey, const TrafficEvent &Event) {
  const Attempt &Each = m_Attempts[AttemptKey];
  scheduleAfter(delay(Each.m_Node, Each.m_Engine), [this, AttemptKey, Event] {
    if (std::holds_alternative<AttemptEnded>(Event))
      m_Attempts[AttemptKey].m_Ended = true;
    deliver(m_Attempts[AttemptKey].m_Node, Event);
  });
}

bool Replay::storeIsDown() const {
  model::Duration Since = m_Now - StartTime;
  return m_Faults.m_StoreOutage && Since >= StoreOutageStart &&
         Since < StoreOutageEnd;
}

void Replay::carryOut(size_t Node, const ports::ClaimRequested &Effect) {
  if (storeIsDown())
    return;
  ports::ClaimVerdict Verdict{Effect.m_Request,
                              ports::ClaimVerdictKind::Granted};
  scheduleAfter(ClaimTime, [this, Node, Verdict] { deliver(Node, Verdict); });
}

void Replay::carryOut(size_t Node, const RelayChunk &Effect) {
  uint64_t AttemptKey =
      (static_cast<uint64_t>(Node) << 48) | Effect.m_Attempt.m_Value;
  const Attempt &From = m_Attempts[AttemptKey];
  m_Result.m_CorrectnessViolations +=
      From.m_Line + 1 != Effect.m_Request.m_Value;
  m_Outcomes[Effect.m_Request.m_Value - 1].m_RelayedTokens += m_ChunkTokens;
}

Replay::Outcome &Replay::recordEnd(model::RequestId Request) {
  Outcome &Actual = m_Outcomes[Request.m_Value - 1];
  ++Actual.m_TerminalEvents;
  return Actual;
}

void Replay::carryOut(size_t /*Node*/, const FinishAnswer &Effect) {
  Outcome &Actual = recordEnd(Effect.m_Request);
  const TraceLine &Line = m_Lines[Effect.m_Request.m_Value - 1];
  m_Result.m_CorrectnessViolations += Actual.m_RelayedTokens != Line.m_Tokens;
  model::TimePoint Deadline =
      StartTime + Millisecond * (Line.m_AtMs + Line.m_WindowMs);
  if (m_Now > Deadline)
    return;
  ++m_Result.m_Attained;
  m_Result.m_KeyedAttained += Line.m_Model < 0;
}

void Replay::carryOut(size_t /*Node*/, const RefuseRequest &Effect) {
  Outcome &Actual = recordEnd(Effect.m_Request);
  ++m_Result.m_Refused;
  m_Result.m_RefusedAfterDeadline +=
      Effect.m_Refusal.m_Reason == model::RefusalReason::DeadlinePassed;
  Actual.m_ReportedNotRun =
      Effect.m_Refusal.m_RunState == model::RunState::NotRun;
  m_Result.m_CorrectnessViolations +=
      Actual.m_ReportedNotRun && Actual.m_Runs > 0;
}

void Replay::carryOut(size_t /*Node*/, const BreakAnswer &Effect) {
  recordEnd(Effect.m_Request);
  ++m_Result.m_Broken;
}

std::vector<Scenario> scenarios() {
  return {{"steady", "steady", {}},
          {"burst", "burst", {}},
          {"turns", "turns", {}},
          {"engine-lost", "steady", {.m_EngineLost = true}},
          {"slow-engine", "steady", {.m_SlowEngine = true}},
          {"late-reports", "burst", {.m_LateReports = true}},
          {"store-out", "quiet", {.m_StoreOutage = true}}};
}

ReplayResult replay(const Deployment &Of, const Scenario &Case,
                    const std::string &Folder,
                    const TrafficSettings &Settings) {
  std::vector<TraceLine> Lines =
      readTrace(Folder + "/" + Of.m_Name + "-" + Case.m_Trace + ".csv");
  ReplayResult Sum;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    ReplayResult One = Replay(Of, Lines, Case.m_Faults, Settings, Seed).run();
    Sum.m_Requests += One.m_Requests;
    Sum.m_Attained += One.m_Attained;
    Sum.m_KeyedRequests += One.m_KeyedRequests;
    Sum.m_KeyedAttained += One.m_KeyedAttained;
    Sum.m_Refused += One.m_Refused;
    Sum.m_RefusedAfterDeadline += One.m_RefusedAfterDeadline;
    Sum.m_Broken += One.m_Broken;
    Sum.m_CorrectnessViolations += One.m_CorrectnessViolations;
    Sum.m_AttainedPerAccelerator += One.m_AttainedPerAccelerator / Seeds;
  }
  return Sum;
}

TrafficSettings comparisonSettings(PolicyKind Kind) {
  TrafficSettings Settings;
  Settings.m_Policy = Kind;
  Settings.m_LogDecisions = false;
  if (Kind == PolicyKind::Predictive)
    return Settings;
  Settings.m_Admission = false;
  Settings.m_PeerLoadFactor = 0;
  return Settings;
}

} // namespace bronzepass::unit_tests::traces
