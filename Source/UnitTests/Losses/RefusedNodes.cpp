#include "UnitTests/Losses/RefusedNodes.h"

#include "Core/Model/Hash.h"
#include "UnitTests/Soak/CallerConnection.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace bronzepass::unit_tests::losses {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr const char *Key = "key-1";
constexpr std::chrono::seconds ReadyLimit = 30s;
constexpr std::chrono::milliseconds LookPeriod = 20ms;
/// More than the callers use.
constexpr int QuotaPerSecond = 400;

json route(const char *Name) {
  return {{"Name", Name},
          {"Host", "h"},
          {"PathPrefix", std::string("/") + Name + "/"},
          {"Kind", "idempotent"},
          {"Service", "plain"},
          {"TimeoutMs", 4000},
          {"SloMs", 1000},
          {"Priority", 0},
          {"MaxAttempts", 3}};
}

} // namespace

RefusedNodes::RefusedNodes(const std::string &Folder, uint16_t Port,
                           const std::string &Settings) {
  for (const char *const Id : {"s-0", "s-1"}) {
    m_Endpoints.push_back(std::make_unique<stops::StopEndpoint>(
        m_Record, Id, "plain", std::set<std::string>()));
    m_Endpoints.back()->enter(m_Store, true);
  }
  m_Nodes = std::make_unique<soak::SoakNodes>(
      NodeCount, Port, Folder,
      [this](size_t) -> soak::PlatformStore & { return m_Store; }, m_Record,
      soak::PlantedFault::None, Settings);
}

void RefusedNodes::configure(const Configured &Configuration) {
  json Routes = {route(FirstRoute)};
  if (Configuration.m_HasAddedRoute)
    Routes.push_back(route(AddedRoute));
  json Value = {{"Version", Configuration.m_Version},
                {"Limits",
                 {{"MaxHeaderBytes", 8 << 10},
                  {"MaxBodyBytes", 64 << 10},
                  {"HeaderTimeoutMs", 3000},
                  {"IdleTimeoutMs", 15000}}},
                {"Routes", Routes},
                {"Services", {{{"Name", "plain"}, {"MaxConns", 0}}}}};
  if (Configuration.m_HasKeys)
    Value["Tenants"] = {{{"Name", "callers"},
                         {"ApiKeys", {Key}},
                         {"Priority", 0},
                         {"Unit", "requests"},
                         {"RatePerS", QuotaPerSecond},
                         {"Burst", QuotaPerSecond}}};
  m_Store.put("config", "main", Value);
}

void RefusedNodes::startAll() {
  for (size_t I = 0; I < NodeCount; ++I)
    m_Nodes->start(I);
}

void RefusedNodes::killAll() {
  for (size_t I = 0; I < NodeCount; ++I)
    m_Nodes->kill(I);
}

bool RefusedNodes::awaitReady() const {
  const soak::SteadyTime End = std::chrono::steady_clock::now() + ReadyLimit;
  for (size_t I = 0; I < NodeCount; ++I)
    while (!m_Nodes->isReady(I)) {
      if (std::chrono::steady_clock::now() > End)
        return false;
      std::this_thread::sleep_for(LookPeriod);
    }
  return true;
}

std::vector<size_t> RefusedNodes::nodesByDuty() {
  std::vector<size_t> Nodes;
  for (size_t I = 0; I < NodeCount; ++I)
    Nodes.push_back(I);
  const auto Weight = [](size_t Node) {
    return core::model::rendezvousWeight("store-watcher",
                                         "node-" + std::to_string(Node));
  };
  std::sort(Nodes.begin(), Nodes.end(), [&](size_t Left, size_t Right) {
    return Weight(Left) > Weight(Right);
  });
  return Nodes;
}

void RefusedNodes::refuseAllBut(size_t Served, soak::StoreAccess Access) {
  const std::vector<size_t> Nodes = nodesByDuty();
  for (size_t I = 0; I + Served < Nodes.size(); ++I)
    m_Nodes->setAccess(Nodes[I], Access);
}

int RefusedNodes::statusOf(size_t Node, const std::string &Route) const {
  static std::atomic<uint64_t> LastId = 0;
  soak::CallerConnection Connection(m_Nodes->callerPort(Node));
  const std::string Id = "r" + std::to_string(++LastId);
  m_Record.onSent(Id, soak::RequestKind::Repeatable);
  const std::string Request =
      "GET /" + Route + "/answer-5 HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + Id +
      "\r\nX-Credential: " + Key +
      "\r\nX-Deadline-Ms: 4000\r\nConnection: close\r\n\r\n";
  if (!Connection.isOpen() || !Connection.send(Request))
    return 0;
  return Connection.receive().m_Status;
}

} // namespace bronzepass::unit_tests::losses
