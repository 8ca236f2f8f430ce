#ifndef BRONZEPASS_UNITTESTS_TRACES_REPLAY_H
#define BRONZEPASS_UNITTESTS_TRACES_REPLAY_H

#include "Core/Routing/TrafficCore.h"
#include "UnitTests/Fakes/FakeBatchEngine.h"
#include "UnitTests/Routing/TrafficFixture.h"
#include "UnitTests/Traces/Deployment.h"
#include "UnitTests/Traces/Trace.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace bronzepass::unit_tests::traces {

/// Faults that a replay injects.
struct ReplayFaults {
  /// Engine 0 fails eight seconds into the trace and leaves the routing table a
  /// second later.
  bool m_EngineLost = false;
  /// Each step of engine 1 takes four times as long.
  bool m_SlowEngine = false;
  /// Load reports arrive after 2 s instead of 100 ms.
  bool m_LateReports = false;
  /// The store records no claim for ten minutes.
  bool m_StoreOutage = false;
};

struct ReplayResult {
  uint32_t m_Requests = 0;
  /// Requests answered completely and once, before their deadline.
  uint32_t m_Attained = 0;
  uint32_t m_KeyedRequests = 0;
  uint32_t m_KeyedAttained = 0;
  uint32_t m_Refused = 0;
  /// Requests refused after their deadline.
  uint32_t m_RefusedAfterDeadline = 0;
  uint32_t m_Broken = 0;
  /// Violations of correctness, which must be zero: another request's answer or
  /// an incomplete one, two answers or none, two runs of a keyed request, or
  /// "not run" reported for a request that ran.
  uint32_t m_CorrectnessViolations = 0;
  double m_AttainedPerAccelerator = 0;
};

/// Replays a trace through the traffic cores of all of a deployment's nodes
/// against fake engines, in virtual time.
class Replay {
public:
  Replay(const Deployment &Of, const std::vector<TraceLine> &Lines,
         ReplayFaults Faults, const core::routing::TrafficSettings &Settings,
         uint64_t Seed);

  ReplayResult run();

private:
  struct Engine {
    fakes::FakeBatchEngine m_Fake{fakes::BatchEngineSettings()};
    core::model::EndpointId m_Name;
    core::model::DomainId m_Domain;
    bool m_Lost = false;
    bool m_Stepping = false;
    uint64_t m_CacheSequence = 0;
    fakes::StepResult m_CacheChanges;
  };
  struct Node {
    std::unique_ptr<routing::SeededRandom> m_Random;
    std::unique_ptr<core::routing::TrafficCore> m_Core;
  };
  struct Attempt {
    size_t m_Node = 0;
    core::model::AttemptId m_Id;
    size_t m_Line = 0;
    core::model::ArtifactId m_Artifact;
    size_t m_Engine = 0;
    /// Number of tokens sent to the node so far.
    uint32_t m_SentTokens = 0;
    bool m_Ended = false;
  };
  struct Outcome {
    uint32_t m_TerminalEvents = 0;
    uint32_t m_Runs = 0;
    uint64_t m_RelayedTokens = 0;
    bool m_ReportedNotRun = false;
  };
  struct ScheduledEvent {
    core::model::TimePoint m_At;
    uint64_t m_Order;
    std::function<void()> m_Action;
    bool operator<(const ScheduledEvent &Other) const {
      return m_At != Other.m_At ? m_At > Other.m_At : m_Order > Other.m_Order;
    }
  };

  void scheduleAt(core::model::TimePoint When, std::function<void()> Action);
  void scheduleAfter(core::model::Duration Span, std::function<void()> Action);
  core::model::Duration delay(size_t Node, size_t Engine) const;
  void publishTable();
  void tick();
  void reportLoad();
  void loseEngine();
  void receiveRequest(size_t Line);
  void deliver(size_t Node, const core::routing::TrafficEvent &Event);

  template <typename EffectT>
  void carryOut(size_t /*Node*/, const EffectT & /*Effect*/) {}
  void carryOut(size_t Node, const core::routing::StartAttempt &Effect);
  void carryOut(size_t Node, const core::routing::CancelAttempt &Effect);
  void carryOut(size_t Node, const core::routing::RelayChunk &Effect);
  void carryOut(size_t Node, const core::routing::FinishAnswer &Effect);
  void carryOut(size_t Node, const core::routing::RefuseRequest &Effect);
  void carryOut(size_t Node, const core::routing::BreakAnswer &Effect);
  void carryOut(size_t Node, const core::ports::ClaimRequested &Effect);

  void submitAttempt(uint64_t AttemptKey);
  void callService(uint64_t AttemptKey);
  void beginStep(size_t Index);
  void endStep(size_t Index);
  void sendTokens(uint64_t AttemptKey, uint32_t Tokens);
  void completeAttempt(uint64_t AttemptKey);
  void sendToNode(uint64_t AttemptKey,
                  const core::routing::TrafficEvent &Event);
  Outcome &recordEnd(core::model::RequestId Request);
  bool storeIsDown() const;

  const Deployment &m_Deployment;
  const std::vector<TraceLine> &m_Lines;
  ReplayFaults m_Faults;
  core::routing::TrafficSettings m_Settings;
  core::model::TimePoint m_Now = routing::StartTime;
  core::model::TimePoint m_End;
  std::priority_queue<ScheduledEvent> m_Queue;
  uint64_t m_Order = 0;
  // Number of tokens in the chunk delivered last.
  uint64_t m_ChunkTokens = 0;
  std::vector<core::model::EndpointState> m_States;
  std::vector<Engine> m_Engines;
  std::vector<Node> m_Nodes;
  std::map<uint64_t, Attempt> m_Attempts;
  std::vector<Outcome> m_Outcomes;
  ReplayResult m_Result;
};

/// A named combination of a trace and faults.
struct Scenario {
  std::string m_Name;
  /// The recorded trace: "steady", "burst", "turns" or "quiet".
  std::string m_Trace;
  ReplayFaults m_Faults;
};

/// The scenarios that both deployments replay.
std::vector<Scenario> scenarios();

/// Reads the trace from \p Folder and replays it with several random seeds.
/// Counts are summed over the seeds; m_AttainedPerAccelerator is their mean.
ReplayResult replay(const Deployment &Of, const Scenario &Case,
                    const std::string &Folder,
                    const core::routing::TrafficSettings &Settings);

/// Settings under which a policy is compared. The baselines use no admission
/// control and don't correct for the load of peers.
core::routing::TrafficSettings
comparisonSettings(core::routing::PolicyKind Kind);

} // namespace bronzepass::unit_tests::traces

#endif // BRONZEPASS_UNITTESTS_TRACES_REPLAY_H
