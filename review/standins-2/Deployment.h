#ifndef BRONZEPASS_REVIEW_STANDINS2_DEPLOYMENT_H
#define BRONZEPASS_REVIEW_STANDINS2_DEPLOYMENT_H

// A small deployment on loopback: the platform's store, node processes of the
// program under review, engines of a plain service, and a record of what was
// sent, answered and run. Made for cases of the review; see REPORT-2.md.

#include "UnitTests/Soak/CallerConnection.h"
#include "UnitTests/Soak/PlatformStore.h"
#include "UnitTests/Soak/ThreadServer.h"

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review2 {

using Json = nlohmann::json;
using bronzepass::unit_tests::soak::CallerConnection;
using bronzepass::unit_tests::soak::CallerResponse;
using bronzepass::unit_tests::soak::PlatformStore;
using bronzepass::unit_tests::soak::ServerConnection;
using bronzepass::unit_tests::soak::ServerRequest;
using bronzepass::unit_tests::soak::StoreAccess;
using bronzepass::unit_tests::soak::ThreadServer;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int NotRun = 2;

inline Clock::time_point startOfCase() {
  static const Clock::time_point Start = Clock::now();
  return Start;
}

inline double secondsSince(Clock::time_point At) {
  return std::chrono::duration<double>(Clock::now() - At).count();
}

/// Whether the case brings its disruption about.
inline bool hasTrouble() {
  const char *const Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

/// record.txt: a line for each thing that was sent, answered or run.
class Record {
public:
  explicit Record(const std::string &Path) : m_File(Path) { startOfCase(); }
  void write(const std::string &Line) {
    const std::scoped_lock Lock(m_Mutex);
    char Time[32];
    std::snprintf(Time, sizeof(Time), "%8.3f ", secondsSince(startOfCase()));
    m_File << Time << Line << std::endl;
  }

private:
  std::mutex m_Mutex;
  std::ofstream m_File;
};

/// The first of \p Count ports in a row that are free.
inline uint16_t freePorts(int Count) {
  static uint16_t Next = static_cast<uint16_t>(
      20000 + (static_cast<unsigned>(getpid()) * 37) % 9000);
  for (int Tries = 0; Tries < 2000; ++Tries, ++Next) {
    if (Next > 31000)
      Next = 20000;
    bool Free = true;
    for (int I = 0; Free && I < Count; ++I)
      for (const int Type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int Fd = ::socket(AF_INET, Type | SOCK_CLOEXEC, 0);
        sockaddr_in Address{};
        Address.sin_family = AF_INET;
        Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        Address.sin_port = htons(static_cast<uint16_t>(Next + I));
        Free = Free && ::bind(Fd, reinterpret_cast<sockaddr *>(&Address),
                              sizeof(Address)) == 0;
        ::close(Fd);
      }
    if (Free) {
      const uint16_t First = Next;
      Next = static_cast<uint16_t>(Next + Count);
      return First;
    }
  }
  std::exit(NotRun);
}

/// Settings beside those of deploy/node.yaml, whose text they follow.
struct NodeOptions {
  std::string m_Extra;
  int m_LeaveNoticeMs = 2000;
  int m_ContactMs = 3000;
};

/// One process of the deploy file's run command.
class Node {
public:
  Node(std::string Program, std::string Folder, int Number, uint16_t StorePort,
       const NodeOptions &Options)
      : m_Program(std::move(Program)),
        m_Name("front-" + std::to_string(Number)), m_Folder(std::move(Folder)),
        m_Port(freePorts(8)) {
    std::ofstream File(settings());
    const auto At = [&](int Offset) {
      return "\"127.0.0.1:" + std::to_string(m_Port + Offset) + "\"";
    };
    File << "node:\n  name: \"" << m_Name << "\"\n  failure-domain: \"z"
         << Number % 2 << "\"\n  cpu-share: 0.25\nlisten:\n  callers: " << At(0)
         << "\n  ready: " << At(1) << "\n  peers: " << At(2)
         << "\n  metrics: " << At(7)
         << "\nplatform:\n  store: \"127.0.0.1:" << StorePort
         << "\"\n  leave-notice: " << Options.m_LeaveNoticeMs
         << "ms\n  config-notice: 2000ms\n  contact-time: "
         << Options.m_ContactMs
         << "ms\nretries:\n  ratio: 0.2\n  slack: 52\n  window: 10s\n"
         << Options.m_Extra
         << "memory:\n  limit: 260MiB\ndescriptors:\n  limit: 4200\n"
            "lease:\n  term: 3000ms\nstop:\n  grace: 8s\n";
  }
  ~Node() { kill(); }
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  const std::string &name() const { return m_Name; }
  pid_t process() const { return m_Pid; }
  uint16_t callerPort() const { return m_Port; }
  void start() {
    m_Pid = ::fork();
    if (m_Pid != 0)
      return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Log = ::open((m_Folder + "/" + m_Name + ".log").c_str(),
                           O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Log, 1);
    ::dup2(Log, 2);
    const std::string Path = settings();
    ::execl(m_Program.c_str(), m_Program.c_str(), "gateway", Path.c_str(),
            nullptr);
    ::_exit(127);
  }
  void signal(int Number) const {
    if (m_Pid > 0)
      ::kill(m_Pid, Number);
  }
  /// Whether it has ended by itself.
  bool hasEnded() {
    if (m_Pid <= 0 || ::waitpid(m_Pid, nullptr, WNOHANG) != m_Pid)
      return m_Pid <= 0;
    m_Pid = 0;
    return true;
  }
  void kill() {
    if (m_Pid <= 0)
      return;
    ::kill(m_Pid, SIGKILL);
    ::waitpid(m_Pid, nullptr, 0);
    m_Pid = 0;
  }
  bool isReady() const {
    CallerConnection Connection(static_cast<uint16_t>(m_Port + 1));
    return Connection.isOpen() &&
           Connection.send("GET /ready HTTP/1.1\r\nHost: n\r\n\r\n") &&
           Connection.receive().m_Status == 200;
  }

private:
  std::string settings() const { return m_Folder + "/" + m_Name + ".yaml"; }

  const std::string m_Program;
  const std::string m_Name;
  const std::string m_Folder;
  const uint16_t m_Port;
  pid_t m_Pid = 0;
};

/// The store, reached by each node through a port of its own.
class StorePort {
public:
  explicit StorePort(PlatformStore &Store)
      : m_Server([this, &Store](ServerConnection &Connection,
                                const ServerRequest &Request) {
          Store.serve(Connection, Request, m_Access);
        }) {}
  uint16_t port() const { return m_Server.port(); }
  void setAccess(StoreAccess Access) { m_Access = Access; }

private:
  std::atomic<StoreAccess> m_Access = StoreAccess::Normal;
  ThreadServer m_Server;
};

class Deployment {
public:
  explicit Deployment(size_t Nodes, const NodeOptions &Options = {})
      : m_Folder(makeFolder()) {
    const char *const Given = std::getenv("BRONZEPASS_PROGRAM");
    const std::string Program = Given ? Given : "target/bronzepass";
    for (size_t I = 0; I < Nodes; ++I) {
      m_Ports.push_back(std::make_unique<StorePort>(m_Store));
      m_Nodes.push_back(
          std::make_unique<Node>(Program, m_Folder, static_cast<int>(I),
                                 m_Ports.back()->port(), Options));
    }
  }
  ~Deployment() {
    for (const auto &Each : m_Nodes)
      Each->kill();
    m_Store.stop();
  }

  PlatformStore &store() { return m_Store; }
  Node &node(size_t I) { return *m_Nodes[I]; }
  StorePort &storePort(size_t I) { return *m_Ports[I]; }
  size_t nodeCount() const { return m_Nodes.size(); }
  const std::string &folder() const { return m_Folder; }
  /// Starts all nodes; ends the case as one that could not run if one does not
  /// become ready.
  void start() {
    for (const auto &Each : m_Nodes)
      Each->start();
    for (const auto &Each : m_Nodes) {
      const Clock::time_point GiveUp = Clock::now() + 15s;
      while (!Each->isReady()) {
        if (Clock::now() > GiveUp) {
          std::cerr << Each->name() << " does not become ready" << std::endl;
          std::exit(NotRun);
        }
        std::this_thread::sleep_for(50ms);
      }
    }
  }

private:
  static std::string makeFolder() {
    const char *const Base = std::getenv("TMPDIR");
    std::string Path = std::string(Base ? Base : "/tmp") + "/review2.XXXXXX";
    if (!::mkdtemp(Path.data()))
      std::exit(NotRun);
    return Path;
  }

  PlatformStore m_Store;
  const std::string m_Folder;
  std::vector<std::unique_ptr<StorePort>> m_Ports;
  std::vector<std::unique_ptr<Node>> m_Nodes;
};

inline Json route(const std::string &Prefix, const std::string &Kind,
                  const std::string &Service, int TimeoutMs, int SloMs,
                  int MaxAttempts) {
  return {{"Name", Prefix},       {"Host", "shop.example"},
          {"PathPrefix", Prefix}, {"Kind", Kind},
          {"Service", Service},   {"TimeoutMs", TimeoutMs},
          {"SloMs", SloMs},       {"Priority", 0},
          {"GapTargetMs", 300},   {"MaxAttempts", MaxAttempts},
          {"AllowResume", false}};
}

inline Json limits() {
  return {{"MaxHeaderBytes", 16384},
          {"MaxBodyBytes", 4194304},
          {"HeaderTimeoutMs", 3000},
          {"IdleTimeoutMs", 15000}};
}

/// An engine of a plain service: registers, renews its entry, answers by \p
/// Run.
class Engine {
public:
  using Handler =
      std::function<void(Engine &, ServerConnection &, const ServerRequest &)>;

  Engine(PlatformStore &Store, std::string Id, std::string Service,
         std::string Zone, int Slots, Handler Run)
      : m_Store(Store), m_Id(std::move(Id)), m_Service(std::move(Service)),
        m_Zone(std::move(Zone)), m_Slots(Slots), m_Run(std::move(Run)),
        m_Server(
            [this](ServerConnection &Connection, const ServerRequest &Request) {
              serve(Connection, Request);
            }) {
    renew();
    m_Renewer = std::thread([this] {
      int Turns = 0;
      while (!m_Stopping) {
        std::this_thread::sleep_for(50ms);
        if (++Turns % 24 == 0)
          renew();
      }
    });
  }
  ~Engine() {
    m_Stopping = true;
    m_Renewer.join();
  }
  const std::string &id() const { return m_Id; }
  std::string seal(const std::string &RequestId) const {
    return m_Id + "." + RequestId;
  }
  void stopRenewing() { m_IsSilent = true; }
  ThreadServer &server() { return m_Server; }
  void drain() {
    m_State = "draining";
    renew();
  }
  void renew() {
    if (m_IsSilent)
      return;
    m_Store.put("servers", m_Id,
                {{"Service", m_Service},
                 {"Address", "127.0.0.1:" + std::to_string(m_Server.port())},
                 {"Zone", m_Zone},
                 {"Version", "v1"},
                 {"Slots", m_Slots},
                 {"State", m_State},
                 {"ColdLeftMs", 0},
                 {"Sequence", ++m_Sequence},
                 {"born", m_Born}});
  }

private:
  void serve(ServerConnection &Connection, const ServerRequest &Request) {
    if (Request.path() == "/health") {
      Connection.answer(200, "{}", "X-Instance-Id: " + m_Id + "\r\n");
      return;
    }
    const std::string Expected = Request.header("x-expect-instance");
    if (!Expected.empty() && Expected != m_Id) {
      Connection.answer(421, "",
                        "X-Request-Id: " + Request.header("x-request-id") +
                            "\r\nX-Not-Run: 1\r\n");
      return;
    }
    m_Run(*this, Connection, Request);
  }

  PlatformStore &m_Store;
  const std::string m_Id;
  const std::string m_Service;
  const std::string m_Zone;
  const int m_Slots;
  const Handler m_Run;
  std::string m_State = "ready";
  uint64_t m_Sequence = 0;
  std::atomic<bool> m_IsSilent = false;
  std::atomic<bool> m_Stopping = false;
  const int64_t m_Born =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  ThreadServer m_Server;
  std::thread m_Renewer;
};

} // namespace review2

#endif // BRONZEPASS_REVIEW_STANDINS2_DEPLOYMENT_H
