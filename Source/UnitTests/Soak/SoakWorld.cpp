#include "UnitTests/Soak/SoakWorld.h"

#include "UnitTests/Soak/CallerConnection.h"

namespace bronzepass::unit_tests::soak {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::chrono::milliseconds RenewPeriod = 300ms;
constexpr std::chrono::milliseconds ProbePeriod = 100ms;
/// A machine without trouble for this long is bound by what it can know.
constexpr std::chrono::milliseconds ContactTime = 3s;
constexpr std::chrono::milliseconds ConfigurationBound = 2s;
constexpr std::chrono::milliseconds BoundMargin = 300ms;
/// Until the entry of an endpoint that crashed is removed.
constexpr std::chrono::milliseconds LapseTime = 900ms;
constexpr std::chrono::milliseconds RestartTime = 600ms;
constexpr std::chrono::milliseconds LeaveSlack = 700ms;
/// Versions whose routes a configuration has, and those that are probed: a node
/// may have newer ones in force by then.
constexpr uint64_t KeptProbeRoutes = 8;
constexpr uint64_t ProbedRoutes = 5;
const char *const EngineService = "writer";
const char *const PlainService = "registry";

constexpr int UsualTimeoutMs = 8000;
constexpr int LongTimeoutMs = 20000;

json route(const std::string &Prefix, const char *Kind, const char *Service,
           int MaxAttempts, int TimeoutMs = UsualTimeoutMs) {
  return {{"Name", Prefix},
          {"Host", "h"},
          {"PathPrefix", Prefix},
          {"Kind", Kind},
          {"Service", Service},
          {"TimeoutMs", TimeoutMs},
          {"SloMs", 1000},
          {"Priority", 0},
          {"GapTargetMs", 400},
          {"MaxAttempts", MaxAttempts},
          {"AllowResume", Prefix == "/resume/"}};
}

} // namespace

std::vector<std::string> SoakWorld::models() {
  return {"m0", "m1", "m2", "m3", "m4", "m5"};
}

SoakWorld::SoakWorld(size_t NodeCount, uint16_t BasePort,
                     const std::string &Folder, PlantedFault Planted)
    : m_Shared{m_Store,
               m_Record,
               m_Faults,
               m_Orders,
               Planted,
               [this](SteadyTime Since) { return nodesAreBoundSince(Since); }},
      m_Shown(NodeCount) {
  changeConfiguration();
  for (const std::set<std::string> &Models : {std::set<std::string>{"m0", "m1"},
                                              {"m0", "m2"},
                                              {"m3", "m4"},
                                              {"m5", "m1"}})
    addEngine(Models);
  for (int I = 0; I < 2; ++I)
    m_Endpoints.push_back(std::make_unique<SoakEndpoint>(
        m_Shared, "s-" + std::to_string(I), PlainService, "v1",
        std::set<std::string>()));
  m_Nodes = std::make_unique<SoakNodes>(
      NodeCount, BasePort, Folder,
      [this](size_t) -> PlatformStore & { return m_Store; }, m_Record, Planted);
  if (Planted == PlantedFault::SilentConfiguration)
    m_Store.hideConfiguration();
  m_Threads.emplace_back([this] { keepRenewing(); });
  m_Threads.emplace_back([this] { keepProbing(); });
}

SoakWorld::~SoakWorld() {
  m_Stopping = true;
  for (std::thread &Each : m_Threads)
    Each.join();
  m_Store.stop();
}

bool SoakWorld::nodesAreBoundSince(SteadyTime Since) const {
  return m_Disturbances == 0 && m_DisturbedAt.load() + ContactTime < Since;
}

void SoakWorld::writeConfiguration() {
  json Routes = {route("/once/", "non_idempotent", PlainService, 1),
                 route("/again/", "idempotent", PlainService, 2),
                 route("/live/", "stream", EngineService, 1),
                 route("/resume/", "stream", EngineService, 3),
                 route("/long/", "stream", EngineService, 1, LongTimeoutMs)};
  const uint64_t Number = m_Version.m_Number;
  const bool DropsRoutes = m_Shared.m_Planted == PlantedFault::DroppedRoutes;
  const uint64_t KeptRoutes = DropsRoutes ? 0 : KeptProbeRoutes;
  for (uint64_t I = Number > KeptRoutes ? Number - KeptRoutes : 1; I <= Number;
       ++I)
    Routes.push_back(
        route("/v" + std::to_string(I) + "/", "idempotent", PlainService, 2));
  json Models = json::array();
  for (const std::string &Each : models())
    Models.push_back({{"Name", Each},
                      {"WeightsMb", SoakEndpoint::ModelWeightsMb},
                      {"LoadTimeS", 0.4},
                      {"Adapters", 0},
                      {"AdapterMb", 0}});
  const json Engine = {{"Slots", SoakEndpoint::EngineSlots},
                       {"KvCapacity", 100000},
                       {"WeightsMb", SoakEndpoint::EngineWeightsMb},
                       {"AdapterSlots", 0},
                       {"LoadsPerS", 4},
                       {"Models", Models}};
  m_Store.put("config", "main",
              {{"Version", Number},
               {"Routes", Routes},
               {"Services",
                {{{"Name", EngineService}, {"MaxConns", 0}, {"Engine", Engine}},
                 {{"Name", PlainService}, {"MaxConns", 0}}}}});
}

void SoakWorld::changeConfiguration() {
  const std::scoped_lock Lock(m_Mutex);
  ++m_Version.m_Number;
  writeConfiguration();
  m_Version.m_AcknowledgedAt = std::chrono::steady_clock::now();
}

SoakEndpoint &SoakWorld::addEngine(std::set<std::string> Models) {
  // The name of no model makes an engine that holds none.
  Models.insert("-");
  // One in three has another software version.
  const char *const SoftwareVersion = ++m_LastEndpoint % 3 == 0 ? "v1.1" : "v1";
  m_Endpoints.push_back(std::make_unique<SoakEndpoint>(
      m_Shared, "e-" + std::to_string(m_LastEndpoint), EngineService,
      SoftwareVersion, Models));
  return *m_Endpoints.back();
}

SoakEndpoint *SoakWorld::pickEngine(uint64_t Draw) {
  std::vector<SoakEndpoint *> Up;
  for (const std::unique_ptr<SoakEndpoint> &Each : m_Endpoints)
    if (Each->id().rfind("e-", 0) == 0 && Each->isServing())
      Up.push_back(Each.get());
  // At least two are left, so that most models can be served.
  return Up.size() > 2 ? Up[Draw % Up.size()] : nullptr;
}

void SoakWorld::crashEngine(uint64_t Draw) {
  SoakEndpoint *Lost = nullptr;
  {
    const std::scoped_lock Lock(m_Mutex);
    Lost = pickEngine(Draw);
    if (!Lost)
      return;
    Lost->crash();
  }
  std::this_thread::sleep_for(LapseTime);
  Lost->unregister();
  std::this_thread::sleep_for(RestartTime);
  const std::scoped_lock Lock(m_Mutex);
  addEngine({});
}

void SoakWorld::replaceEngine(uint64_t Draw) {
  SoakEndpoint *Leaving = nullptr;
  {
    const std::scoped_lock Lock(m_Mutex);
    addEngine({});
    Leaving = pickEngine(Draw);
    if (!Leaving)
      return;
    Leaving->startDraining();
  }
  std::this_thread::sleep_for(SoakEndpoint::LeaveNotice + LeaveSlack);
  Leaving->unregister();
  std::this_thread::sleep_for(LeaveSlack);
  Leaving->crash();
}

void SoakWorld::restoreStore(std::chrono::milliseconds Age,
                             std::chrono::milliseconds Again) {
  const Disturbance Here(*this);
  m_RenewalsStopped = true;
  m_Store.restore(Age);
  std::this_thread::sleep_for(Again / 2);
  {
    const std::scoped_lock Lock(m_Mutex);
    writeConfiguration();
    m_Version.m_AcknowledgedAt = std::chrono::steady_clock::now();
  }
  std::this_thread::sleep_for(Again / 2);
  {
    // What had left is removed again, as its time runs out.
    const std::scoped_lock Lock(m_Mutex);
    for (const std::unique_ptr<SoakEndpoint> &Each : m_Endpoints)
      if (!Each->isRegistered())
        Each->unregister();
  }
  m_RenewalsStopped = false;
}

void SoakWorld::keepRenewing() {
  while (!m_Stopping) {
    if (!m_RenewalsStopped) {
      const std::scoped_lock Lock(m_Mutex);
      for (const std::unique_ptr<SoakEndpoint> &Each : m_Endpoints)
        Each->renew();
    }
    std::this_thread::sleep_for(RenewPeriod);
  }
}

void SoakWorld::keepProbing() {
  std::mt19937_64 Random;
  size_t Node = 0;
  while (!m_Stopping) {
    std::this_thread::sleep_for(ProbePeriod);
    Version Newest;
    {
      const std::scoped_lock Lock(m_Mutex);
      Newest = m_Version;
    }
    Node = (Node + 1) % m_Nodes->count();
    const uint64_t Back =
        std::min(Random() % ProbedRoutes, Newest.m_Number - 1);
    if (m_Nodes->isRunning(Node))
      probe(Node, Newest, Newest.m_Number - Back);
  }
}

void SoakWorld::probe(size_t Node, const Version &Newest, uint64_t Asked) {
  constexpr int NotFound = 404;
  const uint64_t Incarnation = m_Nodes->incarnation(Node);
  const SteadyTime SentAt = std::chrono::steady_clock::now();
  const bool IsBound =
      nodesAreBoundSince(Newest.m_AcknowledgedAt) &&
      m_Nodes->isUndisturbedSince(Node, SentAt - ContactTime) &&
      SentAt - Newest.m_AcknowledgedAt > ConfigurationBound + BoundMargin;
  CallerConnection Connection(m_Nodes->callerPort(Node));
  if (!Connection.isOpen())
    return;
  const std::string Id = "probe-" + std::to_string(++m_Probes);
  m_Record.onSent(Id, RequestKind::Repeatable);
  Connection.send("GET /v" + std::to_string(Asked) +
                  "/p HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + Id +
                  "\r\nX-Deadline-Ms: 2000\r\n\r\n");
  const int Status = Connection.receive().m_Status;
  if (m_Nodes->incarnation(Node) != Incarnation)
    return;
  auto &[Shown, ShownBy] = m_Shown[Node];
  if (Status == 200 && (ShownBy != Incarnation || Asked > Shown))
    m_Shown[Node] = {Asked, Incarnation};
  if (Status != NotFound)
    return;
  const std::string What = "node-" + std::to_string(Node) +
                           " answers 404 to a route of version " +
                           std::to_string(Asked);
  if (ShownBy == Incarnation && Asked <= Shown)
    m_Record.violation("versions never go back", What);
  else if (IsBound)
    m_Record.violation("configuration in time", What);
}

} // namespace bronzepass::unit_tests::soak
