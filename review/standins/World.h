// Small stand-ins for the users' platform, for the scripts under review/: the
// store, endpoints, callers, and the platform that starts and stops nodes.
// Everything runs on loopback addresses and on threads of one process; the
// nodes themselves are the project's own program, started as processes.
#pragma once

#include "Template.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using nlohmann::json;
using SteadyTime = std::chrono::steady_clock::time_point;

inline SteadyTime now() { return std::chrono::steady_clock::now(); }
inline void sleepMs(int64_t Millis) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Millis));
}
inline int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Ends the program: the case could not run.
[[noreturn]] inline void cannotRun(const std::string &Why);

/// record.txt: what was sent, answered and run, with the time since the start.
class Record {
public:
  explicit Record(const std::string &Path) : m_Out(Path), m_Start(now()) {}
  void line(const std::string &Text) {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Out << std::fixed << std::setprecision(3) << std::setw(8)
          << std::chrono::duration<double>(now() - m_Start).count() << "  "
          << Text << "\n"
          << std::flush;
  }

private:
  std::mutex m_Mutex;
  std::ofstream m_Out;
  SteadyTime m_Start;
};

inline std::string lower(std::string Text) {
  for (char &C : Text)
    C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  return Text;
}

struct Message {
  std::string m_First; // request line or status line
  std::vector<std::pair<std::string, std::string>> m_Headers;
  std::string m_Body;

  std::string header(const std::string &Name) const {
    for (const auto &Each : m_Headers)
      if (lower(Each.first) == lower(Name))
        return Each.second;
    return "";
  }
  std::string word(size_t Index) const {
    std::istringstream In(m_First);
    std::string Word;
    for (size_t I = 0; I <= Index; ++I)
      if (!(In >> Word))
        return "";
    return Word;
  }
  int status() const { return std::atoi(word(1).c_str()); }
  std::string path() const {
    const std::string Target = word(1);
    return Target.substr(0, Target.find('?'));
  }
  std::string query(const std::string &Key) const {
    const std::string Target = word(1);
    size_t At = Target.find('?');
    while (At != std::string::npos) {
      const size_t End = Target.find('&', At + 1);
      const std::string Pair = Target.substr(At + 1, End - At - 1);
      if (Pair.rfind(Key + "=", 0) == 0)
        return Pair.substr(Key.size() + 1);
      At = End;
    }
    return "";
  }
};

/// A TCP socket that reads HTTP/1.1 messages.
class Wire {
public:
  explicit Wire(int Fd = -1) : m_Fd(Fd) {}
  ~Wire() { close(); }
  Wire(const Wire &) = delete;
  Wire &operator=(const Wire &) = delete;

  int fd() const { return m_Fd; }
  bool connectTo(const std::string &Ip, uint16_t Port) {
    close();
    m_Buffer.clear();
    m_Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(Port);
    ::inet_pton(AF_INET, Ip.c_str(), &To.sin_addr);
    if (::connect(m_Fd, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0) {
      close();
      return false;
    }
    const int On = 1;
    ::setsockopt(m_Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    return true;
  }
  void close() {
    if (m_Fd >= 0)
      ::close(m_Fd);
    m_Fd = -1;
  }
  /// Ends the connection with a reset, as a crash of the peer does.
  void reset() {
    const linger Linger{1, 0};
    ::setsockopt(m_Fd, SOL_SOCKET, SO_LINGER, &Linger, sizeof(Linger));
    close();
  }
  bool send(const std::string &Bytes) {
    size_t Sent = 0;
    while (Sent < Bytes.size()) {
      const ssize_t Count =
          ::send(m_Fd, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Sent += static_cast<size_t>(Count);
    }
    return true;
  }
  /// Waits for more bytes until \p Until; false at the end or then.
  bool more(SteadyTime Until) {
    const int64_t Left =
        std::chrono::duration_cast<std::chrono::milliseconds>(Until - now())
            .count();
    pollfd Poll{m_Fd, POLLIN, 0};
    if (Left < 0 || ::poll(&Poll, 1, static_cast<int>(Left) + 1) <= 0)
      return false;
    char Bytes[65536];
    const ssize_t Count = ::recv(m_Fd, Bytes, sizeof(Bytes), 0);
    if (Count <= 0) {
      m_Ended = true;
      return false;
    }
    m_Buffer.append(Bytes, static_cast<size_t>(Count));
    return true;
  }
  bool hasEnded() const { return m_Ended; }
  /// The peer has closed, and nothing is left to be read.
  bool peerClosed() const {
    char Byte = 0;
    return ::recv(m_Fd, &Byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }
  std::optional<std::string> readLine(SteadyTime Until) {
    for (;;) {
      const size_t End = m_Buffer.find("\r\n");
      if (End != std::string::npos) {
        std::string Line = m_Buffer.substr(0, End);
        m_Buffer.erase(0, End + 2);
        return Line;
      }
      if (!more(Until))
        return std::nullopt;
    }
  }
  std::optional<std::string> readBytes(size_t Count, SteadyTime Until) {
    while (m_Buffer.size() < Count)
      if (!more(Until))
        return std::nullopt;
    std::string Bytes = m_Buffer.substr(0, Count);
    m_Buffer.erase(0, Count);
    return Bytes;
  }
  std::optional<Message> readHead(SteadyTime Until) {
    Message Head;
    std::optional<std::string> Line = readLine(Until);
    while (Line && Line->empty())
      Line = readLine(Until);
    if (!Line)
      return std::nullopt;
    Head.m_First = *Line;
    for (;;) {
      Line = readLine(Until);
      if (!Line)
        return std::nullopt;
      if (Line->empty())
        return Head;
      const size_t Colon = Line->find(':');
      if (Colon == std::string::npos)
        continue;
      std::string Value = Line->substr(Colon + 1);
      Value.erase(0, Value.find_first_not_of(" \t") == std::string::npos
                         ? Value.size()
                         : Value.find_first_not_of(" \t"));
      Head.m_Headers.emplace_back(Line->substr(0, Colon), Value);
    }
  }
  /// Reads the body piece by piece. True where it is complete.
  bool readBody(const Message &Head, SteadyTime Until,
                const std::function<void(const std::string &)> &OnPiece) {
    if (lower(Head.header("Transfer-Encoding")) == "chunked") {
      for (;;) {
        const std::optional<std::string> Size = readLine(Until);
        if (!Size)
          return false;
        const size_t Count = std::strtoul(Size->c_str(), nullptr, 16);
        const std::optional<std::string> Chunk = readBytes(Count + 2, Until);
        if (!Chunk)
          return false;
        if (Count == 0)
          return true;
        OnPiece(Chunk->substr(0, Count));
      }
    }
    const size_t Length =
        std::strtoul(Head.header("Content-Length").c_str(), nullptr, 10);
    const std::optional<std::string> All = readBytes(Length, Until);
    if (!All)
      return false;
    if (!All->empty())
      OnPiece(*All);
    return true;
  }

private:
  int m_Fd;
  std::string m_Buffer;
  bool m_Ended = false;
};

inline std::string httpText(int Status, const std::string &Headers,
                            const std::string &Body,
                            const std::string &Type = "application/json") {
  return "HTTP/1.1 " + std::to_string(Status) + " x\r\n" + Headers +
         "Content-Type: " + Type +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

/// A server on a loopback address, a thread for each connection. A handler
/// returns false to end the connection.
class Server {
public:
  using Handler = std::function<bool(Wire &, Message &)>;

  Server(std::string Ip, Handler OnRequest)
      : m_Ip(std::move(Ip)), m_OnRequest(std::move(OnRequest)) {}
  ~Server() { stop(); }

  void start(uint16_t Port = 0) {
    m_Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int On = 1;
    ::setsockopt(m_Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_port = htons(Port);
    ::inet_pton(AF_INET, m_Ip.c_str(), &At.sin_addr);
    socklen_t Size = sizeof(At);
    if (::bind(m_Fd, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0 ||
        ::listen(m_Fd, 512) != 0)
      cannotRun("cannot listen on " + m_Ip);
    ::getsockname(m_Fd, reinterpret_cast<sockaddr *>(&At), &Size);
    m_Port = ntohs(At.sin_port);
    m_Running = true;
    m_Thread = std::thread([this] { acceptAll(); });
  }
  /// Closes the port and resets all connections.
  void stop() {
    if (!m_Running.exchange(false))
      return;
    ::shutdown(m_Fd, SHUT_RDWR);
    m_Thread.join();
    ::close(m_Fd);
    std::vector<std::thread> Threads;
    {
      const std::lock_guard<std::mutex> Lock(m_Mutex);
      for (const int Each : m_Open) {
        const linger Linger{1, 0};
        ::setsockopt(Each, SOL_SOCKET, SO_LINGER, &Linger, sizeof(Linger));
        ::shutdown(Each, SHUT_RDWR);
      }
      Threads.swap(m_Threads);
    }
    for (std::thread &Each : Threads)
      Each.join();
  }
  bool isRunning() const { return m_Running; }
  uint16_t port() const { return m_Port; }
  std::string address() const { return m_Ip + ":" + std::to_string(m_Port); }

private:
  void acceptAll() {
    while (m_Running) {
      const int Fd = ::accept4(m_Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd < 0)
        continue;
      const int On = 1;
      ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      const std::lock_guard<std::mutex> Lock(m_Mutex);
      m_Open.insert(Fd);
      m_Threads.emplace_back([this, Fd] { serve(Fd); });
    }
  }
  void serve(int Fd) {
    Wire Connection(Fd);
    while (m_Running) {
      const SteadyTime Until = now() + std::chrono::seconds(60);
      std::optional<Message> Request = Connection.readHead(Until);
      if (!Request ||
          !Connection.readBody(*Request, Until, [&](const std::string &Piece) {
            Request->m_Body += Piece;
          }))
        break;
      if (!m_OnRequest(Connection, *Request))
        break;
    }
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Open.erase(Fd);
  }

  const std::string m_Ip;
  const Handler m_OnRequest;
  int m_Fd = -1;
  uint16_t m_Port = 0;
  std::atomic<bool> m_Running{false};
  std::thread m_Thread;
  std::mutex m_Mutex;
  std::set<int> m_Open;
  std::vector<std::thread> m_Threads;
};

/// The platform's store: lists, watches, conditional writes.
class Store {
public:
  explicit Store(Record &Log)
      : m_Log(Log), m_Server("127.0.0.1", [this](Wire &To, Message &Request) {
          return answer(To, Request);
        }) {}

  void start() { m_Server.start(); }
  void stop() {
    {
      const std::lock_guard<std::mutex> Lock(m_Mutex);
      m_Stopping = true;
    }
    m_Changed.notify_all();
    m_Server.stop();
  }
  std::string address() const { return m_Server.address(); }

  /// Writes for the operator or an engine. \p Spec is put into answers byte for
  /// byte.
  void put(const std::string &Kind, const std::string &Name,
           const std::string &Spec) {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    write(Kind, Name, Spec, false);
  }
  void remove(const std::string &Kind, const std::string &Name) {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    write(Kind, Name, "null", true);
  }
  /// Names of the objects of a kind.
  std::vector<std::string> names(const std::string &Kind) {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    std::vector<std::string> Names;
    for (const auto &Each : m_Objects)
      if (Each.first.first == Kind && Each.second.isThere())
        Names.push_back(Each.first.second);
    return Names;
  }
  std::string specOf(const std::string &Kind, const std::string &Name) {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    const auto Found = m_Objects.find({Kind, Name});
    return Found == m_Objects.end() || !Found->second.isThere()
               ? ""
               : Found->second.m_Spec;
  }

private:
  struct Object {
    std::string m_Spec;
    uint64_t m_Revision = 0;
    bool m_Deleted = false;

    bool isThere() const { return m_Revision != 0 && !m_Deleted; }
  };

  void write(const std::string &Kind, const std::string &Name,
             const std::string &Spec, bool Deleted) {
    Object &Changed = m_Objects[{Kind, Name}];
    if (Changed.m_Revision != 0 && Changed.m_Spec == Spec &&
        Changed.m_Deleted == Deleted)
      return;
    Changed = {Spec, ++m_Revision, Deleted};
    m_Changed.notify_all();
  }
  static std::string text(const std::string &Name, const Object &Value) {
    return "{\"Metadata\":{\"Name\":" + json(Name).dump() +
           ",\"Revision\":" + std::to_string(Value.m_Revision) +
           ",\"Created\":1,\"Finalizers\":[],\"DeletionRequested\":false},"
           "\"Spec\":" +
           (Value.m_Deleted ? "null" : Value.m_Spec) + ",\"Status\":null}";
  }
  bool reply(Wire &To, int Status, const std::string &Body) {
    return To.send(httpText(Status, "Store-Era: 1\r\n", Body));
  }
  bool answer(Wire &To, Message &Request) {
    const std::string Path = Request.path();
    if (Path.rfind("/objects/", 0) != 0)
      return reply(To, 404, "{}");
    const std::string Rest = Path.substr(9);
    const size_t Slash = Rest.find('/');
    const std::string Kind = Rest.substr(0, Slash);
    const std::string Name =
        Slash == std::string::npos ? "" : Rest.substr(Slash + 1);
    const std::string Method = Request.word(0);
    sleepMs(4);
    if (Method == "GET" && Name.empty())
      return Request.query("Watch").empty() ? list(To, Kind)
                                            : watch(To, Kind, Request);
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    if (Method == "GET") {
      const auto Found = m_Objects.find({Kind, Name});
      if (Found == m_Objects.end() || !Found->second.isThere())
        return reply(To, 404, "{}");
      return reply(To, 200, text(Name, Found->second));
    }
    const json Body = json::parse(Request.m_Body, nullptr, false);
    const json Meta =
        Body.is_object() ? Body.value("Metadata", json::object()) : json();
    const std::string Key =
        Method == "POST" && Meta.is_object() ? Meta.value("Name", "") : Name;
    Object &Known = m_Objects[{Kind, Key}];
    const bool IsThere = Known.isThere();
    if (Method == "POST" && IsThere)
      return reply(To, 409, text(Key, Known));
    if (Method != "POST" && !IsThere)
      return reply(To, 404, "{}");
    if (Method == "PUT" && Meta.is_object() && Meta.contains("Revision") &&
        Meta["Revision"].get<uint64_t>() != Known.m_Revision)
      return reply(To, 409, text(Key, Known));
    m_Log.line("store: " + Method + " " + Kind + "/" + Key);
    write(Kind, Key, Method == "DELETE" ? "null" : Body["Spec"].dump(),
          Method == "DELETE");
    return reply(To, 200, text(Key, Known));
  }
  bool list(Wire &To, const std::string &Kind) {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    std::string Items;
    for (const auto &Each : m_Objects)
      if (Each.first.first == Kind && Each.second.isThere())
        Items +=
            (Items.empty() ? "" : ",") + text(Each.first.second, Each.second);
    return reply(To, 200,
                 "{\"items\":[" + Items + "],\"HasMore\":false,\"At\":" +
                     std::to_string(m_Revision) + "}");
  }
  bool watch(Wire &To, const std::string &Kind, const Message &Request) {
    const uint64_t From =
        std::strtoull(Request.query("Watch").c_str(), nullptr, 10);
    const SteadyTime Until =
        now() +
        std::chrono::milliseconds(std::atoll(Request.query("WaitMs").c_str()));
    std::unique_lock<std::mutex> Lock(m_Mutex);
    for (;;) {
      std::string Events;
      for (const auto &Each : m_Objects)
        if (Each.first.first == Kind && Each.second.m_Revision > From)
          Events += (Events.empty() ? "" : ",") +
                    std::string("{\"Tombstone\":") +
                    (Each.second.m_Deleted ? "true" : "false") +
                    ",\"Object\":" + text(Each.first.second, Each.second) + "}";
      if (!Events.empty() || now() >= Until || m_Stopping) {
        const std::string Body = "{\"events\":[" + Events +
                                 "],\"At\":" + std::to_string(m_Revision) + "}";
        Lock.unlock();
        return reply(To, 200, Body);
      }
      m_Changed.wait_until(
          Lock, std::min(Until, now() + std::chrono::milliseconds(100)));
    }
  }

  Record &m_Log;
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::pair<std::string, std::string>, Object> m_Objects;
  uint64_t m_Revision = 100;
  bool m_Stopping = false;
  Server m_Server;
};

/// The platform that starts the nodes with the commands of the deploy file.
class Platform {
public:
  struct Node {
    std::string m_Name;
    std::string m_Ip;
    uint16_t m_Callers = 0;
    uint16_t m_Ready = 0;
    uint16_t m_FirstPort = 0;
    std::string m_Settings;
    std::string m_LogFile;
    pid_t m_Pid = -1;
  };

  /// \p Program is a path from \p Root, or an absolute one.
  Platform(std::string Root, std::string Temporary, Record &Log,
           std::string Program = "target/bronzepass")
      : m_Root(std::move(Root)), m_Temporary(std::move(Temporary)), m_Log(Log),
        m_Program(std::move(Program)) {
    self() = this;
  }
  ~Platform() { killAll(); }
  static Platform *&self() {
    static Platform *Self = nullptr;
    return Self;
  }

  Node &addNode(const std::string &Name, const std::string &Ip,
                const std::string &Zone, const std::string &StoreAddress) {
    m_Nodes.push_back(std::make_unique<Node>());
    Node &Added = *m_Nodes.back();
    Added.m_Name = Name;
    Added.m_Ip = Ip;
    const uint16_t Base = freePorts(Ip, 20);
    Added.m_Callers = Base;
    Added.m_Ready = static_cast<uint16_t>(Base + 1);
    Added.m_FirstPort = static_cast<uint16_t>(Base + 2);
    const SettingValues Values = {
        {"NodeName", Name},
        {"Zone", Zone},
        {"Ip", Ip},
        {"Limits.CpuShare", "0.25"},
        {"Limits.MemoryMb", "260"},
        {"Limits.MaxFds", "4200"},
        {"ListenAddrs.Front", Ip + ":" + std::to_string(Added.m_Callers)},
        {"ListenAddrs.Ready", Ip + ":" + std::to_string(Added.m_Ready)},
        {"PortRange.0", std::to_string(Added.m_FirstPort)},
        {"PortRange.1", std::to_string(Added.m_FirstPort + 15)},
        {"Platform.Address", StoreAddress},
        {"Bounds.DrainMs", "2000"},
        {"Bounds.ConfigApplyMs", "2000"},
        {"Bounds.ContactMs", "3000"},
        {"Bounds.BudgetRatio", "0.2"},
        {"Bounds.BudgetSlack", "56"},
        {"Bounds.BudgetWindowS", "10"},
        {"Bounds.LeaseMs", "3000"},
        {"Bounds.GraceS", "8"},
        {"Bounds.StrictRevoke", std::nullopt},
        {"Bounds.QuotaWindowS", std::nullopt}};
    std::ifstream In(m_Root + "/deploy/node.yaml");
    std::stringstream Template;
    Template << In.rdbuf();
    if (Template.str().empty())
      cannotRun("deploy/node.yaml cannot be read");
    std::string Text;
    try {
      Text = fillTemplate(Template.str(), Values);
    } catch (const std::runtime_error &Error) {
      cannotRun(std::string("deploy/node.yaml: ") + Error.what());
    }
    Added.m_Settings = m_Temporary + "/" + Name + ".yaml";
    Added.m_LogFile = m_Temporary + "/" + Name + ".log";
    std::ofstream(Added.m_Settings) << Text;
    return Added;
  }
  std::vector<std::unique_ptr<Node>> &nodes() { return m_Nodes; }

  void start(Node &Started) {
    const std::filesystem::path Path =
        std::filesystem::path(m_Root) / m_Program;
    if (::access(Path.c_str(), X_OK) != 0)
      cannotRun(m_Program + " is missing: run the build of deploy/system.toml");
    const pid_t Pid = ::fork();
    if (Pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int Log = ::open(Started.m_LogFile.c_str(),
                             O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(Log, 1);
      ::dup2(Log, 2);
      if (::chdir(m_Root.c_str()) != 0)
        ::_exit(126);
      ::execl(m_Program.c_str(), m_Program.c_str(), "gateway",
              Started.m_Settings.c_str(), nullptr);
      ::_exit(127);
    }
    Started.m_Pid = Pid;
    m_Log.line("platform: " + Started.m_Name + " started, process " +
               std::to_string(Pid));
  }
  void signal(Node &To, int Signal) {
    if (To.m_Pid <= 0)
      return;
    m_Log.line("platform: signal " + std::to_string(Signal) + " to " +
               To.m_Name);
    ::kill(To.m_Pid, Signal);
    if (Signal == SIGKILL)
      reap(To);
  }
  /// How the process ended, where it has ended by itself.
  std::optional<std::string> endOf(Node &Of) {
    int Status = 0;
    if (Of.m_Pid <= 0 || ::waitpid(Of.m_Pid, &Status, WNOHANG) != Of.m_Pid)
      return std::nullopt;
    Of.m_Pid = -1;
    return WIFSIGNALED(Status)
               ? "by signal " + std::to_string(WTERMSIG(Status))
               : "with status " + std::to_string(WEXITSTATUS(Status));
  }
  bool isReady(const Node &Of) {
    Wire To;
    const SteadyTime Until = now() + std::chrono::seconds(1);
    if (!To.connectTo(Of.m_Ip, Of.m_Ready) ||
        !To.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"))
      return false;
    const std::optional<Message> Head = To.readHead(Until);
    return Head && Head->status() == 200;
  }
  bool awaitReady(int64_t Millis) {
    const SteadyTime Until = now() + std::chrono::milliseconds(Millis);
    for (const auto &Each : m_Nodes)
      while (!isReady(*Each)) {
        if (now() > Until)
          return false;
        sleepMs(20);
      }
    return true;
  }
  void killAll() {
    for (const auto &Each : m_Nodes) {
      if (Each->m_Pid > 0)
        ::kill(Each->m_Pid, SIGKILL);
      reap(*Each);
    }
  }

private:
  static void reap(Node &Of) {
    int Status = 0;
    if (Of.m_Pid > 0)
      ::waitpid(Of.m_Pid, &Status, 0);
    Of.m_Pid = -1;
  }
  static bool isFree(const std::string &Ip, uint16_t Port, int Type) {
    const int Fd = ::socket(AF_INET, Type | SOCK_CLOEXEC, 0);
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_port = htons(Port);
    ::inet_pton(AF_INET, Ip.c_str(), &At.sin_addr);
    const bool Free =
        ::bind(Fd, reinterpret_cast<sockaddr *>(&At), sizeof(At)) == 0;
    ::close(Fd);
    return Free;
  }
  static uint16_t freePorts(const std::string &Ip, uint16_t Count) {
    for (uint16_t Base = 20000; Base < 31000;
         Base = static_cast<uint16_t>(Base + Count)) {
      bool AllFree = true;
      for (uint16_t I = 0; I < Count && AllFree; ++I)
        AllFree = isFree(Ip, static_cast<uint16_t>(Base + I), SOCK_STREAM) &&
                  isFree(Ip, static_cast<uint16_t>(Base + I), SOCK_DGRAM);
      if (AllFree)
        return Base;
    }
    cannotRun("no free ports");
  }

  const std::string m_Root;
  const std::string m_Temporary;
  Record &m_Log;
  const std::string m_Program;
  std::vector<std::unique_ptr<Node>> m_Nodes;
};

[[noreturn]] inline void cannotRun(const std::string &Why) {
  std::cerr << "the case could not run: " << Why << "\n";
  if (Platform::self())
    Platform::self()->killAll();
  ::_exit(2);
}

/// Ends the program with the case's result.
[[noreturn]] inline void finish(Record &Log, bool IsBroken,
                                const std::string &Rule,
                                const std::string &Seen) {
  const std::string Line =
      Rule + (IsBroken ? " was broken: " : " held: ") + Seen;
  Log.line(Line);
  std::cout << Line << std::endl;
  if (Platform::self())
    Platform::self()->killAll();
  ::_exit(IsBroken ? 1 : 0);
}

/// What a program of a case is started with: ROOT TEMPORARY RECORD TROUBLE.
struct Arguments {
  std::string m_Root;
  std::string m_Temporary;
  std::string m_Record;
  bool m_Trouble = true;

  Arguments(int Count, char **Values) {
    if (Count < 5)
      cannotRun("usage: PROGRAM ROOT TEMPORARY RECORD TROUBLE");
    m_Root = Values[1];
    m_Temporary = Values[2];
    m_Record = Values[3];
    m_Trouble = std::string(Values[4]) != "0";
  }
};

} // namespace review
