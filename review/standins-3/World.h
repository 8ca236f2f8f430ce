// Stand-ins of the platform for the scripts of review/11 and up: the store,
// model engines, clients, and the node processes that are tested. They keep to
// the users' pages; each connection has a thread of its own.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace world {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point Start = Clock::now();
/// Seconds since the program's start.
inline double now() {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}
inline void sleepUntil(double At) {
  std::this_thread::sleep_until(Start +
                                std::chrono::duration_cast<Clock::duration>(
                                    std::chrono::duration<double>(At)));
}
inline void rest(double Seconds) { sleepUntil(now() + Seconds); }
inline int64_t unixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline uint64_t draw() {
  thread_local std::mt19937_64 Random(std::random_device{}());
  return Random();
}

/// Writes record.txt: what was sent, answered and run.
class Record {
public:
  static Record &get() {
    static Record Only;
    return Only;
  }
  void open(const std::string &Path) { m_File.open(Path); }
  void line(const char *Format, ...) {
    char Text[2048];
    va_list Arguments;
    va_start(Arguments, Format);
    std::vsnprintf(Text, sizeof(Text), Format, Arguments);
    va_end(Arguments);
    const std::scoped_lock Lock(m_Mutex);
    char At[32];
    std::snprintf(At, sizeof(At), "%9.4f ", now());
    m_File << At << Text << "\n" << std::flush;
  }

private:
  std::mutex m_Mutex;
  std::ofstream m_File;
};
#define SAY(...) world::Record::get().line(__VA_ARGS__)

struct Request {
  std::string m_Method, m_Target, m_Body;
  std::map<std::string, std::string> m_Headers;
  std::string header(const std::string &Name) const {
    const auto Found = m_Headers.find(Name);
    return Found == m_Headers.end() ? "" : Found->second;
  }
  std::string path() const { return m_Target.substr(0, m_Target.find('?')); }
  std::string query(const std::string &Name) const {
    size_t At = m_Target.find('?');
    while (At != std::string::npos) {
      const size_t End = m_Target.find('&', At + 1);
      const std::string Pair = m_Target.substr(
          At + 1, End == std::string::npos ? End : End - At - 1);
      if (Pair.rfind(Name + "=", 0) == 0)
        return Pair.substr(Name.size() + 1);
      At = End;
    }
    return "";
  }
};

inline std::map<std::string, std::string> readFields(const std::string &Head) {
  std::map<std::string, std::string> Fields;
  std::istringstream Lines(Head);
  std::string Line;
  std::getline(Lines, Line);
  while (std::getline(Lines, Line)) {
    const size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::string Name = Line.substr(0, Colon);
    for (char &Each : Name)
      Each = static_cast<char>(std::tolower(Each));
    size_t Begin = Colon + 1;
    while (Begin < Line.size() && Line[Begin] == ' ')
      ++Begin;
    std::string Value = Line.substr(Begin);
    while (!Value.empty() && (Value.back() == '\r' || Value.back() == ' '))
      Value.pop_back();
    Fields[Name] = Value;
  }
  return Fields;
}

/// One connection, used by one thread; others may only cut it.
class Connection {
public:
  explicit Connection(int Fd) : m_Fd(Fd) {
    const int On = 1;
    ::setsockopt(m_Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  }
  ~Connection() { ::close(m_Fd); }
  Connection(const Connection &) = delete;

  bool fill() {
    char Bytes[16384];
    const ssize_t Count = ::recv(m_Fd, Bytes, sizeof(Bytes), 0);
    if (Count <= 0)
      return false;
    m_Buffer.append(Bytes, static_cast<size_t>(Count));
    return true;
  }
  bool readHead(std::string &Head) {
    size_t End;
    while ((End = m_Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill())
        return false;
    Head = m_Buffer.substr(0, End + 2);
    m_Buffer.erase(0, End + 4);
    return true;
  }
  bool readBytes(size_t Count, std::string &Bytes) {
    while (m_Buffer.size() < Count)
      if (!fill())
        return false;
    Bytes = m_Buffer.substr(0, Count);
    m_Buffer.erase(0, Count);
    return true;
  }
  bool readLine(std::string &Line) {
    size_t End;
    while ((End = m_Buffer.find("\r\n")) == std::string::npos)
      if (!fill())
        return false;
    Line = m_Buffer.substr(0, End);
    m_Buffer.erase(0, End + 2);
    return true;
  }
  bool readRequest(Request &To) {
    std::string Head;
    if (!readHead(Head))
      return false;
    To = {};
    std::istringstream Words(Head);
    Words >> To.m_Method >> To.m_Target;
    To.m_Headers = readFields(Head);
    const std::string Length = To.header("content-length");
    return Length.empty() || readBytes(std::stoul(Length), To.m_Body);
  }
  bool write(std::string_view Bytes) {
    while (!Bytes.empty()) {
      const ssize_t Sent =
          ::send(m_Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Sent <= 0)
        return false;
      Bytes.remove_prefix(static_cast<size_t>(Sent));
    }
    return true;
  }
  bool answer(int Status, const std::string &Body,
              const std::string &Fields = "") {
    return write("HTTP/1.1 " + std::to_string(Status) + " Status\r\n" + Fields +
                 "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
                 Body);
  }
  bool hasPeerClosed() const {
    pollfd Poll{m_Fd, POLLRDHUP, 0};
    return ::poll(&Poll, 1, 0) > 0 &&
           (Poll.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }
  /// Resets the connection; its thread sees an error.
  void cut() const { cutDescriptor(m_Fd); }
  static void cutDescriptor(int Fd) {
    sockaddr Unspecified{};
    Unspecified.sa_family = AF_UNSPEC;
    if (::connect(Fd, &Unspecified, sizeof(Unspecified)) != 0)
      ::shutdown(Fd, SHUT_RDWR);
  }
  int descriptor() const { return m_Fd; }

private:
  int m_Fd;
  std::string m_Buffer;
};

inline sockaddr_in addressOf(const std::string &Ip, uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  ::inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

class Server {
public:
  using Handler = std::function<bool(Connection &, const Request &)>;
  /// \p Handle returns false to close the connection.
  explicit Server(Handler Handle) : m_Handle(std::move(Handle)) {}

  /// Port 0 takes a free one.
  bool open(const std::string &Ip, uint16_t Port) {
    const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int On = 1;
    ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    sockaddr_in Address = addressOf(Ip, Port);
    socklen_t Size = sizeof(Address);
    if (::bind(Fd, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
        ::listen(Fd, 256) != 0) {
      ::close(Fd);
      return false;
    }
    ::getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Size);
    m_Port = ntohs(Address.sin_port);
    m_Listener = Fd;
    std::thread([this, Fd] {
      for (;;) {
        const int Accepted = ::accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (Accepted < 0 || m_Listener != Fd) {
          if (Accepted >= 0)
            ::close(Accepted);
          ::close(Fd);
          return;
        }
        {
          const std::scoped_lock Lock(m_Mutex);
          m_Open.insert(Accepted);
        }
        std::thread([this, Accepted] { serve(Accepted); }).detach();
      }
    }).detach();
    return true;
  }
  /// Ends like a crashed process: all connections are reset.
  void crash() {
    const int Fd = m_Listener.exchange(-1);
    if (Fd >= 0)
      ::shutdown(Fd, SHUT_RDWR);
    const std::scoped_lock Lock(m_Mutex);
    for (const int Each : m_Open)
      Connection::cutDescriptor(Each);
  }
  uint16_t port() const { return m_Port; }

private:
  void serve(int Fd) {
    {
      Connection Peer(::fcntl(Fd, F_DUPFD_CLOEXEC, 0));
      Request Received;
      while (Peer.readRequest(Received) && m_Handle(Peer, Received))
        ;
    }
    const std::scoped_lock Lock(m_Mutex);
    m_Open.erase(Fd);
    ::close(Fd);
  }
  Handler m_Handle;
  std::atomic<int> m_Listener = -1;
  std::atomic<uint16_t> m_Port = 0;
  std::mutex m_Mutex;
  std::set<int> m_Open;
};

/// The platform's metadata store.
class Store {
public:
  Store()
      : m_Server([this](Connection &To, const Request &Of) {
          return handle(To, Of);
        }) {}
  bool open() { return m_Server.open("127.0.0.1", 0); }
  uint16_t port() const { return m_Server.port(); }
  /// A port for one machine alone, whose way to the store can be cut.
  uint16_t openFor(size_t Machine) {
    m_Ways.push_back(std::make_unique<Way>());
    Way &Own = *m_Ways.back();
    Own.m_Server = std::make_unique<Server>(
        [this, Machine, &Own](Connection &To, const Request &Of) {
          if (m_OnCall)
            m_OnCall(Machine, Of);
          return handle(To, Of, &Own.m_IsCut);
        });
    return Own.m_Server->open("127.0.0.1", 0) ? Own.m_Server->port() : 0;
  }
  /// Calls of the machine get no answer from now on; connections stay open.
  void cutWay(size_t Machine) { m_Ways[Machine]->m_IsCut = true; }

  /// Creates, replaces or (null) removes an object.
  void put(const std::string &Kind, const std::string &Name, const json &Spec) {
    const std::scoped_lock Lock(m_Mutex);
    apply(Kind, Name, Spec);
  }
  json get(const std::string &Kind, const std::string &Name) {
    const std::scoped_lock Lock(m_Mutex);
    const auto Found = m_Objects[Kind].find(Name);
    return Found == m_Objects[Kind].end() ? json() : Found->second.second;
  }
  /// From now on a watch that has waited so long is cut off; negative: none is.
  std::atomic<double> m_CutWatchesAfter = -1;
  std::atomic<int> m_CutWatches = 0;
  /// Called with each call that comes by a port of openFor().
  std::function<void(size_t, const Request &)> m_OnCall;

private:
  struct Way {
    std::atomic<bool> m_IsCut = false;
    std::unique_ptr<Server> m_Server;
  };
  static bool hang(const Connection &To) {
    while (!To.hasPeerClosed())
      rest(0.02);
    return false;
  }
  using Object = std::pair<uint64_t, json>;
  struct Change {
    uint64_t m_Revision;
    std::string m_Kind, m_Name;
    json m_Spec;
  };
  static json toJson(const std::string &Name, const Object &Each) {
    return {{"Metadata",
             {{"Name", Name},
              {"Revision", Each.first},
              {"Created", 1},
              {"Finalizers", json::array()},
              {"DeletionRequested", false}}},
            {"Spec", Each.second},
            {"Status", json::object()}};
  }
  void apply(const std::string &Kind, const std::string &Name,
             const json &Spec) {
    auto &Objects = m_Objects[Kind];
    const auto Found = Objects.find(Name);
    if (Spec.is_null() ? Found == Objects.end()
                       : Found != Objects.end() && Found->second.second == Spec)
      return;
    ++m_Revision;
    if (Spec.is_null())
      Objects.erase(Name);
    else
      Objects[Name] = {m_Revision, Spec};
    m_History.push_back({m_Revision, Kind, Name, Spec});
    m_Changed.notify_all();
  }
  bool handle(Connection &To, const Request &Of,
              const std::atomic<bool> *IsCut = nullptr) {
    if (IsCut && *IsCut)
      return hang(To);
    std::unique_lock Lock(m_Mutex);
    int Status = 200;
    json Body = json::object();
    const std::string Rest = Of.path().substr(std::string("/objects/").size());
    const size_t Slash = Rest.find('/');
    const std::string Kind = Rest.substr(0, Slash);
    std::string Name = Slash == std::string::npos ? "" : Rest.substr(Slash + 1);
    auto &Objects = m_Objects[Kind];
    if (Of.m_Method == "GET" && !Of.query("Watch").empty()) {
      const uint64_t From = std::stoull(Of.query("Watch"));
      const auto IsNews = [&](const Change &Each) {
        return Each.m_Kind == Kind && Each.m_Revision > From;
      };
      const auto HasNews = [&] {
        return std::any_of(m_History.begin(), m_History.end(), IsNews);
      };
      const double Began = now();
      const double Until = Began + std::stod(Of.query("WaitMs")) / 1000;
      while (!HasNews() && now() < Until) {
        const double Cut = m_CutWatchesAfter;
        if (Cut >= 0 && now() >= Began + Cut) {
          ++m_CutWatches;
          return false;
        }
        m_Changed.wait_for(Lock, std::chrono::milliseconds(10));
      }
      json Events = json::array();
      for (const Change &Each : m_History)
        if (IsNews(Each))
          Events.push_back(
              {{"Tombstone", Each.m_Spec.is_null()},
               {"Object",
                toJson(Each.m_Name, {Each.m_Revision, Each.m_Spec.is_null()
                                                          ? json::object()
                                                          : Each.m_Spec})}});
      Body = {{"events", Events}, {"At", m_Revision}};
    } else if (Of.m_Method == "GET" && Name.empty()) {
      json Items = json::array();
      for (const auto &Each : Objects)
        Items.push_back(toJson(Each.first, Each.second));
      Body = {{"items", Items}, {"HasMore", false}, {"At", m_Revision}};
    } else if (Of.m_Method == "GET") {
      const auto Found = Objects.find(Name);
      Status = Found == Objects.end() ? 404 : 200;
      if (Status == 200)
        Body = toJson(Name, Found->second);
    } else {
      const json Sent = Of.m_Body.empty()
                            ? json::object()
                            : json::parse(Of.m_Body, nullptr, false);
      if (Name.empty())
        Name = Sent["Metadata"]["Name"];
      const auto Found = Objects.find(Name);
      const bool Exists = Found != Objects.end();
      std::string Expected = Of.query("Revision");
      if (Sent.contains("Metadata") && Sent["Metadata"].contains("Revision"))
        Expected = Sent["Metadata"]["Revision"].dump();
      const bool IsCreate = Of.m_Method == "POST";
      if (IsCreate ? Exists
                   : Exists && !Expected.empty() &&
                         Expected != std::to_string(Found->second.first)) {
        Status = 409;
        Body = toJson(Name, Found->second);
      } else if (!IsCreate && !Exists) {
        Status = 404;
      } else if (Of.m_Method == "DELETE") {
        apply(Kind, Name, nullptr);
      } else {
        apply(Kind, Name, Sent["Spec"]);
        Status = IsCreate ? 201 : 200;
        Body = toJson(Name, Objects[Name]);
      }
    }
    Lock.unlock();
    if (IsCut && *IsCut)
      return hang(To);
    return To.answer(Status, Body.dump(), "Content-Type: application/json\r\n");
  }

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::string, std::map<std::string, Object>> m_Objects;
  std::deque<Change> m_History;
  uint64_t m_Revision = 100;
  std::vector<std::unique_ptr<Way>> m_Ways;
  Server m_Server;
};

constexpr double HeartbeatSeconds = 1.2;

/// A model engine. It streams events, takes orders, and writes its entry.
class Engine {
public:
  struct Run {
    std::string m_Id;
    double m_ArrivedAt = 0;
    bool m_IsWhole = false;
    /// That it sent.
    int m_Events = 0;
  };
  Engine(Store &In, std::string Id, std::string Service,
         std::map<std::string, uint64_t> SizesMb, std::set<std::string> Holds)
      : m_Store(In), m_Id(std::move(Id)), m_Service(std::move(Service)),
        m_SizesMb(std::move(SizesMb)), m_Models(std::move(Holds)),
        m_Server([this](Connection &To, const Request &Of) {
          return handle(To, Of);
        }) {}

  bool start(uint16_t Port = 0) {
    m_Born = unixMillis();
    m_IsUp = true;
    if (!m_Server.open("127.0.1.1", Port))
      return false;
    beat();
    return true;
  }
  /// Writes its entry if more than its count of heartbeats has changed.
  void beat() {
    const std::scoped_lock Lock(m_Mutex);
    if (!m_IsUp || m_HasLeft)
      return;
    ++m_Beats;
    json Mine = entryLocked();
    json Theirs = m_Store.get("servers", m_Id);
    if (Theirs.is_object()) {
      json A = Mine, B = Theirs;
      A.erase("Sequence");
      B.erase("Sequence");
      if (A == B)
        return;
    }
    m_Store.put("servers", m_Id, Mine);
  }
  json entry() {
    const std::scoped_lock Lock(m_Mutex);
    return entryLocked();
  }
  void setDraining() {
    {
      const std::scoped_lock Lock(m_Mutex);
      m_IsDraining = true;
    }
    beat();
  }
  /// Its entry is removed; it serves on.
  void unregister() {
    {
      const std::scoped_lock Lock(m_Mutex);
      m_HasLeft = true;
    }
    m_Store.put("servers", m_Id, nullptr);
  }
  void crash() {
    {
      const std::scoped_lock Lock(m_Mutex);
      m_IsUp = false;
      ++m_Incarnation;
    }
    m_Server.crash();
  }
  /// Starts again at the same address under the same id, empty.
  bool restart() {
    {
      const std::scoped_lock Lock(m_Mutex);
      m_Models.clear();
      m_Orders = 0;
      m_Beats = 0;
      m_HighestToken = 0;
      m_Loading.clear();
      m_HasLeft = false;
    }
    return start(m_Server.port());
  }
  std::vector<Run> runs() {
    const std::scoped_lock Lock(m_Mutex);
    return m_Runs;
  }
  const std::string &id() const { return m_Id; }
  size_t running() const { return m_Running; }

  double m_PrefillSeconds = 0.02;
  double m_EventSeconds = 0.025;
  int m_Events = 58;
  /// Of a load from the engine's own disk, which has all models.
  double m_LoadSeconds = 0.84;
  uint64_t m_WeightsMb = 200000;
  int m_ColdLeftMs = 0;
  /// Called as it begins to write an answer; true: it crashes instead.
  std::function<bool(const Request &)> m_CrashesOn;
  /// Of its software.
  std::string m_Version = "v1";
  /// True: the order gets no answer; the stand-in carries it out itself, late.
  std::function<bool(const json &)> m_TakesLate;
  /// Called when an order goes beyond the engine's memory.
  std::function<void(const json &, uint64_t)> m_OnOverload;

  /// Carries an order out, as it is in the request's body.
  int order(const json &Order) {
    const std::scoped_lock Lock(m_Mutex);
    if (!m_IsUp)
      return 0;
    const std::string Model = Order["Model"];
    const uint64_t Token = Order["FencingToken"];
    if (Token < m_HighestToken)
      return 412;
    m_HighestToken = Token;
    if (!m_Loading.empty())
      return 409;
    if (Order.contains("Expected") && Order["Expected"] != m_Orders)
      return 409;
    if (!m_SizesMb.contains(Model) || Order.contains("Adapter"))
      return 400;
    const bool IsLoad = Order["Operation"] == "load";
    if (IsLoad == m_Models.contains(Model))
      return 200;
    ++m_Orders;
    if (!IsLoad) {
      m_Models.erase(Model);
      return 202;
    }
    uint64_t Mb = m_SizesMb[Model];
    std::string Held;
    for (const std::string &Each : m_Models) {
      Mb += m_SizesMb[Each];
      Held += " " + Each;
    }
    SAY("order  %s carries out %s; it holds%s: %lu of %lu MB", m_Id.c_str(),
        Order.dump().c_str(), Held.c_str(), Mb, m_WeightsMb);
    m_Loading = Model;
    const int Incarnation = m_Incarnation;
    if (Mb > m_WeightsMb && m_OnOverload)
      m_OnOverload(Order, Mb);
    std::thread([this, Model, Incarnation] {
      rest(m_LoadSeconds);
      {
        const std::scoped_lock Again(m_Mutex);
        if (Incarnation != m_Incarnation)
          return;
        m_Loading.clear();
        m_Models.insert(Model);
      }
      beat();
    }).detach();
    return 202;
  }

private:
  json entryLocked() const {
    json Models = json::array();
    for (const std::string &Each : m_Models)
      Models.push_back(
          {{"Name", Each}, {"Version", 1}, {"Adapters", json::array()}});
    json OnDisk = json::array();
    for (const auto &Each : m_SizesMb)
      OnDisk.push_back(Each.first);
    return {{"Service", m_Service},
            {"Address", "127.0.1.1:" + std::to_string(m_Server.port())},
            {"Zone", "barranquilla"},
            {"Version", m_Version},
            {"Slots", 48},
            {"State", m_IsDraining ? "draining" : "ready"},
            {"ColdLeftMs", m_ColdLeftMs},
            {"Sequence", m_Beats},
            {"born", m_Born},
            {"Phase", "colocated"},
            {"Models", Models},
            {"Available", {{"Resident", json::array()}, {"OnDisk", OnDisk}}}};
  }
  bool handle(Connection &To, const Request &Of) {
    const std::string Expected = Of.header("x-expect-instance");
    if (!Expected.empty() && Expected != m_Id)
      return To.answer(421, "", "X-Not-Run: 1\r\n");
    if (Of.m_Target == "/report") {
      json Report;
      {
        const std::scoped_lock Lock(m_Mutex);
        Report = entryLocked();
        Report["Busy"] = !m_Loading.empty();
        Report["Sequence"] = m_Orders;
      }
      Report.update({{"Queued", 0},
                     {"Running", m_Running.load()},
                     {"KvUsed", 0},
                     {"KvTotal", 153590},
                     {"Handles", 0},
                     {"Pending", json::array()}});
      return To.answer(200, Report.dump(),
                       "Content-Type: application/json\r\n");
    }
    if (Of.m_Target == "/order") {
      const json Order = json::parse(Of.m_Body);
      if (m_TakesLate && m_TakesLate(Order)) {
        while (!To.hasPeerClosed())
          rest(0.02);
        return false;
      }
      const int Status = order(Order);
      return Status != 0 && To.answer(Status, "{}");
    }
    return run(To, Of);
  }
  bool run(Connection &To, const Request &Of) {
    const std::string Id = Of.header("x-request-id");
    const std::string Echo = "X-Request-Id: " + Id + "\r\n";
    size_t Number;
    {
      const std::scoped_lock Lock(m_Mutex);
      if (!m_Models.contains(Of.header("x-model")))
        Number = std::string::npos;
      else {
        Number = m_Runs.size();
        m_Runs.push_back({Id, now(), false});
      }
    }
    if (Number == std::string::npos)
      return To.answer(421, "", Echo + "X-Not-Run: 1\r\n");
    SAY("run    %s at %s", Id.c_str(), m_Id.c_str());
    ++m_Running;
    if (m_CrashesOn) {
      rest(m_PrefillSeconds);
      if (m_CrashesOn(Of)) {
        --m_Running;
        return false;
      }
    }
    const std::string After = Of.header("last-event-id");
    int Sent = 0;
    const bool IsWhole =
        stream(To, Id, Echo, After.empty() ? 1 : std::stoi(After) + 1, Sent);
    --m_Running;
    const std::scoped_lock Lock(m_Mutex);
    m_Runs[Number].m_IsWhole = IsWhole;
    m_Runs[Number].m_Events = Sent;
    return IsWhole;
  }
  bool stream(Connection &To, const std::string &Id, const std::string &Echo,
              int First, int &Sent) {
    rest(m_PrefillSeconds);
    if (!To.write("HTTP/1.1 200 OK\r\n" + Echo + "X-Server-Seal: " + m_Id +
                  "\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n"))
      return false;
    for (int I = First; I <= m_Events; ++I) {
      const std::string Event = "id: " + std::to_string(I) + "\ndata: " + Id +
                                "/" + std::to_string(I) + "\n\n";
      char Size[16];
      std::snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
      if (To.hasPeerClosed() || !To.write(Size + Event + "\r\n"))
        return false;
      ++Sent;
      rest(m_EventSeconds);
    }
    return To.write("0\r\n\r\n");
  }

  Store &m_Store;
  const std::string m_Id;
  const std::string m_Service;
  std::map<std::string, uint64_t> m_SizesMb;
  std::mutex m_Mutex;
  std::set<std::string> m_Models;
  std::string m_Loading;
  uint64_t m_Orders = 0;
  uint64_t m_Beats = 0;
  uint64_t m_HighestToken = 0;
  int64_t m_Born = 0;
  int m_Incarnation = 0;
  bool m_IsUp = false;
  bool m_IsDraining = false;
  bool m_HasLeft = false;
  std::vector<Run> m_Runs;
  std::atomic<size_t> m_Running = 0;
  Server m_Server;
};

/// The values of a settings file as DEPLOY.md shows it, with the bounds of the
/// site dielec-mag.
inline std::map<std::string, std::string> siteValues() {
  return {{"Zone", "barranquilla"},     {"Limits.CpuShare", "0.25"},
          {"Limits.MemoryMb", "260"},   {"Limits.MaxFds", "4200"},
          {"Bounds.DrainMs", "2000"},   {"Bounds.ConfigApplyMs", "2000"},
          {"Bounds.ContactMs", "3000"}, {"Bounds.BudgetRatio", "0.2"},
          {"Bounds.BudgetSlack", "52"}, {"Bounds.BudgetWindowS", "10"},
          {"Bounds.LeaseMs", "3000"},   {"Bounds.GraceS", "8"}};
}

/// Fills deploy/node.yaml in: sections without a value are left out.
inline std::string fillTemplate(std::string Text,
                                const std::map<std::string, std::string> &By) {
  size_t At;
  while ((At = Text.find("{{#")) != std::string::npos) {
    const size_t End = Text.find("}}", At);
    const std::string Name = Text.substr(At + 3, End - At - 3);
    const std::string Close = "{{/" + Name + "}}";
    const size_t Last = Text.find(Close, End);
    const std::string Inner =
        By.contains(Name) ? Text.substr(End + 2, Last - End - 2) : "";
    Text.replace(At, Last + Close.size() - At, Inner);
  }
  while ((At = Text.find("{{")) != std::string::npos) {
    const size_t End = Text.find("}}", At);
    const auto Found = By.find(Text.substr(At + 2, End - At - 2));
    Text.replace(At, End + 2 - At, Found == By.end() ? "" : Found->second);
  }
  return Text;
}

/// The processes under test, each at a loopback address of its own.
class Nodes {
public:
  Nodes(size_t Count, uint16_t StorePort,
        std::map<std::string, std::string> Values = siteValues())
      : Nodes(std::vector<uint16_t>(Count, StorePort), std::move(Values)) {}
  explicit Nodes(const std::vector<uint16_t> &StorePorts,
                 std::map<std::string, std::string> Values = siteValues())
      : m_Folder(std::filesystem::temp_directory_path() /
                 ("review-3-" + std::to_string(::getpid()))) {
    std::filesystem::create_directory(m_Folder);
    std::ifstream File("deploy/node.yaml");
    const std::string Template((std::istreambuf_iterator<char>(File)), {});
    const size_t Count = StorePorts.size();
    m_Base = freePorts(Count);
    for (size_t I = 0; I < Count; ++I) {
      std::map<std::string, std::string> Mine = Values;
      Mine["NodeName"] = "front-barranquilla-" + std::to_string(I + 1);
      Mine["Ip"] = ip(I);
      Mine["ListenAddrs.Front"] = ip(I) + ":" + std::to_string(m_Base + 20);
      Mine["ListenAddrs.Ready"] = ip(I) + ":" + std::to_string(m_Base + 21);
      Mine["PortRange.0"] = std::to_string(m_Base);
      Mine["PortRange.1"] = std::to_string(m_Base + 15);
      Mine["Platform.Address"] = "127.0.0.1:" + std::to_string(StorePorts[I]);
      std::ofstream(path(I)) << fillTemplate(Template, Mine);
      m_Pids.push_back(-1);
    }
  }
  ~Nodes() {
    for (size_t I = 0; I < m_Pids.size(); ++I)
      kill(I);
    std::filesystem::remove_all(m_Folder);
  }
  void start(size_t Node) {
    const std::string Path = path(Node);
    const std::string Log =
        m_Folder / ("node-" + std::to_string(Node) + ".log");
    const pid_t Parent = ::getpid();
    const pid_t Pid = ::fork();
    if (Pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != Parent)
        ::_exit(1);
      const int Fd = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(Fd, 1);
      ::dup2(Fd, 2);
      ::execl("target/bronzepass", "target/bronzepass", "gateway", Path.c_str(),
              static_cast<char *>(nullptr));
      ::_exit(127);
    }
    m_Pids[Node] = Pid;
  }
  void signal(size_t Node, int Signal) const {
    if (m_Pids[Node] > 0)
      ::kill(m_Pids[Node], Signal);
  }
  void kill(size_t Node) {
    if (m_Pids[Node] <= 0)
      return;
    ::kill(m_Pids[Node], SIGKILL);
    ::waitpid(m_Pids[Node], nullptr, 0);
    m_Pids[Node] = -1;
  }
  bool isAlive(size_t Node) {
    return m_Pids[Node] > 0 && ::waitpid(m_Pids[Node], nullptr, WNOHANG) == 0;
  }
  size_t count() const { return m_Pids.size(); }
  /// Of a block that other runs at the same time don't use.
  std::string ip(size_t Node) const {
    const int Run = ::getpid();
    return "127." + std::to_string(16 + Run % 200) + "." +
           std::to_string(Run / 200 % 250) + "." + std::to_string(21 + Node);
  }
  uint16_t frontPort() const { return static_cast<uint16_t>(m_Base + 20); }
  uint16_t readyPort() const { return static_cast<uint16_t>(m_Base + 21); }
  const std::filesystem::path &folder() const { return m_Folder; }
  bool awaitReady(double Seconds = 15);

private:
  std::string path(size_t Node) const {
    return m_Folder / ("node-" + std::to_string(Node) + ".yaml");
  }
  uint16_t freePorts(size_t Count) const {
    for (int Try = 0; Try < 200; ++Try) {
      const auto Base = static_cast<uint16_t>(20000 + draw() % 300 * 32);
      bool AllFree = true;
      for (size_t I = 0; I < Count && AllFree; ++I)
        for (uint16_t Port = Base; Port < Base + 22 && AllFree; ++Port)
          for (const int Type : {SOCK_STREAM, SOCK_DGRAM}) {
            const int Fd = ::socket(AF_INET, Type, 0);
            const sockaddr_in At = addressOf(ip(I), Port);
            AllFree =
                AllFree && ::bind(Fd, reinterpret_cast<const sockaddr *>(&At),
                                  sizeof(At)) == 0;
            ::close(Fd);
          }
      if (AllFree)
        return Base;
    }
    std::exit(2);
  }
  std::filesystem::path m_Folder;
  uint16_t m_Base = 0;
  std::vector<pid_t> m_Pids;
};

struct Answer {
  /// 0: no answer; -1: one that broke off.
  int m_Status = 0;
  std::string m_Body;
  std::map<std::string, std::string> m_Fields;
};

/// A client's connection.
class Caller {
public:
  static std::unique_ptr<Connection>
  connect(const std::string &Ip, uint16_t Port, double TimeoutSeconds = 20) {
    const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval Limit{static_cast<time_t>(TimeoutSeconds), 0};
    ::setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
    const sockaddr_in To = addressOf(Ip, Port);
    if (::connect(Fd, reinterpret_cast<const sockaddr *>(&To), sizeof(To)) !=
        0) {
      ::close(Fd);
      return nullptr;
    }
    return std::make_unique<Connection>(Fd);
  }
  static Answer receive(Connection &From) {
    Answer Got;
    std::string Head;
    if (!From.readHead(Head))
      return Got;
    Got.m_Fields = readFields(Head);
    const int Status = std::atoi(Head.c_str() + 9);
    Got.m_Status = -1;
    if (Got.m_Fields.contains("content-length")) {
      if (!From.readBytes(std::stoul(Got.m_Fields["content-length"]),
                          Got.m_Body))
        return Got;
    } else {
      for (;;) {
        std::string Line, Chunk;
        if (!From.readLine(Line))
          return Got;
        const size_t Size = std::stoul(Line, nullptr, 16);
        if (!From.readBytes(Size + 2, Chunk))
          return Got;
        if (Size == 0)
          break;
        Got.m_Body += Chunk.substr(0, Size);
      }
    }
    Got.m_Status = Status;
    return Got;
  }
};

inline bool Nodes::awaitReady(double Seconds) {
  const double Until = now() + Seconds;
  for (size_t I = 0; I < count(); ++I)
    for (;;) {
      if (now() > Until)
        return false;
      const auto To = Caller::connect(ip(I), readyPort(), 2);
      if (To && To->write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
          Caller::receive(*To).m_Status == 200)
        break;
      rest(0.05);
    }
  return true;
}

/// Clients with a connection each, which is kept while it can be.
class Callers {
public:
  struct Outcome {
    double m_SentAt = 0;
    std::string m_Id;
    int m_Status = 0;
  };
  Callers(Nodes &Of, size_t Count, std::string Path, double PauseSeconds,
          int DeadlineMs)
      : m_Nodes(Of), m_Path(std::move(Path)), m_Pause(PauseSeconds),
        m_DeadlineMs(DeadlineMs) {
    for (size_t I = 0; I < Count; ++I)
      m_Threads.emplace_back([this, I] { call(I); });
  }
  ~Callers() { stop(); }
  void stop() {
    m_Stopping = true;
    for (std::thread &Each : m_Threads)
      if (Each.joinable())
        Each.join();
  }
  /// The models that are asked for; none: nothing is sent.
  void setModels(std::vector<std::string> Models) {
    const std::scoped_lock Lock(m_Mutex);
    m_Models = std::move(Models);
  }
  std::vector<Outcome> outcomes() {
    const std::scoped_lock Lock(m_Mutex);
    return m_Outcomes;
  }

private:
  std::string pickModel() {
    const std::scoped_lock Lock(m_Mutex);
    return m_Models.empty() ? "" : m_Models[draw() % m_Models.size()];
  }
  void call(size_t Number) {
    std::unique_ptr<Connection> To;
    const size_t Node = Number % m_Nodes.count();
    // Callers don't keep step.
    rest(static_cast<double>(draw() % 2000) / 1000);
    while (!m_Stopping) {
      rest(m_Pause * (0.5 + static_cast<double>(draw() % 1000) / 1000));
      const std::string Model = pickModel();
      if (Model.empty())
        continue;
      if (!To)
        To = Caller::connect(m_Nodes.ip(Node), m_Nodes.frontPort());
      char Id[40];
      std::snprintf(Id, sizeof(Id), "%016llx",
                    static_cast<unsigned long long>(draw()));
      Outcome Ended{now(), Id, 0};
      SAY("send   %s to node %zu", Id, Node);
      const std::string Body(200, 'b');
      char Prefix[40];
      std::snprintf(Prefix, sizeof(Prefix), "%llx:628",
                    static_cast<unsigned long long>(draw() >> 32));
      Answer Got;
      if (To &&
          To->write("POST " + m_Path + " HTTP/1.1\r\nHost: h.example\r\n" +
                    "X-Request-Id: " + Id + "\r\nX-Model: " + Model +
                    "\r\nX-Token-Count: 628,290\r\nX-Prompt-Prefix: " + Prefix +
                    "\r\nX-Deadline-Ms: " + std::to_string(m_DeadlineMs) +
                    "\r\nContent-Length: " + std::to_string(Body.size()) +
                    "\r\n\r\n" + Body))
        Got = Caller::receive(*To);
      Ended.m_Status = Got.m_Status;
      SAY("answer %s: %s", Id,
          Got.m_Status == -1  ? "broken off"
          : Got.m_Status == 0 ? "none"
                              : std::to_string(Got.m_Status).c_str());
      if (Got.m_Status <= 0 || Got.m_Fields["connection"] == "close")
        To.reset();
      const std::scoped_lock Lock(m_Mutex);
      m_Outcomes.push_back(Ended);
    }
  }
  Nodes &m_Nodes;
  const std::string m_Path;
  const double m_Pause;
  const int m_DeadlineMs;
  std::atomic<bool> m_Stopping = false;
  std::mutex m_Mutex;
  std::vector<std::string> m_Models;
  std::vector<Outcome> m_Outcomes;
  std::vector<std::thread> m_Threads;
};

/// Keeps the entries of engines up to date.
class Heart {
public:
  explicit Heart(std::vector<Engine *> Of) {
    for (Engine *const Each : Of)
      std::thread([Each] {
        for (;;) {
          rest(HeartbeatSeconds);
          Each->beat();
        }
      }).detach();
  }
};

inline json route(const std::string &Name, const std::string &Prefix,
                  const std::string &Kind, const std::string &Service,
                  int TimeoutMs, int MaxAttempts, bool Resumes) {
  return {{"Name", Name},
          {"Host", "h.example"},
          {"PathPrefix", Prefix},
          {"Kind", Kind},
          {"Service", Service},
          {"TimeoutMs", TimeoutMs},
          {"SloMs", 500},
          {"Priority", 0},
          {"MaxAttempts", MaxAttempts},
          {"AllowResume", Resumes},
          {"GapTargetMs", 250},
          {"SessionAffinity", true}};
}

inline json engineService(const std::string &Name,
                          const std::map<std::string, uint64_t> &SizesMb) {
  json Models = json::array();
  for (const auto &Each : SizesMb)
    Models.push_back({{"Name", Each.first},
                      {"WeightsMb", Each.second},
                      {"LoadTimeS", 4.2},
                      {"Adapters", 0},
                      {"AdapterMb", 66}});
  return {{"Name", Name},
          {"MaxConns", 290},
          {"HealthPath", "/health"},
          {"Engine",
           {{"Slots", 48},
            {"KvCapacity", 153590},
            {"WeightsMb", 200000},
            {"AdapterSlots", 8},
            {"LoadsPerS", 2.2},
            {"Models", Models}}}};
}

inline json configuration(int Version, const json &Routes,
                          const json &Services) {
  return {{"Version", Version},
          {"Routes", Routes},
          {"Services", Services},
          {"Limits",
           {{"MaxHeaderBytes", 8192},
            {"MaxBodyBytes", 1048576},
            {"HeaderTimeoutMs", 2000},
            {"IdleTimeoutMs", 8000}}}};
}

/// Whether the disruption is on; TROUBLE=0 turns it off.
inline bool hasTrouble() {
  const char *const Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

/// Prints the verdict and ends the program, whose threads may still wait.
[[noreturn]] inline void finish(Nodes &Of, int Status, const std::string &Why) {
  SAY("verdict %d: %s", Status, Why.c_str());
  std::cout << (Status == 1   ? "broken: "
                : Status == 0 ? "held: "
                              : "could not run: ")
            << Why << std::endl;
  for (size_t I = 0; I < Of.count(); ++I)
    Of.kill(I);
  std::error_code Ignored;
  std::filesystem::remove_all(Of.folder(), Ignored);
  std::_Exit(Status);
}

} // namespace world
