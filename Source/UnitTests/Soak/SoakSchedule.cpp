#include "UnitTests/Soak/SoakSchedule.h"

#include <algorithm>
#include <thread>

namespace bronzepass::unit_tests::soak {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds ReadyTimeout = 10s;
/// After the last trouble: the time within which all is served again.
constexpr milliseconds RecoveryTime = 5s;
constexpr milliseconds MeasuredTime = 2s;
constexpr double RecoveredShare = 0.9;
constexpr milliseconds CalmBefore = 1s;
constexpr milliseconds TroubleSpan = 6s;
/// From the last trouble's begin until its end and the contact time are over.
constexpr milliseconds SettlingTime = 7s;
/// Until the bounds on a planned change are over.
constexpr milliseconds ObservedTime = 3500ms;
constexpr milliseconds PlannedSpan = SettlingTime + ObservedTime + 1s;
constexpr milliseconds AliveCheckPeriod = 500ms;

const StoreAccess NodeAccesses[] = {
    StoreAccess::Silent, StoreAccess::Unavailable, StoreAccess::TooMany,
    StoreAccess::Reset, StoreAccess::Mute};
const StoreAccess StoreAccesses[] = {
    StoreAccess::Silent, StoreAccess::Unavailable,       StoreAccess::Reset,
    StoreAccess::Mute,   StoreAccess::LosesWriteAnswers, StoreAccess::Slow};

} // namespace

milliseconds SoakSchedule::between(int Low, int High) {
  return milliseconds(std::uniform_int_distribution<int>(Low, High)(m_Random));
}

std::optional<size_t> SoakSchedule::takeNode(uint64_t Draw) {
  const std::scoped_lock Lock(m_NodeMutex);
  std::vector<size_t> Free;
  for (size_t I = 0; I < m_World.nodes().count(); ++I)
    if (!m_BusyNodes.contains(I) && m_World.nodes().isRunning(I))
      Free.push_back(I);
  // One node is always left alone.
  if (Free.size() < 2)
    return std::nullopt;
  const size_t Taken = Free[Draw % Free.size()];
  m_BusyNodes.insert(Taken);
  return Taken;
}

void SoakSchedule::releaseNode(size_t Node) {
  const std::scoped_lock Lock(m_NodeMutex);
  m_BusyNodes.erase(Node);
}

void SoakSchedule::stopNode(uint64_t Draw) {
  const std::optional<size_t> Node = takeNode(Draw);
  if (!Node)
    return;
  m_World.nodes().stopAndWait(*Node);
  m_World.nodes().start(*Node);
  releaseNode(*Node);
}

void SoakSchedule::killNode(uint64_t Draw, milliseconds Down) {
  const std::optional<size_t> Node = takeNode(Draw);
  if (!Node)
    return;
  const SoakWorld::Disturbance Here(m_World);
  m_World.nodes().kill(*Node);
  std::this_thread::sleep_for(Down);
  m_World.nodes().start(*Node);
  releaseNode(*Node);
}

void SoakSchedule::killAll() {
  const SoakWorld::Disturbance Here(m_World);
  std::vector<size_t> Killed;
  {
    const std::scoped_lock Lock(m_NodeMutex);
    for (size_t I = 0; I < m_World.nodes().count(); ++I)
      if (m_World.nodes().isRunning(I) && m_BusyNodes.insert(I).second)
        Killed.push_back(I);
  }
  for (const size_t Each : Killed)
    m_World.nodes().kill(Each);
  for (const size_t Each : Killed) {
    m_World.nodes().start(Each);
    releaseNode(Each);
  }
}

void SoakSchedule::pauseNode(uint64_t Draw, milliseconds For) {
  const std::optional<size_t> Node = takeNode(Draw);
  if (!Node)
    return;
  const SoakWorld::Disturbance Here(m_World);
  m_World.nodes().pause(*Node);
  std::this_thread::sleep_for(For);
  m_World.nodes().resume(*Node);
  releaseNode(*Node);
}

void SoakSchedule::disturbStore(StoreAccess Access, milliseconds For) {
  const SoakWorld::Disturbance Here(m_World);
  m_World.store().setAccess(Access);
  std::this_thread::sleep_for(For);
  m_World.store().setAccess(StoreAccess::Normal);
}

void SoakSchedule::disturbNodeStore(uint64_t Draw, StoreAccess Access,
                                    milliseconds For) {
  const SoakWorld::Disturbance Here(m_World);
  const size_t Node = Draw % m_World.nodes().count();
  m_World.nodes().setAccess(Node, Access);
  std::this_thread::sleep_for(For);
  m_World.nodes().setAccess(Node, StoreAccess::Normal);
}

void SoakSchedule::disturbAnswers(milliseconds For) {
  EndpointFaults &Faults = m_World.faults();
  constexpr double Usual = EndpointFaults::UsualShare;
  for (std::atomic<double> *const Each :
       {&Faults.m_CutShare, &Faults.m_ExtraShare, &Faults.m_LostShare,
        &Faults.m_RefusedShare})
    *Each = 5 * Usual;
  Faults.m_MuteShare = Usual / 2;
  Faults.m_LateOrderShare = 0.5;
  std::this_thread::sleep_for(For);
  for (std::atomic<double> *const Each :
       {&Faults.m_CutShare, &Faults.m_ExtraShare, &Faults.m_RefusedShare})
    *Each = Usual;
  Faults.m_LostShare = Usual / 4;
  Faults.m_MuteShare = 0;
  Faults.m_LateOrderShare = 0;
}

std::function<void()> SoakSchedule::randomAction(SoakCallers &Callers) {
  const uint64_t Draw = m_Random();
  const milliseconds For = between(500, 3500);
  switch (m_Random() % 14) {
  case 0:
  case 1:
    return [=, this] { stopNode(Draw); };
  case 2:
    return [=, this] { killNode(Draw, For / 3); };
  case 3:
    return [=, this] { pauseNode(Draw, For); };
  case 4:
    return [=, this] { m_World.crashEngine(Draw); };
  case 5:
    return [=, this] { m_World.replaceEngine(Draw); };
  case 6:
    return [=, this] {
      disturbStore(StoreAccesses[Draw % std::size(StoreAccesses)], For);
    };
  case 7:
    return [=, this] {
      disturbNodeStore(Draw >> 8U, NodeAccesses[Draw % std::size(NodeAccesses)],
                       For);
    };
  case 8:
    return [=, this] {
      const SoakWorld::Disturbance Here(m_World);
      m_World.store().compact();
    };
  case 9:
    return [=, this] { m_World.restoreStore(For, For / 4); };
  case 10:
    return [=, this] { disturbAnswers(For); };
  case 11:
    return [=, &Callers] {
      Callers.setLeaveShare(0.2);
      std::this_thread::sleep_for(For);
      Callers.setLeaveShare(SoakCallers::UsualLeaveShare);
    };
  case 12:
    return [=, this] {
      m_World.nodes().reload(Draw % m_World.nodes().count());
      m_World.changeConfiguration();
    };
  default:
    if (Draw % 4 == 0)
      return [=, this] { killAll(); };
    return [=, this] { m_World.changeConfiguration(); };
  }
}

/// Spans of troubles of all kinds, and between them spans of planned changes
/// alone, in which the bounds on what nodes know hold.
std::vector<SoakSchedule::Event>
SoakSchedule::randomEvents(milliseconds End, SoakCallers &Callers) {
  std::vector<Event> Events;
  milliseconds At = CalmBefore;
  while (At + PlannedSpan <= End) {
    const milliseconds TroubleEnd = At + std::min(TroubleSpan, End - At);
    for (; At < TroubleEnd; At += between(100, 1200))
      Events.push_back({At, randomAction(Callers)});
    At += SettlingTime;
    if (At > End)
      break;
    const uint64_t Draw = m_Random();
    Events.push_back({At, [this] { m_World.changeConfiguration(); }});
    At += between(0, 500);
    Events.push_back({At, [=, this] { m_World.replaceEngine(Draw); }});
    At += between(0, 500);
    Events.push_back({At, [=, this] {
                        m_World.nodes().reload((Draw + 1) %
                                               m_World.nodes().count());
                        stopNode(Draw);
                      }});
    At += ObservedTime;
  }
  return Events;
}

/// The store is restored twice, each time right after a change of everything
/// that lives there: the configuration, an engine's entry, the nodes' entries,
/// the lease. Once the nodes are bound again, changes have to reach them.
std::vector<SoakSchedule::Event> SoakSchedule::restoreEvents() {
  std::vector<Event> Events;
  for (const milliseconds At : {1000ms, 11000ms}) {
    const uint64_t Draw = m_Random();
    Events.push_back({At, [=, this] { m_World.replaceEngine(Draw); }});
    Events.push_back({At + 200ms, [=, this] { killNode(Draw, 100ms); }});
    Events.push_back(
        {At + 700ms, [=, this] { m_World.changeConfiguration(); }});
    const milliseconds Age = between(1000, 3000);
    const milliseconds Again = between(200, 1500);
    Events.push_back(
        {At + 800ms, [=, this] { m_World.restoreStore(Age, Again); }});
    const milliseconds Bound = At + 800ms + Again + 3500ms;
    Events.push_back({Bound, [this] { m_World.changeConfiguration(); }});
    Events.push_back({Bound, [=, this] { m_World.replaceEngine(Draw >> 8U); }});
  }
  return Events;
}

void SoakSchedule::awaitReady() {
  const SteadyTime End = std::chrono::steady_clock::now() + ReadyTimeout;
  for (size_t I = 0; I < m_World.nodes().count(); ++I)
    while (!m_World.nodes().isReady(I)) {
      if (std::chrono::steady_clock::now() > End) {
        m_World.record().violation("recovery", "node-" + std::to_string(I) +
                                                   " does not become ready");
        return;
      }
      std::this_thread::sleep_for(20ms);
    }
}

void SoakSchedule::checkRecovery(SoakCallers &Callers) {
  if (m_World.planted() == PlantedFault::NoRecovery)
    m_World.faults().m_RefusedShare = 0.9;
  std::this_thread::sleep_for(RecoveryTime);
  Callers.takeCounts();
  std::this_thread::sleep_for(MeasuredTime);
  const auto [Sent, Served] = Callers.takeCounts();
  if (static_cast<double>(Served) < RecoveredShare * static_cast<double>(Sent))
    m_World.record().violation("recovery", std::to_string(Served) + " of " +
                                               std::to_string(Sent) +
                                               " requests are served");
}

void SoakSchedule::run(const std::string &Scenario, std::chrono::seconds Length,
                       SoakCallers &Callers) {
  awaitReady();
  const std::vector<Event> Events =
      Scenario == "restore"
          ? restoreEvents()
          : randomEvents(Length - RecoveryTime - MeasuredTime, Callers);
  const SteadyTime Start = std::chrono::steady_clock::now();
  std::vector<std::thread> Actions;
  SteadyTime NextCheck = Start;
  for (const Event &Each : Events) {
    while (std::chrono::steady_clock::now() < Start + Each.m_At) {
      std::this_thread::sleep_for(10ms);
      if (std::chrono::steady_clock::now() >= NextCheck) {
        m_World.nodes().checkAlive();
        NextCheck = std::chrono::steady_clock::now() + AliveCheckPeriod;
      }
    }
    Actions.emplace_back(Each.m_Action);
  }
  for (std::thread &Each : Actions)
    Each.join();
  awaitReady();
  checkRecovery(Callers);
  m_World.nodes().checkAlive();
  std::vector<std::thread> Stops;
  for (size_t I = 0; I < m_World.nodes().count(); ++I)
    Stops.emplace_back([this, I] { m_World.nodes().stopAndWait(I); });
  for (std::thread &Each : Stops)
    Each.join();
}

} // namespace bronzepass::unit_tests::soak
