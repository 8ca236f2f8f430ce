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
constexpr int Interleavings = 10'000;
constexpr uint32_t FaultsOutOf = 100;
constexpr int MostSteps = 60;

/// One thing that happens to the nodes.
enum class StepKind { Ask, Restart, Pause, SplitView, HealViews, Store };

struct Step {
  StepKind m_Kind = StepKind::Ask;
  uint32_t m_Node = 0;
  uint32_t m_Key = 0;
  uint32_t m_Millis = 0;
  uint32_t m_After = 0;
};

struct Scenario {
  uint32_t m_Nodes = 2;
  uint64_t m_Seed = 0;
  /// In FaultsOutOf.
  uint32_t m_MessageFaults = 0;
  std::vector<Step> m_Steps;
};

std::ostream &operator<<(std::ostream &Stream, const Scenario &S) {
  Stream << S.m_Nodes << " nodes, seed " << S.m_Seed << ", message faults "
         << S.m_MessageFaults;
  for (const Step &Each : S.m_Steps)
    Stream << "\n  +" << Each.m_After << " ms: kind "
           << static_cast<int>(Each.m_Kind) << " node " << Each.m_Node
           << " key " << Each.m_Key << " for " << Each.m_Millis << " ms";
  return Stream;
}

/// Uniform in [From, Below) for small scenarios too.
rc::Gen<uint32_t> between(uint32_t From, uint32_t Below) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(From, Below));
}

rc::Gen<Step> anyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::m_Kind,
                   rc::gen::weightedElement<StepKind>({{8, StepKind::Ask},
                                                       {1, StepKind::Restart},
                                                       {1, StepKind::Pause},
                                                       {1, StepKind::SplitView},
                                                       {1, StepKind::HealViews},
                                                       {2, StepKind::Store}})),
      rc::gen::set(&Step::m_Node, between(0U, 5U)),
      rc::gen::set(&Step::m_Key, between(0U, 4U)),
      rc::gen::set(&Step::m_Millis, between(50U, 6000U)),
      rc::gen::set(&Step::m_After, rc::gen::weightedOneOf<uint32_t>(
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

/// Plays a scenario; all that is random comes from its seed.
class Play {
public:
  explicit Play(const Scenario &S)
      : m_Scenario(S), m_Random(S.m_Seed), m_Net(S.m_Nodes, settings()) {
    m_Net.m_TickPeriod = milliseconds(100);
    m_Net.m_OnMessage = [this] { return messageFate(); };
    m_Net.m_OnGrant = [this] { return runEnd(); };
    m_Net.m_Store.m_Fault = [this](const ports::StoreCall &) {
      return storeFault();
    };
  }

  void run() {
    for (const Step &Each : m_Scenario.m_Steps) {
      m_Net.run(milliseconds(Each.m_After));
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
    // A segment after each claim or two.
    Settings.m_SealBytes = 400;
    Settings.m_SealRetry = milliseconds(500);
    return Settings;
  }

  uint32_t draw(uint32_t Below) {
    return static_cast<uint32_t>(m_Random.next() % Below);
  }

  std::vector<model::Duration> messageFate() {
    const auto Delay = [this] { return model::Duration(500 + draw(5000)); };
    if (draw(FaultsOutOf) >= m_Scenario.m_MessageFaults)
      return {Delay()};
    switch (draw(3)) {
    case 0:
      return {};
    case 1:
      return {Delay(), Delay() + milliseconds(draw(3000))};
    default:
      return {Delay() + milliseconds(draw(3000))};
    }
  }

  RunEnd runEnd() {
    m_Net.m_RunTime = milliseconds(1 + draw(500));
    switch (draw(6)) {
    case 0:
      return RunEnd::NotRun;
    case 1:
      return RunEnd::Lost;
    default:
      return RunEnd::Done;
    }
  }

  StoreFault storeFault() {
    m_Net.m_Store.m_Latency = model::Duration(1000 + draw(20000));
    if (m_Net.now() >= m_StoreBadUntil || draw(3) == 0)
      return StoreFault::None;
    constexpr StoreFault Faults[] = {StoreFault::Slow, StoreFault::LostAnswer,
                                     StoreFault::LateWrite,
                                     StoreFault::LostCall, StoreFault::Down};
    m_Net.m_Store.m_SlowLatency = milliseconds(100 + draw(1500));
    m_Net.m_Store.m_LateDelay = milliseconds(draw(3000));
    return Faults[draw(5)];
  }

  void apply(const Step &Each) {
    const size_t Node = Each.m_Node % m_Net.size();
    switch (Each.m_Kind) {
    case StepKind::Ask:
      m_Net.ask(Node, Each.m_Key, milliseconds(Each.m_Millis));
      break;
    case StepKind::Restart:
      m_Net.restart(Node);
      // The others may learn of it late.
      if (draw(2) == 0)
        m_Net.setAllViews();
      break;
    case StepKind::Pause:
      m_Net.pause(Node, milliseconds(Each.m_Millis));
      break;
    case StepKind::SplitView:
      m_Net.setView(Node, {m_Net.node(Node).m_Id});
      break;
    case StepKind::HealViews:
      m_Net.setAllViews();
      break;
    case StepKind::Store:
      m_StoreBadUntil = m_Net.now() + milliseconds(Each.m_Millis);
      break;
    }
  }

  const Scenario &m_Scenario;
  fakes::FixedRandom m_Random;
  ClaimNetwork m_Net;
  model::TimePoint m_StoreBadUntil;
};

/// Every request at a process that lives has a verdict by its deadline (and a
/// tick), unless a pause held the process up.
uint64_t unanswered(ClaimNetwork &Net) {
  uint64_t Count = 0;
  for (size_t I = 0; I < Net.size(); ++I)
    for (const auto &Entry : Net.node(I).m_Asked)
      Count += !Entry.second.m_Verdict;
  return Count;
}

} // namespace

TEST_CASE("Whatever is lost, late, doubled, paused or replaced: one run") {
  rc::detail::TestParams Params;
  Params.seed = PropertySeed;
  Params.maxSuccess = Interleavings;
  Params.maxSize = MostSteps;
  uint64_t Granted = 0;
  const auto Result = rc::detail::checkTestable(
      [&Granted] {
        const Scenario S = *anyScenario();
        Play P(S);
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
  // The scenarios are worth something only if keys do run in them.
  CHECK(Granted > Interleavings);
}

} // namespace bronzepass::unit_tests::claims
