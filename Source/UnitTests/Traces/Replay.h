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

/// What goes wrong during a replay.
struct ReplayFaults {
  /// Engine 0 dies at this time and is off the table a second later.
  bool m_EngineLost = false;
  /// Engine 1 takes four times as long for each step.
  bool m_SlowEngine = false;
  /// Load reports take two seconds rather than a tenth.
  bool m_LateReports = false;
  /// No claim can be recorded for ten minutes.
  bool m_StoreOut = false;
};

struct ReplayResult {
  uint32_t m_Requests = 0;
  /// Answered whole, once, inside the window.
  uint32_t m_Attained = 0;
  uint32_t m_KeyedRequests = 0;
  uint32_t m_KeyedAttained = 0;
  uint32_t m_Refused = 0;
  /// Of the refused, those told when the window had passed.
  uint32_t m_RefusedLate = 0;
  uint32_t m_Broken = 0;
  /// Must be zero: not the answer asked for, two answers or none, two runs of a
  /// keyed request, "not run" told of a run.
  uint32_t m_Wrong = 0;
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
    fakes::StepResult m_News;
  };
  struct Node {
    std::unique_ptr<routing::SeededRandom> m_Dice;
    std::unique_ptr<core::routing::TrafficCore> m_Core;
  };
  struct Attempt {
    size_t m_Node = 0;
    core::model::AttemptId m_Id;
    size_t m_Line = 0;
    core::model::ArtifactId m_Artifact;
    size_t m_Engine = 0;
    /// Tokens passed on so far.
    uint32_t m_Told = 0;
    bool m_Over = false;
  };
  struct Outcome {
    uint32_t m_Finals = 0;
    uint32_t m_Runs = 0;
    uint64_t m_Relayed = 0;
    bool m_ToldNotRun = false;
  };
  struct Due {
    core::model::TimePoint m_At;
    uint64_t m_Order;
    std::function<void()> m_Do;
    bool operator<(const Due &Other) const {
      return m_At != Other.m_At ? m_At > Other.m_At : m_Order > Other.m_Order;
    }
  };

  void at(core::model::TimePoint When, std::function<void()> Do);
  void after(core::model::Duration Span, std::function<void()> Do);
  core::model::Duration delay(size_t Node, size_t Engine) const;
  void publish();
  void tick();
  void reportLoad();
  void loseEngine();
  void arrive(size_t Line);
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

  void reach(uint64_t Name);
  void callService(uint64_t Name);
  void beginStep(size_t Index);
  void endStep(size_t Index);
  void grow(uint64_t Name, uint32_t Tokens);
  void answer(uint64_t Name);
  void tell(uint64_t Name, const core::routing::TrafficEvent &Event);
  Outcome &ended(core::model::RequestId Request);
  bool storeIsOut() const;

  const Deployment &m_Of;
  const std::vector<TraceLine> &m_Lines;
  ReplayFaults m_Faults;
  core::routing::TrafficSettings m_Settings;
  core::model::TimePoint m_Now = routing::StartTime;
  core::model::TimePoint m_End;
  std::priority_queue<Due> m_Queue;
  uint64_t m_Order = 0;
  // Size of the piece just delivered.
  uint64_t m_PieceTokens = 0;
  std::vector<core::model::EndpointState> m_States;
  std::vector<Engine> m_Engines;
  std::vector<Node> m_Nodes;
  std::map<uint64_t, Attempt> m_Attempts;
  std::vector<Outcome> m_Outcomes;
  ReplayResult m_Result;
};

/// Stated demand and faults under a name; the same list for both deployments.
struct Scenario {
  std::string m_Name;
  /// Which recorded trace: "steady", "burst", "turns" or "quiet".
  std::string m_Trace;
  ReplayFaults m_Faults;
};

std::vector<Scenario> scenarios();

/// Reads the trace from \p Folder and replays it once for each of several
/// seeds of the nodes' dice; the counts are sums, the rate is a mean.
ReplayResult replay(const Deployment &Of, const Scenario &What,
                    const std::string &Folder,
                    const core::routing::TrafficSettings &Settings);

/// Settings of a policy as it is compared: the baselines send on at once and
/// correct nothing.
core::routing::TrafficSettings settingsOf(core::routing::PolicyKind Kind);

} // namespace bronzepass::unit_tests::traces

#endif // BRONZEPASS_UNITTESTS_TRACES_REPLAY_H
