#include "UnitTests/Claims/ClaimNetwork.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <iostream>

namespace bronzepass::unit_tests::claims {

using namespace core;
using core::claims::ClaimSettings;
using fakes::StoreFault;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint64_t PropertySeed = 20261203;
constexpr int ScenarioCount = 10'000;
constexpr uint32_t FaultScale = 100;
constexpr int MaxSteps = 60;

/// An event that a scenario applies to the nodes.
enum class StepKind { Request, Restart, Pause, SplitView, HealViews, Store };

struct Step {
  StepKind m_Kind = StepKind::Request;
  uint32_t m_Node = 0;
  uint32_t m_Key = 0;
  uint32_t m_DurationMs = 0;
  uint32_t m_DelayMs = 0;
};

struct Scenario {
  uint32_t m_Nodes = 2;
  uint64_t m_Seed = 0;
  /// Out of FaultScale messages.
  uint32_t m_MessageFaults = 0;
  std::vector<Step> m_Steps;
};

std::ostream &operator<<(std::ostream &Stream, const Scenario &S) {
  Stream << S.m_Nodes << " nodes, seed " << S.m_Seed << ", message faults "
         << S.m_MessageFaults;
  for (const Step &Each : S.m_Steps)
    Stream << "\n  +" << Each.m_DelayMs << " ms: kind "
           << static_cast<int>(Each.m_Kind) << " node " << Each.m_Node
           << " key " << Each.m_Key << " for " << Each.m_DurationMs << " ms";
  return Stream;
}

/// Uniform in [From, Below), whatever the size of the scenario.
rc::Gen<uint32_t> between(uint32_t From, uint32_t Below) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(From, Below));
}

rc::Gen<Step> anyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::m_Kind,
                   rc::gen::weightedElement<StepKind>({{8, StepKind::Request},
                                                       {1, StepKind::Restart},
                                                       {1, StepKind::Pause},
                                                       {1, StepKind::SplitView},
                                                       {1, StepKind::HealViews},
                                                       {2, StepKind::Store}})),
      rc::gen::set(&Step::m_Node, between(0U, 5U)),
      rc::gen::set(&Step::m_Key, between(0U, 4U)),
      rc::gen::set(&Step::m_DurationMs, between(50U, 6000U)),
      rc::gen::set(&Step::m_DelayMs, rc::gen::weightedOneOf<uint32_t>(
                                         {{2, rc::gen::just(0U)},
                                          {3, between(0U, 40U)},
                                          {2, between(0U, 2500U)}})));
}

rc::Gen<Scenario> anyScenario() {
  return rc::gen::build<Scenario>(
      rc::gen::set(&Scenario::m_Nodes, between(2U, 6U)),
      rc::gen::set(&Scenario::m_Seed, rc::gen::arbitrary<uint64_t>()),
      rc::gen::set(&Scenario::m_MessageFaults, between(0U, 40U)),
      rc::gen::set(&Scenario::m_Steps,
                   rc::gen::container<std::vector<Step>>(anyStep())));
}

/// Runs a scenario; all randomness is derived from its seed.
class ScenarioRunner {
public:
  explicit ScenarioRunner(const Scenario &S)
      : m_Scenario(S), m_Random(S.m_Seed), m_Net(S.m_Nodes, settings()) {
    m_Net.m_TickPeriod = milliseconds(100);
    m_Net.m_OnMessage = [this] { return messageDelays(); };
    m_Net.m_OnGrant = [this] { return runOutcome(); };
    m_Net.m_Store.m_Fault = [this](const ports::StoreCall &) {
      return storeFault();
    };
  }

  void run() {
    for (const Step &Each : m_Scenario.m_Steps) {
      m_Net.run(milliseconds(Each.m_DelayMs));
      apply(Each);
    }
    m_Net.run(seconds(20));
  }

  ClaimNetwork &net() { return m_Net; }

private:
  static ClaimSettings settings() {
    ClaimSettings Settings;
    Settings.m_ShardCount = 2;
    Settings.m_FleetWritesPerSecond = 20;
    Settings.m_StoreTimeout = milliseconds(700);
    // Seals a segment after every one or two claims.
    Settings.m_SealBytes = 400;
    Settings.m_SealRetryDelay = milliseconds(500);
    return Settings;
  }

  uint32_t randomBelow(uint32_t Below) {
    return static_cast<uint32_t>(m_Random.next() % Below);
  }

  std::vector<model::Duration> messageDelays() {
    const auto Delay = [this] {
      return model::Duration(500 + randomBelow(5000));
    };
    if (randomBelow(FaultScale) >= m_Scenario.m_MessageFaults)
      return {Delay()};
    switch (randomBelow(3)) {
    case 0:
      return {};
    case 1:
      return {Delay(), Delay() + milliseconds(randomBelow(3000))};
    default:
      return {Delay() + milliseconds(randomBelow(3000))};
    }
  }

  RunOutcome runOutcome() {
    m_Net.m_RunTime = milliseconds(1 + randomBelow(500));
    switch (randomBelow(6)) {
    case 0:
      return RunOutcome::NotRun;
    case 1:
      return RunOutcome::Unknown;
    default:
      return RunOutcome::Done;
    }
  }

  StoreFault storeFault() {
    m_Net.m_Store.m_Latency = model::Duration(1000 + randomBelow(20000));
    if (m_Net.now() >= m_StoreFaultsUntil || randomBelow(3) == 0)
      return StoreFault::None;
    constexpr StoreFault Faults[] = {StoreFault::Slow, StoreFault::LostAnswer,
                                     StoreFault::LateWrite,
                                     StoreFault::LostCall, StoreFault::Down};
    m_Net.m_Store.m_SlowLatency = milliseconds(100 + randomBelow(1500));
    m_Net.m_Store.m_LateDelay = milliseconds(randomBelow(3000));
    return Faults[randomBelow(5)];
  }

  void apply(const Step &Each) {
    const size_t Node = Each.m_Node % m_Net.size();
    switch (Each.m_Kind) {
    case StepKind::Request:
      m_Net.sendRequest(Node, Each.m_Key, milliseconds(Each.m_DurationMs));
      break;
    case StepKind::Restart:
      m_Net.restart(Node);
      // In half of the cases, the other nodes learn of it later.
      if (randomBelow(2) == 0)
        m_Net.setAllLiveNodes();
      break;
    case StepKind::Pause:
      m_Net.pause(Node, milliseconds(Each.m_DurationMs));
      break;
    case StepKind::SplitView:
      m_Net.setLiveNodes(Node, {m_Net.node(Node).m_Id});
      break;
    case StepKind::HealViews:
      m_Net.setAllLiveNodes();
      break;
    case StepKind::Store:
      m_StoreFaultsUntil = m_Net.now() + milliseconds(Each.m_DurationMs);
      break;
    }
  }

  const Scenario &m_Scenario;
  fakes::FixedRandom m_Random;
  ClaimNetwork m_Net;
  model::TimePoint m_StoreFaultsUntil;
};

/// Number of requests at live processes that have no verdict. Each must have
/// one by its deadline plus a tick, unless its process was paused.
uint64_t unanswered(ClaimNetwork &Net) {
  uint64_t Count = 0;
  for (size_t I = 0; I < Net.size(); ++I)
    for (const auto &Entry : Net.node(I).m_Requests)
      Count += !Entry.second.m_Verdict;
  return Count;
}

} // namespace

TEST_CASE("A key runs at most once despite message loss, delay, duplication, "
          "pauses, restarts and store faults") {
  rc::detail::TestParams Params;
  Params.seed = PropertySeed;
  Params.maxSuccess = ScenarioCount;
  Params.maxSize = MaxSteps;
  uint64_t Granted = 0;
  const auto Result = rc::detail::checkTestable(
      [&Granted] {
        const Scenario S = *anyScenario();
        ScenarioRunner P(S);
        P.run();
        for (const auto &Entry : P.net().runs()) {
          RC_ASSERT(Entry.second <= 1U);
          ++Granted;
        }
        RC_ASSERT(P.net().falseNotRun() == 0U);
        RC_ASSERT(P.net().falseDone() == 0U);
        RC_ASSERT(P.net().lateGrants() == 0U);
        RC_ASSERT(P.net().doubleVerdicts() == 0U);
        RC_ASSERT(unanswered(P.net()) == 0U);
      },
      rc::detail::TestMetadata(), Params);
  if (!Result.template is<rc::detail::SuccessResult>())
    rc::detail::printResultMessage(Result, std::cerr);
  CHECK(Result.template is<rc::detail::SuccessResult>());
  // Guards against scenarios in which no key runs.
  CHECK(Granted > ScenarioCount);
}

} // namespace bronzepass::unit_tests::claims
