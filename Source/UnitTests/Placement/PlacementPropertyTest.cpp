#include "UnitTests/Placement/PlacementCluster.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>
#include <sstream>

namespace bronzepass::unit_tests::placement {

namespace {

constexpr uint64_t Seed = 20261203;
constexpr int InterleavingsPerMode = 5000;
constexpr model::Duration MaxOrderDelay = 20s;
/// An event between two steps of the simulation.
enum class Action : uint8_t {
  Wait,
  WaitLong,
  Pause,
  Resume,
  Kill,
  TakeOver,
  Crash,
  Disconnect,
  Reconnect,
  StoreFault,
  StoreRecover,
  Burst,
  Rollout,
  Retire,
  Drain,
  Restore,
  Count,
};

/// Applies a list of actions to a cluster and checks the invariants: memory is
/// never exceeded or promised twice, and no last answering copy is unloaded.
class Interleaving {
public:
  Interleaving(model::FencingMode Fencing, uint32_t RandomSeed)
      : m_Random(RandomSeed), m_Base(makeSmallIntent(3, 7, Fencing)),
        m_Cluster(makeShared(m_Base), 2, settings()) {
    m_Base.m_Adapters.push_back({.m_Name = model::AdapterId("a"),
                                 .m_Base = model::ModelId("m0"),
                                 .m_MemoryBytes = 2 * GiB});
    m_Cluster.changeIntent(nextGeneration(m_Base));
    for (fakes::FakeEngine &Engine : m_Cluster.m_Engines)
      Engine.m_LoadTime = 10s;
    m_Cluster.m_Network = [this] { return arrivals(); };
    m_Cluster.m_LoseAnswer = [this] { return randomBelow(4) == 0; };
    m_Cluster.m_OnUnload = [this](const auto &Order, model::TimePoint At) {
      checkUnload(Order, At);
    };
    m_Cluster.m_AfterStep = [this] { checkMemory(); };
    m_Cluster.grantLease(0);
  }

  void apply(Action Kind, uint32_t Choice) {
    PlacementCluster &Cluster = m_Cluster;
    const size_t Engine = Choice % Cluster.m_Engines.size();
    switch (Kind) {
    case Action::WaitLong:
      Cluster.runFor(12s, 2s);
      break;
    case Action::Pause:
      Cluster.pause(Cluster.m_Holder);
      break;
    case Action::Resume:
      resumeAll();
      break;
    case Action::Kill:
      if (Cluster.m_Nodes.size() < 5) {
        Cluster.kill(Cluster.m_Holder);
        takeOver();
      }
      break;
    case Action::TakeOver:
      takeOver();
      break;
    case Action::Crash:
      crash(Engine);
      break;
    case Action::Disconnect:
      Cluster.m_Reachable[Engine] = false;
      break;
    case Action::Reconnect:
      Cluster.m_Reachable.assign(Cluster.m_Reachable.size(), true);
      break;
    case Action::StoreFault:
      Cluster.m_Store.m_Fault = [this](const ports::StoreCall &) {
        return static_cast<fakes::StoreFault>(randomBelow(5));
      };
      break;
    case Action::StoreRecover:
      recoverStore();
      break;
    case Action::Burst:
      burst(Choice % 7);
      break;
    case Action::Rollout:
    case Action::Retire:
    case Action::Drain:
    case Action::Restore:
      changeIntent(Kind, Choice);
      break;
    default:
      break;
    }
    Cluster.step(1s);
  }

  /// Ends all faults; then every declared model has to answer within the time
  /// given.
  void recover() {
    recoverStore();
    m_Cluster.m_Reachable.assign(m_Cluster.m_Reachable.size(), true);
    m_Cluster.m_Network = [] { return std::vector<model::Duration>{0ms}; };
    m_Cluster.m_LoseAnswer = [] { return false; };
    resumeAll();
    if (m_Cluster.m_Nodes[m_Cluster.m_Holder].m_Gone)
      takeOver();
    changeIntent(Action::Restore, 0);
    m_Cluster.runFor(4min, 2s);
    for (const model::ModelSpec &Model : m_Base.m_Models)
      for (const model::VersionSpec &Version : Model.m_Versions)
        if (m_Cluster.serving({Model.m_Name, Version.m_Version, {}}) == 0)
          m_Violations.push_back("after recovery " + Model.m_Name.str() +
                                 " does not answer");
  }

  const std::vector<std::string> &violations() const { return m_Violations; }

private:
  static core::placement::PlacementSettings settings() {
    core::placement::PlacementSettings Settings;
    Settings.m_OrderLifetime = MaxOrderDelay * 2;
    Settings.m_SpareCopyHold = 20s;
    Settings.m_RetireIdleTime = 4s;
    Settings.m_BurstHorizon = 10min;
    return Settings;
  }

  uint32_t randomBelow(uint32_t Bound) {
    return static_cast<uint32_t>(m_Random() % Bound);
  }

  /// An order is lost, late or duplicated with a probability of one in eight
  /// each.
  std::vector<model::Duration> arrivals() {
    const model::Duration Late = 1s * randomBelow(MaxOrderDelay / 1s);
    switch (randomBelow(8)) {
    case 0:
      return {};
    case 1:
      return {Late};
    case 2:
      return {0ms, Late};
    default:
      return {0ms};
    }
  }

  std::shared_ptr<const model::Intent> nextGeneration(model::Intent Value) {
    Value.m_Generation = {++m_Generation};
    return makeShared(std::move(Value));
  }

  void recoverStore() {
    m_Cluster.m_Store.m_Fault = [](const ports::StoreCall &) {
      return fakes::StoreFault::None;
    };
  }

  /// The lease expires and another node acquires it, whether the holder is
  /// paused or not.
  void takeOver() {
    const size_t Former = m_Cluster.m_Holder;
    if (!m_Cluster.m_Nodes[Former].m_Gone &&
        !m_Cluster.m_Nodes[Former].m_Paused) {
      m_Cluster.m_Nodes[Former].m_Core->leaseLost(
          core::placement::poolLease(m_Cluster.pool().m_Name));
    } else {
      m_Cluster.runFor(PlacementCluster::LeaseTerm, 5s);
    }
    for (size_t I = 0; I < m_Cluster.m_Nodes.size(); ++I)
      if (I != Former && !m_Cluster.m_Nodes[I].m_Gone &&
          !m_Cluster.m_Nodes[I].m_Paused)
        return m_Cluster.grantLease(I);
    m_Cluster.addNode();
    m_Cluster.grantLease(m_Cluster.m_Nodes.size() - 1);
  }

  void resumeAll() {
    for (size_t I = 0; I < m_Cluster.m_Nodes.size(); ++I)
      if (m_Cluster.m_Nodes[I].m_Paused)
        m_Cluster.resume(I);
  }

  void crash(size_t Engine) {
    for (const auto &Entry : m_Cluster.m_Engines[Engine].m_Copies)
      m_LostAt[Entry.first] = m_Cluster.m_Now;
    m_Cluster.m_Engines[Engine].restart();
  }

  void burst(uint32_t Model) {
    model::DemandSample Sample{
        .m_Artifact = {model::ModelId("m" + std::to_string(Model)), "v1", {}},
        .m_Arrivals = 100,
        .m_InTime = 50,
        .m_SlotSeconds = 100};
    for (PlacementCluster::Node &Node : m_Cluster.m_Nodes)
      if (!Node.m_Paused && !Node.m_Gone)
        Node.m_Core->demandReceived({Sample}, m_Cluster.m_Now);
  }

  void changeIntent(Action Kind, uint32_t Choice) {
    model::Intent Changed = m_Base;
    model::ModelSpec &Model = Changed.m_Models[Choice % 7];
    if (Kind == Action::Rollout && Choice % 3 != 0)
      Model.m_Versions.push_back({"v2", 30 * GiB, 10s});
    if (Kind == Action::Rollout && Choice % 3 != 1)
      Model.m_Versions.erase(Model.m_Versions.begin());
    if (Model.m_Versions.empty())
      Model.m_Versions.push_back({"v3", 30 * GiB, 10s});
    if (Kind == Action::Retire)
      Changed.m_Selectors.push_back({.m_Name = "retire",
                                     .m_Action = model::SelectorAction::Retire,
                                     .m_Models = {Model.m_Labels}});
    if (Kind == Action::Drain)
      Changed.m_Selectors.push_back(
          {.m_Name = "drain",
           .m_Action = model::SelectorAction::Drain,
           .m_Endpoints = {m_Cluster.m_Engines[Choice % 3].m_Spec.m_Name}});
    // Artifacts that are undeclared before or after the change may be unloaded.
    markUndeclared(*m_Cluster.m_Intent);
    markUndeclared(Changed);
    m_Cluster.changeIntent(nextGeneration(Changed));
  }

  void markUndeclared(const model::Intent &Value) {
    const core::placement::Catalog Catalog(makeShared(Value));
    for (const fakes::FakeEngine &Engine : m_Cluster.m_Engines)
      for (const auto &Entry : Engine.m_Copies)
        if (!Catalog.declares(Entry.first))
          m_LostAt[Entry.first] = m_Cluster.m_Now;
    for (const PlacementCluster::InTransitOrder &Sent : m_Cluster.m_InTransit)
      if (!Catalog.declares(Sent.m_Order.m_Artifact))
        m_LostAt[Sent.m_Order.m_Artifact] = m_Cluster.m_Now;
  }

  void checkUnload(const model::EngineOrder &Order, model::TimePoint SentAt) {
    if (m_Cluster.serving(Order.m_Artifact) > 0)
      return;
    const core::placement::Catalog Catalog(m_Cluster.m_Intent);
    auto Lost = m_LostAt.find(Order.m_Artifact);
    // A fault removed the other copy after the unload was decided.
    const bool Excused = Lost != m_LostAt.end() && Lost->second + 2s >= SentAt;
    if (Catalog.declares(Order.m_Artifact) && !Excused)
      m_Violations.push_back("unloaded the last answering copy of " +
                             model::toString(Order.m_Artifact) + " on " +
                             Order.m_Endpoint.str());
  }

  void checkMemory() {
    for (const fakes::FakeEngine &Engine : m_Cluster.m_Engines) {
      const uint64_t Usable = Engine.m_Spec.m_MemoryBytes / 100 * 90;
      if (Engine.m_PeakBytes > Usable)
        m_Violations.push_back("memory exceeded on " +
                               Engine.m_Spec.m_Name.str());
      const ports::StoredObject *Object = m_Cluster.m_Store.find(
          {ports::ObjectKind::Ledger, "engines." + Engine.m_Spec.m_Name.str()});
      if (!Object)
        continue;
      uint64_t Promised = 0;
      for (const model::LedgerEntry &Entry :
           std::get<model::EngineLedger>(Object->m_Record).m_Entries)
        Promised += Entry.m_MemoryBytes;
      if (Promised > Usable)
        m_Violations.push_back("promised twice on " +
                               Engine.m_Spec.m_Name.str());
    }
  }

  std::mt19937_64 m_Random;
  model::Intent m_Base;
  uint64_t m_Generation = 1;
  PlacementCluster m_Cluster;
  std::map<model::ArtifactId, model::TimePoint> m_LostAt;
  std::vector<std::string> m_Violations;
};

bool invariantsHold(model::FencingMode Fencing) {
  using ActionList = std::vector<std::pair<uint8_t, uint8_t>>;
  const rc::detail::TestParams Params{.seed = Seed,
                                      .maxSuccess = InterleavingsPerMode,
                                      .maxSize = 40,
                                      .maxDiscardRatio = 10,
                                      .disableShrinking = false};
  const rc::detail::TestMetadata Metadata;
  const rc::detail::TestResult Result = rc::detail::checkTestable(
      [Fencing](uint32_t RandomSeed, const ActionList &Actions) {
        Interleaving Run(Fencing, RandomSeed);
        Run.apply(Action::WaitLong, 0);
        for (const auto &Chosen : Actions)
          Run.apply(static_cast<Action>(Chosen.first % uint8_t(Action::Count)),
                    Chosen.second);
        if (Actions.size() % 4 == 0)
          Run.recover();
        for (const std::string &Violation : Run.violations())
          RC_LOG() << Violation << "\n";
        RC_ASSERT(Run.violations().empty());
      },
      Metadata, Params);
  if (Result.template is<rc::detail::SuccessResult>())
    return true;
  std::ostringstream Text;
  rc::detail::printResultMessage(Result, Text);
  MESSAGE(Text.str());
  return false;
}

} // namespace

TEST_CASE(
    "memory limits and last copies hold on engines that refuse old tokens") {
  CHECK(invariantsHold(model::FencingMode::Refuses));
}

TEST_CASE(
    "memory limits and last copies hold on engines that ignore old tokens") {
  CHECK(invariantsHold(model::FencingMode::Ignores));
}

} // namespace bronzepass::unit_tests::placement
