// A model engine of the users' pages, as far as the scripts need one: entry and
// heartbeat in the store, reports, orders, streams of events.
#pragma once

#include "World.h"

namespace review {

struct EngineOptions {
  std::string m_Id;
  std::string m_Service;
  std::string m_Version = "v1";
  std::string m_Zone;
  std::vector<std::string> m_Models;
  size_t m_Slots = 32;
  size_t m_AdapterSlots = 8;
  int64_t m_EventMs = 120;
  /// A load takes this long.
  int64_t m_LoadMs = 800;
  /// A part of a prompt on which it crashes; empty if there is none.
  std::string m_CrashPart = {};
  /// After a crash on that part it is back, empty, after this time.
  int64_t m_BackMs = 4000;
  /// A new engine starts with no copies.
  bool m_IsNew = false;
};

class Engine {
public:
  Engine(EngineOptions Options, Store &Entries, Record &Log)
      : m_Options(std::move(Options)), m_Store(Entries), m_Log(Log),
        m_Server("127.0.0.1", [this](Wire &To, Message &Request) {
          return answer(To, Request);
        }) {
    for (const std::string &Each : m_Options.m_Models)
      if (!m_Options.m_IsNew)
        m_Adapters[Each];
  }
  ~Engine() {
    m_Ends = true;
    if (m_Return.joinable())
      m_Return.join();
    end("the case ends");
  }

  const std::string &id() const { return m_Options.m_Id; }

  void start() {
    m_BornMs = unixMs();
    m_Server.start();
    m_Alive = true;
    m_Beat = std::thread([this] {
      while (m_Alive) {
        writeEntry();
        for (int I = 0; I < 60 && m_Alive; ++I)
          sleepMs(20);
      }
    });
    m_Log.line("engine " + id() + " (" + m_Options.m_Version + ") starts at " +
               m_Server.address());
  }
  /// Reports that it is leaving; it still serves.
  void drain() {
    m_Draining = true;
    writeEntry();
    m_Log.line("engine " + id() + " is draining");
  }
  /// Ends: its port closes and its connections are reset.
  void end(const std::string &Why) {
    if (!m_Alive.exchange(false))
      return;
    m_Log.line("engine " + id() + " ends: " + Why);
    m_Server.stop();
    m_Beat.join();
  }
  /// The store removes its entry.
  void leaveStore() {
    m_Store.remove("servers", id());
    m_Log.line("the entry of engine " + id() + " is removed");
  }

  bool isAlive() const { return m_Alive && !m_Overloaded; }
  /// It was ordered to load more than it holds.
  bool wasOverloaded() const { return m_Overloaded; }
  std::string overload() const {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_Overload;
  }
  size_t running() const { return m_Running; }
  size_t crashes() const { return m_Crashes; }

private:
  struct Adapter {
    size_t m_Runs = 0;
    /// An unload waits for its runs to end.
    bool m_IsLeaving = false;
  };

  json modelsJson() {
    isBusy();
    json Models = json::array();
    for (const auto &Each : m_Adapters) {
      json Names = json::array();
      for (const auto &Held : Each.second)
        Names.push_back(Held.first);
      Models.push_back(
          {{"Name", Each.first}, {"Version", 1}, {"Adapters", Names}});
    }
    return Models;
  }
  /// Its disk keeps what it held at the start.
  json availableJson() const {
    return {{"Resident", json::array()},
            {"OnDisk", m_Options.m_IsNew ? std::vector<std::string>()
                                         : m_Options.m_Models}};
  }
  void writeEntry() {
    std::string Text;
    {
      const std::lock_guard<std::mutex> Lock(m_Mutex);
      Text = json({{"Service", m_Options.m_Service},
                   {"Address", m_Server.address()},
                   {"Zone", m_Options.m_Zone},
                   {"Version", m_Options.m_Version},
                   {"Slots", m_Options.m_Slots},
                   {"State", m_Draining ? "draining" : "ready"},
                   {"ColdLeftMs", 0},
                   {"Phase", "colocated"},
                   {"Models", modelsJson()},
                   {"Available", availableJson()},
                   {"born", m_BornMs},
                   {"Sequence", ++m_Beats}})
                 .dump();
    }
    m_Store.put("servers", id(), Text);
  }
  bool answer(Wire &To, Message &Request) {
    const std::string Expected = Request.header("X-Expect-Instance");
    const std::string Path = Request.path();
    if (!Expected.empty() && Expected != id())
      return To.send(httpText(421, "X-Instance-Id: " + id() + "\r\n", ""));
    if (Path == "/report")
      return To.send(httpText(200, "", report()));
    if (Path == "/order")
      return order(To, Request);
    return run(To, Request);
  }
  std::string report() {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    return json({{"Phase", "colocated"},
                 {"Models", modelsJson()},
                 {"Available", availableJson()},
                 {"Busy", isBusy()},
                 {"Sequence", m_Orders},
                 {"Queued", 0},
                 {"Running", m_Running.load()},
                 {"KvUsed", 1000},
                 {"KvTotal", 118947},
                 {"Handles", 0},
                 {"State", m_Draining ? "draining" : "ready"},
                 {"Pending", json::array()},
                 {"born", m_BornMs}})
        .dump();
  }
  bool order(Wire &To, const Message &Request) {
    const json Body = json::parse(Request.m_Body, nullptr, false);
    int Status = 400;
    if (Body.is_object() && Body.contains("Operation") &&
        Body.contains("Holder") && Body.contains("FencingToken"))
      Status = carryOut(Body);
    m_Log.line("engine " + id() + " is ordered " + Request.m_Body +
               " and answers " + std::to_string(Status));
    if (m_Overloaded) {
      std::thread([this] { end("it crashes"); }).detach();
      return false;
    }
    return To.send(httpText(Status, "", ""));
  }
  int carryOut(const json &Body) {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    const uint64_t Token = Body["FencingToken"].get<uint64_t>();
    if (Token < m_Token)
      return 412;
    m_Token = Token;
    if (Body.contains("Expected") &&
        Body["Expected"].get<uint64_t>() != m_Orders)
      return 409;
    const std::string Model = Body.value("Model", "");
    const std::string Name = Body.value("Adapter", "");
    if (isBusy())
      return 409;
    const bool IsLoad = Body["Operation"] == "load";
    if (Name.empty())
      return carryOutModel(Model, IsLoad);
    if (!m_Adapters.contains(Model))
      return 421;
    std::map<std::string, Adapter> &Held = m_Adapters[Model];
    const auto Found = Held.find(Name);
    if (IsLoad) {
      if (Found != Held.end() && !Found->second.m_IsLeaving)
        return 200;
      ++m_Orders;
      if (Found != Held.end()) {
        Found->second.m_IsLeaving = false;
        return 202;
      }
      Held[Name];
      checkSlots();
      return 202;
    }
    if (Found == Held.end())
      return 200;
    ++m_Orders;
    // An adapter that no request uses is unloaded immediately; otherwise the
    // unload waits for the adapter's runs to end.
    if (Found->second.m_Runs == 0) {
      Held.erase(Found);
      return 200;
    }
    Found->second.m_IsLeaving = true;
    return 202;
  }
  int carryOutModel(const std::string &Model, bool IsLoad) {
    if (m_Adapters.contains(Model) == IsLoad)
      return 200;
    ++m_Orders;
    if (IsLoad) {
      m_Loading = Model;
      m_LoadedAt = now() + std::chrono::milliseconds(m_Options.m_LoadMs);
    } else {
      m_Unloading = Model;
    }
    return 202;
  }
  /// Whether an order for a model is under way; ends one that is due. An unload
  /// waits for the model's runs to end.
  bool isBusy() {
    if (!m_Loading.empty() && now() >= m_LoadedAt)
      m_Adapters[std::exchange(m_Loading, {})];
    if (!m_Unloading.empty() && m_ModelRuns[m_Unloading] == 0)
      m_Adapters.erase(std::exchange(m_Unloading, {}));
    return !m_Loading.empty() || !m_Unloading.empty();
  }
  void checkSlots() {
    size_t Count = 0;
    std::string Names;
    for (const auto &Model : m_Adapters)
      for (const auto &Each : Model.second) {
        ++Count;
        Names += " " + Model.first + "/" + Each.first + " (" +
                 std::to_string(Each.second.m_Runs) + " runs)";
      }
    if (Count <= m_Options.m_AdapterSlots)
      return;
    m_Overload = "engine " + id() + " has " +
                 std::to_string(m_Options.m_AdapterSlots) +
                 " places for adapters and is ordered to hold " +
                 std::to_string(Count) + ":" + Names;
    m_Overloaded = true;
  }
  /// Begins the use of an adapter; false where it does not hold it.
  bool acquire(const std::string &Model, const std::string &Name) {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    isBusy();
    const auto Found = m_Adapters.find(Model);
    if (Found == m_Adapters.end())
      return false;
    if (Name.empty()) {
      ++m_ModelRuns[Model];
      return true;
    }
    const auto Held = Found->second.find(Name);
    if (Held == Found->second.end() || Held->second.m_IsLeaving)
      return false;
    ++Held->second.m_Runs;
    ++m_ModelRuns[Model];
    return true;
  }
  bool isLeaving(const std::string &Model) {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    return isBusy() && m_Unloading == Model;
  }
  void release(const std::string &Model, const std::string &Name) {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    --m_ModelRuns[Model];
    if (Name.empty())
      return;
    std::map<std::string, Adapter> &All = m_Adapters[Model];
    const auto Held = All.find(Name);
    if (Held != All.end() && --Held->second.m_Runs == 0 &&
        Held->second.m_IsLeaving)
      All.erase(Held);
  }
  bool run(Wire &To, const Message &Request) {
    const std::string Id = Request.header("X-Request-Id");
    const std::string Use = Request.header("X-Model");
    const std::string Model = Use.substr(0, Use.find('/'));
    const std::string Name =
        Use.find('/') == std::string::npos ? "" : Use.substr(Use.find('/') + 1);
    const std::string Echo = "X-Request-Id: " + Id + "\r\n";
    if (isLeaving(Model))
      return To.send(httpText(503, Echo + "X-Not-Run: 1\r\n", ""));
    if (!acquire(Model, Name))
      return To.send(
          httpText(421, Echo + "X-Instance-Id: " + id() + "\r\n", ""));
    const int First = std::atoi(Request.header("Last-Event-Id").c_str()) + 1;
    const std::string Counts = Request.header("X-Token-Count");
    const int Last =
        std::max(1, std::atoi(Counts.substr(Counts.find(',') + 1).c_str()));
    ++m_Running;
    m_Log.line("engine " + id() + " (" + m_Options.m_Version + ") runs " + Id +
               " for " + Use + " from event " + std::to_string(First));
    if (!m_Options.m_CrashPart.empty() &&
        Request.header("X-Prompt-Prefix").find(m_Options.m_CrashPart + ":") !=
            std::string::npos) {
      crash(Id);
      return false;
    }
    bool Whole = To.send("HTTP/1.1 200 OK\r\n" + Echo + "X-Server-Seal: s." +
                         id() + "." + Id +
                         "\r\nX-Weight-Versions: 1\r\nContent-Type: "
                         "text/event-stream\r\nTransfer-Encoding: "
                         "chunked\r\n\r\n");
    for (int I = First; I <= Last && Whole && isAlive(); ++I) {
      for (int64_t Waited = 0; Waited < m_Options.m_EventMs && isAlive();
           Waited += 20)
        sleepMs(20);
      const std::string Event = "id: " + std::to_string(I) +
                                "\ndata: " + m_Options.m_Version + "\n\n";
      std::ostringstream Size;
      Size << std::hex << Event.size();
      Whole = isAlive() && !To.peerClosed() &&
              To.send(Size.str() + "\r\n" + Event + "\r\n");
    }
    Whole = Whole && isAlive() && To.send("0\r\n\r\n");
    release(Model, Name);
    --m_Running;
    m_Log.line("engine " + id() + (Whole ? " ends " : " breaks off ") + Id);
    if (!Whole && To.fd() >= 0) {
      const linger Linger{1, 0};
      ::setsockopt(To.fd(), SOL_SOCKET, SO_LINGER, &Linger, sizeof(Linger));
    }
    return Whole;
  }

  /// Ends while it begins to write an answer, and is back later.
  void crash(const std::string &Id) {
    --m_Running;
    if (m_Crashing.exchange(true))
      return;
    ++m_Crashes;
    if (m_Return.joinable())
      m_Return.join();
    m_Return = std::thread([this, Id] {
      end("it crashes on " + Id);
      // The store drops an entry after three heartbeats of silence.
      for (int64_t Waited = 0; Waited < m_Options.m_BackMs; Waited += 20) {
        sleepMs(20);
        if (m_Ends)
          return;
        if (Waited == 3600)
          leaveStore();
      }
      {
        const std::lock_guard<std::mutex> Lock(m_Mutex);
        m_Adapters.clear();
        m_Loading.clear();
        m_Unloading.clear();
        m_ModelRuns.clear();
        m_Orders = 0;
        m_Token = 0;
      }
      m_Crashing = false;
      start();
    });
  }

  const EngineOptions m_Options;
  Store &m_Store;
  Record &m_Log;
  mutable std::mutex m_Mutex;
  std::map<std::string, std::map<std::string, Adapter>> m_Adapters;
  uint64_t m_Orders = 0;
  uint64_t m_Token = 0;
  uint64_t m_Beats = 0;
  int64_t m_BornMs = 0;
  std::string m_Overload;
  std::string m_Loading;
  std::string m_Unloading;
  std::map<std::string, size_t> m_ModelRuns;
  SteadyTime m_LoadedAt;
  std::thread m_Return;
  std::atomic<size_t> m_Crashes{0};
  std::atomic<bool> m_Crashing{false};
  std::atomic<bool> m_Ends{false};
  std::atomic<size_t> m_Running{0};
  std::atomic<bool> m_Alive{false};
  std::atomic<bool> m_Draining{false};
  std::atomic<bool> m_Overloaded{false};
  std::thread m_Beat;
  Server m_Server;
};

/// One client attempt on a stream.
struct StreamAttempt {
  int m_Status = 0; // 0: no answer
  double m_RetryAfter = 0;
  bool m_Whole = false;
  int m_LastEvent = 0;
  /// What the events' data say: the version of the engine that made them.
  std::vector<std::string> m_Events;
  std::string m_Seal;
};

/// Sends the body in pieces of 64 KiB, \p PieceMs apart.
inline StreamAttempt attemptStream(const Platform::Node &At,
                                   const std::string &Path,
                                   const std::vector<std::string> &Headers,
                                   const std::string &Body, SteadyTime Until,
                                   int64_t PieceMs = 0) {
  constexpr size_t PieceBytes = 64 << 10;
  StreamAttempt Result;
  Wire To;
  if (!To.connectTo(At.m_Ip, At.m_Callers))
    return Result;
  std::string Text = "POST " + Path + " HTTP/1.1\r\nHost: case.example\r\n";
  for (const std::string &Each : Headers)
    Text += Each + "\r\n";
  Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
  for (size_t Sent = 0; Sent < Body.size(); Sent += PieceBytes) {
    Text += Body.substr(Sent, PieceBytes);
    if (!To.send(Text))
      return Result;
    Text.clear();
    if (Body.size() > PieceBytes)
      sleepMs(PieceMs);
  }
  const std::optional<Message> Head = To.readHead(Until);
  if (!Head)
    return Result;
  Result.m_Status = Head->status();
  Result.m_Seal = Head->header("X-Server-Seal");
  Result.m_RetryAfter = std::atof(Head->header("Retry-After").c_str());
  std::string Buffer;
  Result.m_Whole = To.readBody(*Head, Until, [&](const std::string &Piece) {
    if (Result.m_Status != 200)
      return;
    Buffer += Piece;
    for (size_t End = Buffer.find("\n\n"); End != std::string::npos;
         End = Buffer.find("\n\n")) {
      const std::string Event = Buffer.substr(0, End);
      Buffer.erase(0, End + 2);
      Result.m_LastEvent = std::atoi(Event.c_str() + 4);
      Result.m_Events.push_back(Event.substr(Event.find("data: ") + 6));
    }
  });
  return Result;
}

} // namespace review
