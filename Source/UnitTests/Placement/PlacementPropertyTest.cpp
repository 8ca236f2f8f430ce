#include "UnitTests/Placement/PlacementCluster.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>
#include <sstream>

namespace bronzepass::unit_tests::placement {

namespace {

constexpr uint64_t Seed = 20261203;
constexpr int InterleavingsPerMode = 5000;
constexpr model::Duration LatestArrival = 20s;
/// One thing that happens between two steps.
enum class Act : uint8_t {
  Wait,
  WaitLong,
  Pause,
  Wake,
  Kill,
  TakeOver,
  Crash,
  CutOff,
  Reconnect,
  StoreFault,
  StoreMend,
  Burst,
  Rollout,
  Retire,
  Drain,
  Restore,
  Count,
};

/// Drives a world by a list of acts and checks what must always hold.
class Interleaving {
public:
  Interleaving(model::FencingMode Fencing, uint32_t FateSeed)
      : m_Fate(FateSeed), m_Base(makeSmallIntent(3, 7, Fencing)),
        m_World(share(m_Base), 2, settings()) {
    m_Base.m_Adapters.push_back({.m_Name = model::AdapterId("a"),
                                 .m_Base = model::ModelId("m0"),
                                 .m_MemoryBytes = 2 * GiB});
    m_World.changeIntent(next(m_Base));
    for (fakes::FakeEngine &Engine : m_World.m_Engines)
      Engine.m_LoadTime = 10s;
    m_World.m_Network = [this] { return arrivals(); };
    m_World.m_LoseAnswer = [this] { return roll(4) == 0; };
    m_World.m_UnloadWatch = [this](const auto &Order, model::TimePoint At) {
      checkUnload(Order, At);
    };
    m_World.m_AfterStep = [this] { checkMemory(); };
    m_World.grantLease(0);
  }

  void act(Act What, uint32_t Choice) {
    PlacementCluster &World = m_World;
    const size_t Engine = Choice % World.m_Engines.size();
    switch (What) {
    case Act::WaitLong:
      World.runFor(12s, 2s);
      break;
    case Act::Pause:
      World.pause(World.m_Holder);
      break;
    case Act::Wake:
      wakeAll();
      break;
    case Act::Kill:
      if (World.m_Nodes.size() < 5) {
        World.kill(World.m_Holder);
        takeOver();
      }
      break;
    case Act::TakeOver:
      takeOver();
      break;
    case Act::Crash:
      crash(Engine);
      break;
    case Act::CutOff:
      World.m_Reachable[Engine] = false;
      break;
    case Act::Reconnect:
      World.m_Reachable.assign(World.m_Reachable.size(), true);
      break;
    case Act::StoreFault:
      World.m_Store.m_Fault = [this](const ports::StoreCall &) {
        return static_cast<fakes::StoreFault>(roll(5));
      };
      break;
    case Act::StoreMend:
      mendStore();
      break;
    case Act::Burst:
      burst(Choice % 7);
      break;
    case Act::Rollout:
    case Act::Retire:
    case Act::Drain:
    case Act::Restore:
      changeIntent(What, Choice);
      break;
    default:
      break;
    }
    World.step(1s);
  }

  /// Ends all faults; in time every declared model has to answer.
  void comeToRest() {
    mendStore();
    m_World.m_Reachable.assign(m_World.m_Reachable.size(), true);
    m_World.m_Network = [] { return std::vector<model::Duration>{0ms}; };
    m_World.m_LoseAnswer = [] { return false; };
    wakeAll();
    if (m_World.m_Nodes[m_World.m_Holder].m_Gone)
      takeOver();
    changeIntent(Act::Restore, 0);
    m_World.runFor(4min, 2s);
    for (const model::ModelSpec &Model : m_Base.m_Models)
      for (const model::VersionSpec &Version : Model.m_Versions)
        if (m_World.serving({Model.m_Name, Version.m_Version, {}}) == 0)
          m_Faults.push_back("at rest " + Model.m_Name.str() +
                             " does not answer");
  }

  const std::vector<std::string> &faults() const { return m_Faults; }

private:
  static core::placement::PlacementSettings settings() {
    core::placement::PlacementSettings Settings;
    Settings.m_OrderLifetime = LatestArrival * 2;
    Settings.m_TakeBackAfter = 20s;
    Settings.m_RetireIdle = 4s;
    Settings.m_BurstHorizon = 10min;
    return Settings;
  }

  uint32_t roll(uint32_t Sides) {
    return static_cast<uint32_t>(m_Fate() % Sides);
  }

  /// In one of four times lost, late, or arriving twice.
  std::vector<model::Duration> arrivals() {
    const model::Duration Late = 1s * roll(LatestArrival / 1s);
    switch (roll(8)) {
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

  std::shared_ptr<const model::Intent> next(model::Intent Value) {
    Value.m_Generation = {++m_Generation};
    return share(std::move(Value));
  }

  void mendStore() {
    m_World.m_Store.m_Fault = [](const ports::StoreCall &) {
      return fakes::StoreFault::None;
    };
  }

  /// The lease lapses and another node takes it, be the holder paused or not.
  void takeOver() {
    const size_t Former = m_World.m_Holder;
    if (!m_World.m_Nodes[Former].m_Gone && !m_World.m_Nodes[Former].m_Paused) {
      m_World.m_Nodes[Former].m_Core->leaseLost(
          core::placement::poolLease(m_World.pool().m_Name));
    } else {
      m_World.runFor(PlacementCluster::LeaseTerm, 5s);
    }
    for (size_t I = 0; I < m_World.m_Nodes.size(); ++I)
      if (I != Former && !m_World.m_Nodes[I].m_Gone &&
          !m_World.m_Nodes[I].m_Paused)
        return m_World.grantLease(I);
    m_World.addNode();
    m_World.grantLease(m_World.m_Nodes.size() - 1);
  }

  void wakeAll() {
    for (size_t I = 0; I < m_World.m_Nodes.size(); ++I)
      if (m_World.m_Nodes[I].m_Paused)
        m_World.wake(I);
  }

  void crash(size_t Engine) {
    for (const auto &Entry : m_World.m_Engines[Engine].m_Copies)
      m_LostAt[Entry.first] = m_World.m_Now;
    m_World.m_Engines[Engine].restart();
  }

  void burst(uint32_t Model) {
    model::DemandSample Sample{
        .m_Artifact = {model::ModelId("m" + std::to_string(Model)), "v1", {}},
        .m_Arrivals = 100,
        .m_InTime = 50,
        .m_SlotSeconds = 100};
    for (PlacementCluster::Node &Node : m_World.m_Nodes)
      if (!Node.m_Paused && !Node.m_Gone)
        Node.m_Core->demandReceived({Sample}, m_World.m_Now);
  }

  void changeIntent(Act What, uint32_t Choice) {
    model::Intent Changed = m_Base;
    model::ModelSpec &Model = Changed.m_Models[Choice % 7];
    if (What == Act::Rollout && Choice % 3 != 0)
      Model.m_Versions.push_back({"v2", 30 * GiB, 10s});
    if (What == Act::Rollout && Choice % 3 != 1)
      Model.m_Versions.erase(Model.m_Versions.begin());
    if (Model.m_Versions.empty())
      Model.m_Versions.push_back({"v3", 30 * GiB, 10s});
    if (What == Act::Retire)
      Changed.m_Selectors.push_back({.m_Name = "retire",
                                     .m_Action = model::SelectorAction::Retire,
                                     .m_Models = {Model.m_Labels}});
    if (What == Act::Drain)
      Changed.m_Selectors.push_back(
          {.m_Name = "drain",
           .m_Action = model::SelectorAction::Drain,
           .m_Endpoints = {m_World.m_Engines[Choice % 3].m_Spec.m_Name}});
    // What was or will be undeclared may go away from now on.
    markUndeclared(*m_World.m_Intent);
    markUndeclared(Changed);
    m_World.changeIntent(next(Changed));
  }

  void markUndeclared(const model::Intent &Value) {
    const core::placement::Catalog Catalog(share(Value));
    for (const fakes::FakeEngine &Engine : m_World.m_Engines)
      for (const auto &Entry : Engine.m_Copies)
        if (!Catalog.declares(Entry.first))
          m_LostAt[Entry.first] = m_World.m_Now;
    for (const PlacementCluster::InTransit &Sent : m_World.m_InTransit)
      if (!Catalog.declares(Sent.m_Order.m_Artifact))
        m_LostAt[Sent.m_Order.m_Artifact] = m_World.m_Now;
  }

  void checkUnload(const model::EngineOrder &Order, model::TimePoint SentAt) {
    if (m_World.serving(Order.m_Artifact) > 0)
      return;
    const core::placement::Catalog Catalog(m_World.m_Intent);
    auto Lost = m_LostAt.find(Order.m_Artifact);
    // A fault took the other copy after the order was decided.
    const bool Excused = Lost != m_LostAt.end() && Lost->second + 2s >= SentAt;
    if (Catalog.declares(Order.m_Artifact) && !Excused)
      m_Faults.push_back("unloaded the last answering copy of " +
                         model::toString(Order.m_Artifact) + " on " +
                         Order.m_Endpoint.str());
  }

  void checkMemory() {
    for (const fakes::FakeEngine &Engine : m_World.m_Engines) {
      const uint64_t Usable = Engine.m_Spec.m_MemoryBytes / 100 * 90;
      if (Engine.m_PeakBytes > Usable)
        m_Faults.push_back("memory exceeded on " + Engine.m_Spec.m_Name.str());
      const ports::StoredObject *Object = m_World.m_Store.find(
          {ports::ObjectKind::Ledger, "engines." + Engine.m_Spec.m_Name.str()});
      if (!Object)
        continue;
      uint64_t Promised = 0;
      for (const model::LedgerEntry &Entry :
           std::get<model::EngineLedger>(Object->m_Record).m_Entries)
        Promised += Entry.m_MemoryBytes;
      if (Promised > Usable)
        m_Faults.push_back("promised twice on " + Engine.m_Spec.m_Name.str());
    }
  }

  std::mt19937_64 m_Fate;
  model::Intent m_Base;
  uint64_t m_Generation = 1;
  PlacementCluster m_World;
  std::map<model::ArtifactId, model::TimePoint> m_LostAt;
  std::vector<std::string> m_Faults;
};

bool holds(model::FencingMode Fencing) {
  using ActList = std::vector<std::pair<uint8_t, uint8_t>>;
  const rc::detail::TestParams Params{.seed = Seed,
                                      .maxSuccess = InterleavingsPerMode,
                                      .maxSize = 40,
                                      .maxDiscardRatio = 10,
                                      .disableShrinking = false};
  const rc::detail::TestMetadata Metadata;
  const rc::detail::TestResult Result = rc::detail::checkTestable(
      [Fencing](uint32_t FateSeed, const ActList &Acts) {
        Interleaving Run(Fencing, FateSeed);
        Run.act(Act::WaitLong, 0);
        for (const auto &Chosen : Acts)
          Run.act(static_cast<Act>(Chosen.first % uint8_t(Act::Count)),
                  Chosen.second);
        if (Acts.size() % 4 == 0)
          Run.comeToRest();
        for (const std::string &Fault : Run.faults())
          RC_LOG() << Fault << "\n";
        RC_ASSERT(Run.faults().empty());
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

TEST_CASE("memory and last copies hold on engines that refuse old tokens") {
  CHECK(holds(model::FencingMode::Refuses));
}

TEST_CASE("memory and last copies hold on engines that ignore old tokens") {
  CHECK(holds(model::FencingMode::Ignores));
}

} // namespace bronzepass::unit_tests::placement
