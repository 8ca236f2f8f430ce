#include "UnitTests/Losses/GoneNodes.h"
#include "UnitTests/Losses/RefusedNodes.h"

#include <array>
#include <atomic>
#include <iostream>
#include <thread>

namespace {

using namespace bronzepass::unit_tests;
using namespace std::chrono_literals;
using losses::RefusedNodes;
using soak::SteadyTime;

constexpr int Ok = 200;
constexpr int NotFound = 404;
/// Of nodes that ended without removing theirs.
constexpr size_t GoneEntries = 100;
/// Nodes that the store goes on to serve.
constexpr size_t Served = 2;
/// Nodes list each other each 5 s, and agree on who holds quotas.
constexpr std::chrono::seconds SettlingTime = 8s;
constexpr std::chrono::milliseconds SendPeriod = 60ms;
/// How long after the return of all nodes service has to be back.
constexpr std::chrono::seconds RecoveryTime = 15s;
constexpr std::chrono::seconds JudgedTime = 5s;
constexpr double LeastServed = 0.25;
/// Within which a change has to be in force at each node.
constexpr std::chrono::milliseconds ConfigNotice = 3s;
constexpr std::chrono::milliseconds SeenMargin = 250ms;

constexpr const char *NoticeSettings = ", config-notice: 3s";
constexpr const char *KeySettings = "keys: {revocation-time: 5s}\n";

/// Callers of each node, in turn; counts answers by the second since the start.
class Callers {
public:
  Callers(const RefusedNodes &Nodes, std::chrono::seconds Length)
      : m_Start(std::chrono::steady_clock::now()),
        m_Sent(static_cast<size_t>(Length.count()) + 1),
        m_Served(m_Sent.size()) {
    for (size_t Node = 0; Node < RefusedNodes::NodeCount; ++Node)
      m_Threads.emplace_back([this, &Nodes, Node, Length] {
        while (std::chrono::steady_clock::now() < m_Start + Length) {
          const auto Second = std::chrono::floor<std::chrono::seconds>(
              std::chrono::steady_clock::now() - m_Start);
          const auto Index = static_cast<size_t>(Second.count());
          ++m_Sent[Index];
          m_Served[Index] +=
              Nodes.statusOf(Node, RefusedNodes::FirstRoute) == Ok ? 1 : 0;
          std::this_thread::sleep_for(SendPeriod);
        }
      });
  }
  ~Callers() { join(); }
  Callers(const Callers &) = delete;
  Callers &operator=(const Callers &) = delete;

  void join() {
    for (std::thread &Each : m_Threads)
      Each.join();
    m_Threads.clear();
  }
  double servedSince(std::chrono::seconds First) const {
    double Sent = 0;
    double Served = 0;
    for (auto I = static_cast<size_t>(First.count()); I < m_Sent.size(); ++I) {
      Sent += m_Sent[I];
      Served += m_Served[I];
    }
    return Sent > 0 ? Served / Sent : 0;
  }
  void print() const {
    std::cerr << "served of sent, by the second:";
    for (size_t I = 0; I < m_Sent.size(); ++I)
      std::cerr << " " << m_Served[I] << "/" << m_Sent[I];
    std::cerr << std::endl;
  }

private:
  const SteadyTime m_Start;
  std::vector<std::atomic<int>> m_Sent;
  std::vector<std::atomic<int>> m_Served;
  std::vector<std::thread> m_Threads;
};

int runRestart(const std::string &Folder, uint16_t Port,
               soak::StoreAccess Access, size_t Gone) {
  RefusedNodes Nodes(Folder, Port,
                     std::string(NoticeSettings) + "}\n" + KeySettings);
  Nodes.configure({});
  Nodes.addGone(Gone);
  Nodes.startAll();
  if (!Nodes.awaitReady()) {
    std::cerr << "broken: a node does not become ready" << std::endl;
    return 1;
  }
  std::this_thread::sleep_for(SettlingTime);
  {
    Callers Before(Nodes, 2s);
    Before.join();
    Before.print();
    if (Before.servedSince(0s) < LeastServed) {
      std::cerr << "broken: too little is served before the loss" << std::endl;
      return 1;
    }
  }
  Nodes.refuseAllBut(Served, Access);
  Nodes.killAll();
  std::this_thread::sleep_for(1s);
  Nodes.startAll();
  Callers After(Nodes, RecoveryTime + JudgedTime);
  After.join();
  After.print();
  const double Share = After.servedSince(RecoveryTime);
  std::cerr << "served from " << RecoveryTime.count()
            << " s after the return: " << Share << std::endl;
  if (Share >= LeastServed)
    return 0;
  std::cerr << "broken: too little is served after the return" << std::endl;
  return 1;
}

int runChange(const std::string &Folder, uint16_t Port, bool HasKeys,
              size_t Gone) {
  constexpr std::chrono::seconds WatchedTime = 10s;
  RefusedNodes Nodes(Folder, Port,
                     std::string(NoticeSettings) + "}\n" +
                         (HasKeys ? KeySettings : ""));
  Nodes.configure({.m_HasKeys = HasKeys});
  Nodes.addGone(Gone);
  Nodes.startAll();
  if (!Nodes.awaitReady()) {
    std::cerr << "broken: a node does not become ready" << std::endl;
    return 1;
  }
  std::this_thread::sleep_for(SettlingTime);
  Nodes.refuseAllBut(Served, soak::StoreAccess::TooMany);
  std::this_thread::sleep_for(1500ms);
  Nodes.configure(
      {.m_Version = 2, .m_HasKeys = HasKeys, .m_HasAddedRoute = true});
  const SteadyTime Acknowledged = std::chrono::steady_clock::now();
  std::array<std::atomic<int>, RefusedNodes::NodeCount> Late{};
  std::array<std::atomic<int64_t>, RefusedNodes::NodeCount> FirstServedMs{};
  std::vector<std::thread> Threads;
  for (size_t Node = 0; Node < RefusedNodes::NodeCount; ++Node)
    Threads.emplace_back([&, Node] {
      for (SteadyTime SentAt = std::chrono::steady_clock::now();
           SentAt < Acknowledged + WatchedTime;
           SentAt = std::chrono::steady_clock::now()) {
        const int Status = Nodes.statusOf(Node, RefusedNodes::AddedRoute);
        const auto After =
            std::chrono::duration_cast<std::chrono::milliseconds>(SentAt -
                                                                  Acknowledged);
        if (Status == NotFound && After > ConfigNotice)
          ++Late[Node];
        if (Status == Ok && FirstServedMs[Node] == 0)
          FirstServedMs[Node] = After.count() + 1;
        std::this_thread::sleep_for(SendPeriod);
      }
    });
  for (std::thread &Each : Threads)
    Each.join();
  int Broken = 0;
  std::cerr << "served after, ms:";
  for (size_t Node = 0; Node < RefusedNodes::NodeCount; ++Node) {
    const int64_t Millis = FirstServedMs[Node] - 1;
    std::cerr << " " << Millis;
    if (Late[Node] > 0 || Millis < 0 ||
        Millis > (ConfigNotice + SeenMargin).count())
      ++Broken;
  }
  std::cerr << std::endl;
  for (size_t Node = 0; Node < RefusedNodes::NodeCount; ++Node)
    if (Late[Node] > 0)
      std::cerr << "broken: node " << Node << " gave 404 " << Late[Node]
                << " times later than " << ConfigNotice.count()
                << " ms after the change" << std::endl;
  std::cerr << Broken << " nodes go by the old configuration for too long"
            << std::endl;
  return Broken == 0 ? 0 : 1;
}

} // namespace

int main(int Count, char **Arguments) {
  constexpr int ArgumentCount = 5;
  if (Count != ArgumentCount) {
    std::cerr << "usage: bronzepass-losses --folder FOLDER NAME PORT"
              << std::endl;
    return 2;
  }
  const std::string Folder = Arguments[2];
  const std::string Name = Arguments[3];
  const auto Port = static_cast<uint16_t>(std::stoul(Arguments[4]));
  if (Name == "change" || Name == "change-keyless")
    return runChange(Folder, Port, Name == "change", 0);
  if (Name == "gone-change")
    return runChange(Folder, Port, true, GoneEntries);
  if (Name == "gone-restart")
    return runRestart(Folder, Port, soak::StoreAccess::TooMany, GoneEntries);
  if (Name == "gone-record")
    return losses::runRecord(Folder, Port);
  if (Name == "gone-removal")
    return losses::runRemoval(Folder, Port);
  if (Name == "gone-quarantine")
    return losses::runQuarantine(Folder, Port);
  return runRestart(Folder, Port,
                    Name == "restart-silent" ? soak::StoreAccess::Silent
                                             : soak::StoreAccess::TooMany,
                    0);
}
