#include "UnitTests/Losses/GoneNodes.h"

#include "UnitTests/Soak/CallerConnection.h"

#include <atomic>
#include <chrono>
#include <iostream>
#include <thread>

namespace bronzepass::unit_tests::losses {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::chrono::seconds ReadyLimit = 30s;
constexpr std::chrono::milliseconds LookPeriod = 20ms;
constexpr int EngineCount = 12;
/// Within which a record has to stand in the store.
constexpr std::chrono::seconds RecordLimit = 6s;
/// Within which entries of nodes that are gone have to be removed, and one that
/// was taken away from a live node has to be back.
constexpr std::chrono::seconds RemovalLimit = 60s;
constexpr std::chrono::seconds ReturnLimit = 10s;
constexpr std::chrono::seconds ContactTime = 3s;
/// Engines that a request may reach after that.
constexpr int MaxLateEngines = 3;
constexpr int TriesPerNode = 3;
/// Crashes after which it has to be refused.
constexpr int Crashes = 3;

bool isRecorded(const soak::PlatformStore &Store) {
  return !Store.names("bronzepass-streams").empty();
}

/// Time until a record stood in the store; nullopt if none did.
std::optional<std::chrono::milliseconds>
awaitRecord(const soak::PlatformStore &Store) {
  const soak::SteadyTime Start = std::chrono::steady_clock::now();
  while (!isRecorded(Store)) {
    if (std::chrono::steady_clock::now() > Start + RecordLimit)
      return std::nullopt;
    std::this_thread::sleep_for(LookPeriod);
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - Start);
}

} // namespace

void addGoneEntries(soak::PlatformStore &Store, size_t Count) {
  constexpr int DiscardPort = 9;
  constexpr int CpuPercent = 800;
  for (size_t I = 0; I < Count; ++I)
    Store.put("bronzepass-nodes", "gone-" + std::to_string(I),
              {{"ip", "127.0.0.1"},
               {"port", DiscardPort},
               {"failureDomain", "z0"},
               {"cpuPercent", CpuPercent}});
}

GoneNodes::GoneNodes(const std::string &Folder, uint16_t Port, size_t Live,
                     size_t Gone) {
  m_Store.put("config", "main",
              {{"Version", 1},
               {"Limits",
                {{"MaxHeaderBytes", 8 << 10},
                 {"MaxBodyBytes", 64 << 10},
                 {"HeaderTimeoutMs", 3000},
                 {"IdleTimeoutMs", 15000}}},
               {"Routes",
                {{{"Name", Route},
                  {"Host", "h"},
                  {"PathPrefix", std::string("/") + Route + "/"},
                  {"Kind", "idempotent"},
                  {"Service", "plain"},
                  {"TimeoutMs", 4000},
                  {"SloMs", 1000},
                  {"Priority", 0},
                  {"MaxAttempts", 1}}}},
               {"Services", {{{"Name", "plain"}, {"MaxConns", 0}}}}});
  for (int I = 0; I < EngineCount; ++I)
    m_Engines.push_back(
        std::make_unique<CrashingEngine>(m_Store, I, I % 2 == 0 ? "v1" : "v2"));
  addGoneEntries(m_Store, Gone);
  m_Nodes = std::make_unique<soak::SoakNodes>(
      Live, Port, Folder,
      [this](size_t) -> soak::PlatformStore & { return m_Store; }, m_Record,
      soak::PlantedFault::None);
}

bool GoneNodes::start() {
  for (size_t I = 0; I < count(); ++I)
    m_Nodes->start(I);
  const soak::SteadyTime End = std::chrono::steady_clock::now() + ReadyLimit;
  for (size_t I = 0; I < count(); ++I)
    while (!m_Nodes->isReady(I)) {
      if (std::chrono::steady_clock::now() > End)
        return false;
      std::this_thread::sleep_for(LookPeriod);
    }
  return true;
}

void GoneNodes::sendCrashing(size_t Node, const std::string &Content) {
  static std::atomic<uint64_t> LastId = 0;
  soak::CallerConnection Connection(m_Nodes->callerPort(Node));
  const std::string Request =
      "GET /" + std::string(Route) + "/" + Content +
      " HTTP/1.1\r\nHost: h\r\nX-Request-Id: g" + std::to_string(++LastId) +
      "\r\nX-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n";
  if (Connection.isOpen() && Connection.send(Request))
    Connection.receive();
}

int GoneNodes::begun() const {
  int Sum = 0;
  for (const auto &Each : m_Engines)
    Sum += Each->begun();
  return Sum;
}

int runRecord(const std::string &Folder, uint16_t Port) {
  constexpr size_t Live = 6;
  constexpr size_t Gone = 48;
  GoneNodes Nodes(Folder, Port, Live, Gone);
  if (!Nodes.start()) {
    std::cerr << "broken: a node does not become ready" << std::endl;
    return 1;
  }
  const std::optional<std::chrono::milliseconds> Recorded =
      awaitRecord(Nodes.store());
  if (!Recorded) {
    std::cerr << "broken: nobody records the origins of streams" << std::endl;
    return 1;
  }
  std::cerr << "recorded after " << Recorded->count() << " ms" << std::endl;
  return 0;
}

int runRemoval(const std::string &Folder, uint16_t Port) {
  constexpr size_t Live = 4;
  constexpr size_t Gone = 60;
  GoneNodes Nodes(Folder, Port, Live, Gone);
  if (!Nodes.start()) {
    std::cerr << "broken: a node does not become ready" << std::endl;
    return 1;
  }
  const auto AwaitEntries = [&](size_t Count, std::chrono::seconds Limit) {
    const soak::SteadyTime Start = std::chrono::steady_clock::now();
    while (Nodes.store().names("bronzepass-nodes").size() != Count) {
      if (std::chrono::steady_clock::now() > Start + Limit) {
        std::cerr << "broken: "
                  << Nodes.store().names("bronzepass-nodes").size()
                  << " entries of nodes instead of " << Count << std::endl;
        return false;
      }
      std::this_thread::sleep_for(LookPeriod);
    }
    std::cerr << Count << " entries after "
              << std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::steady_clock::now() - Start)
                     .count()
              << " ms" << std::endl;
    return true;
  };
  if (!AwaitEntries(Live + Gone, ReturnLimit))
    return 1;
  // Long enough to be taken for gone as well.
  Nodes.pause(0);
  if (!AwaitEntries(Live - 1, RemovalLimit))
    return 1;
  Nodes.resume(0);
  return AwaitEntries(Live, ReturnLimit) ? 0 : 1;
}

int runQuarantine(const std::string &Folder, uint16_t Port) {
  constexpr size_t Live = 8;
  constexpr size_t Gone = 240;
  constexpr std::chrono::seconds SettlingTime = 8s;
  GoneNodes Nodes(Folder, Port, Live, Gone);
  if (!Nodes.start()) {
    std::cerr << "broken: a node does not become ready" << std::endl;
    return 1;
  }
  std::this_thread::sleep_for(SettlingTime);
  // All at one node: the others learn of the crashes from it alone.
  while (Nodes.begun() < Crashes) {
    Nodes.sendCrashing(0, "same");
    std::this_thread::sleep_for(500ms);
  }
  std::this_thread::sleep_for(ContactTime);
  const int Before = Nodes.begun();
  for (size_t Node = 0; Node < Nodes.count(); ++Node)
    for (int Try = 0; Try < TriesPerNode; ++Try) {
      Nodes.sendCrashing(Node, "same");
      std::this_thread::sleep_for(100ms);
    }
  const int Late = Nodes.begun() - Before;
  std::cerr << "reached " << Late << " endpoints later than "
            << ContactTime.count() << " s after the crash number " << Crashes
            << std::endl;
  if (Late <= MaxLateEngines)
    return 0;
  std::cerr << "broken: the request reaches too many endpoints" << std::endl;
  return 1;
}

} // namespace bronzepass::unit_tests::losses
