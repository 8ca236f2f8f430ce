#include "UnitTests/Stops/StopCallers.h"
#include "UnitTests/Stops/StopEndpoint.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace {

using namespace bronzepass::unit_tests;
using namespace std::chrono_literals;
using nlohmann::json;
using soak::RequestKind;
using stops::PlannedRequest;

constexpr std::chrono::seconds ReadyLimit = 30s;
constexpr std::chrono::milliseconds LookPeriod = 20ms;
/// Until the nodes have agreed on who holds quotas.
constexpr std::chrono::seconds QuotaStart = 5s;
/// Traffic before the stop.
constexpr std::chrono::milliseconds Before = 1500ms;
/// Until this program has seen that a process is gone, or a caller its answer.
constexpr std::chrono::milliseconds SeenMargin = 250ms;
constexpr std::chrono::milliseconds UsualTimeout = 20s;
constexpr std::chrono::milliseconds UsualIdleTime = 15s;
/// Of a configuration that comes while the node stops.
constexpr std::chrono::milliseconds ShortTime = 1500ms;

json route(const char *Name, const char *Kind, const char *Service,
           int MaxAttempts, std::chrono::milliseconds Timeout) {
  return {{"Name", Name},
          {"Host", "h"},
          {"PathPrefix", std::string("/") + Name + "/"},
          {"Kind", Kind},
          {"Service", Service},
          {"TimeoutMs", Timeout.count()},
          {"SloMs", 1000},
          {"Priority", 0},
          {"GapTargetMs", 400},
          {"MaxAttempts", MaxAttempts},
          {"AllowResume", std::string(Name) == "resume"}};
}

json configuration(int Version, std::chrono::milliseconds Timeout,
                   std::chrono::milliseconds IdleTime, bool HasAllRoutes) {
  json Routes = {route("once", "non_idempotent", "plain", 1, Timeout),
                 route("live", "stream", "engine", 1, Timeout)};
  if (HasAllRoutes) {
    Routes.push_back(route("again", "idempotent", "plain", 3, Timeout));
    Routes.push_back(route("resume", "stream", "engine", 3, Timeout));
  }
  json Models = json::array();
  for (const char *const Each : {"m0", "m1"})
    Models.push_back({{"Name", Each},
                      {"WeightsMb", 40000},
                      {"LoadTimeS", 0.4},
                      {"Adapters", 1},
                      {"AdapterMb", 100}});
  const json Engine = {{"Slots", 64},         {"KvCapacity", 1000000},
                       {"WeightsMb", 100000}, {"AdapterSlots", 2},
                       {"LoadsPerS", 4},      {"Models", Models}};
  return {{"Version", Version},
          {"Limits",
           {{"MaxHeaderBytes", 8 << 10},
            {"MaxBodyBytes", 64 << 10},
            {"HeaderTimeoutMs", 3000},
            {"IdleTimeoutMs", IdleTime.count()}}},
          {"Routes", Routes},
          {"Services",
           {{{"Name", "engine"}, {"MaxConns", 0}, {"Engine", Engine}},
            {{"Name", "plain"}, {"MaxConns", 0}}}}};
}

/// One organisation, whose quota is a little more than the callers use.
json organisations() {
  return {{{"Name", "callers"},
           {"ApiKeys", {stops::CallerKey}},
           {"Priority", 0},
           {"Unit", "requests"},
           {"RatePerS", 1500},
           {"Burst", 300}}};
}

/// Every kind of request with every end, at several moments of the stop.
std::vector<PlannedRequest> plannedRequests() {
  const std::vector<PlannedRequest> Each = {
      {RequestKind::Once, "/once/answer-1000", "", "", {}},
      {RequestKind::Once, "/once/answer-3000", "", "", {}},
      {RequestKind::Once, "/once/answer-7000", "", "", {}},
      {RequestKind::Once, "/once/answer-12000", "", "", {}},
      {RequestKind::Once, "/once/never", "", "", {}},
      {RequestKind::Once, "/once/refuse-5000", "", "", {}},
      {RequestKind::Once, "/once/reset-5000", "", "", {}},
      {RequestKind::Repeatable, "/again/answer-4000", "", "", {}},
      {RequestKind::Repeatable, "/again/never", "", "", {}},
      {RequestKind::Repeatable, "/again/refuse-4500", "", "", {}},
      {RequestKind::Repeatable, "/again/reset-4500", "", "", {}},
      {RequestKind::LiveStream, "/live/stream-300", "m0", "200,40", {}},
      {RequestKind::LiveStream, "/live/stream-1200", "m0", "200,40", {}},
      {RequestKind::LiveStream, "/live/never", "m0", "200,40", {}},
      {RequestKind::LiveStream, "/live/refuse-5000", "m0", "200,40", {}},
      {RequestKind::LiveStream, "/live/part-5000", "m0", "200,40", {}},
      {RequestKind::LiveStream, "/live/stream-300", "m0/a1", "200,40", {}},
      {RequestKind::LiveStream, "/live/never", "m1", "60000,40", {}},
      {RequestKind::ResumableStream, "/resume/stream-1200", "m0", "20,40", {}},
      {RequestKind::ResumableStream, "/resume/part-2500", "m0", "20,40", {}},
      {RequestKind::ResumableStream, "/resume/never", "m0", "200,40", {}},
      {RequestKind::ResumableStream, "/resume/never", "m1", "60000,40", {}},
  };
  std::vector<PlannedRequest> All;
  for (const std::chrono::milliseconds At :
       {-1000ms, -100ms, 500ms, 1500ms, 2400ms, 2900ms})
    for (PlannedRequest Planned : Each) {
      Planned.m_At = At;
      All.push_back(std::move(Planned));
    }
  return All;
}

/// Replaces the grace in the settings of node 0.
void changeGrace(const std::string &Folder, int Millis) {
  const std::string Path = Folder + "/node-0.yaml";
  std::ifstream Old(Path);
  std::string Text((std::istreambuf_iterator<char>(Old)), {});
  const std::string Key = "grace: ";
  const size_t Begin = Text.find(Key) + Key.size();
  Text.replace(Begin, Text.find('}', Begin) - Begin,
               std::to_string(Millis) + "ms");
  std::ofstream(Path) << Text;
}

/// What an operator may do while a node stops.
void makeChanges(const std::string &Folder, soak::SoakNodes &Nodes,
                 soak::PlatformStore &Store, stops::StopCallers &Callers) {
  constexpr std::chrono::milliseconds ChangePeriod = 600ms;
  constexpr int SmallerGraceMs = 3000;
  constexpr int LargerGraceMs = 30000;
  std::this_thread::sleep_for(ChangePeriod);
  changeGrace(Folder, SmallerGraceMs);
  Nodes.reload(0);
  std::this_thread::sleep_for(ChangePeriod);
  Callers.setTimeout(ShortTime);
  Store.put("config", "main", configuration(2, ShortTime, ShortTime, true));
  std::this_thread::sleep_for(ChangePeriod);
  changeGrace(Folder, LargerGraceMs);
  Nodes.reload(0);
  Store.put("config", "main", configuration(3, ShortTime, ShortTime, false));
  std::this_thread::sleep_for(ChangePeriod);
  Nodes.reload(0);
  Store.put("config", "main",
            configuration(4, UsualTimeout, UsualIdleTime, true));
}

/// Each request that the log names has to end in it exactly once.
void checkLog(const std::string &Folder, size_t Node, bool IsServing,
              soak::RequestRecord &Record) {
  const std::set<std::string> Ends = {"answer", "refuse", "cut", "gone",
                                      "dropped"};
  std::map<std::string, size_t> EndCounts;
  std::map<std::string, size_t> Actions;
  std::ifstream Log(Folder + "/node-" + std::to_string(Node) + ".log");
  for (std::string Line; std::getline(Log, Line);) {
    const json Entry = json::parse(Line, nullptr, false);
    if (Entry.is_discarded() || !Entry.contains("request"))
      continue;
    const std::string Action = Entry["action"];
    ++Actions[Action];
    EndCounts[Entry["request"]] += Ends.contains(Action);
  }
  for (const auto &[Request, Count] : EndCounts)
    if (Count != 1)
      Record.violation("log", Request + " ends " + std::to_string(Count) +
                                  " times in the log");
  if (Actions["answer"] == 0 && IsServing)
    Record.violation("log", "node " + std::to_string(Node) + " serves nothing");
  std::cerr << "log of node " << Node << ":";
  for (const auto &[Action, Count] : Actions)
    std::cerr << " " << Action << ": " << Count;
  std::cerr << std::endl;
}

/// Stops a node; it has to end in time.
void stop(soak::SoakNodes &Nodes, size_t Node, soak::RequestRecord &Record) {
  const soak::SteadyTime Start = std::chrono::steady_clock::now();
  Nodes.stopAndWait(Node);
  const auto Took = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - Start);
  if (Took > soak::StopGrace + SeenMargin)
    Record.violation("planned stops", "the process took too long");
  std::cerr << "stopped within " << Took.count() << " ms" << std::endl;
}

void awaitReady(soak::SoakNodes &Nodes, soak::RequestRecord &Record) {
  const soak::SteadyTime End = std::chrono::steady_clock::now() + ReadyLimit;
  for (size_t I = 0; I < Nodes.count(); ++I) {
    while (!Nodes.isReady(I) && std::chrono::steady_clock::now() < End)
      std::this_thread::sleep_for(LookPeriod);
    if (!Nodes.isReady(I))
      Record.violation("ready", "a node does not become ready");
  }
}

/// What surrounds the nodes, each of which has a store of its own.
struct Surroundings {
  soak::RequestRecord m_Record;
  std::vector<std::unique_ptr<soak::PlatformStore>> m_Stores;
  std::vector<std::unique_ptr<stops::StopEndpoint>> m_Endpoints;
  std::unique_ptr<soak::SoakNodes> m_Nodes;
};

/// Unless \p IsFirstLinked, only the last node reaches endpoints.
void prepare(Surroundings &World, size_t NodeCount, bool IsFirstLinked,
             const std::string &Folder, uint16_t Port) {
  for (const char *const Id : {"s-0", "s-1"})
    World.m_Endpoints.push_back(std::make_unique<stops::StopEndpoint>(
        World.m_Record, Id, "plain", std::set<std::string>()));
  for (const char *const Id : {"e-0", "e-1"})
    World.m_Endpoints.push_back(std::make_unique<stops::StopEndpoint>(
        World.m_Record, Id, "engine", std::set<std::string>{"m0", "m1"}));
  for (size_t I = 0; I < NodeCount; ++I)
    World.m_Stores.push_back(std::make_unique<soak::PlatformStore>());
  World.m_Nodes = std::make_unique<soak::SoakNodes>(
      NodeCount, Port, Folder,
      [&](size_t Node) -> soak::PlatformStore & {
        return *World.m_Stores[IsFirstLinked ? 0 : Node];
      },
      World.m_Record, soak::PlantedFault::None);
  for (size_t I = 0; I < NodeCount; ++I) {
    for (const std::unique_ptr<stops::StopEndpoint> &Each : World.m_Endpoints)
      Each->enter(*World.m_Stores[I], IsFirstLinked || I + 1 == NodeCount);
    for (size_t Other = 0; Other < NodeCount; ++Other)
      if (Other != I)
        World.m_Stores[I]->put("bronzepass-nodes",
                               "node-" + std::to_string(Other),
                               {{"ip", "127.0.0.1"},
                                {"port", World.m_Nodes->peerPort(Other)},
                                {"failureDomain", "z0"},
                                {"cpuPercent", 100}});
  }
}

int runStop(const std::string &Folder, const std::string &Name, uint16_t Port) {
  const bool IsConfigured = Name != "unconfigured";
  const bool IsForwarded = Name == "forwarding" || Name == "forwarded";
  const bool HasQuotas = Name == "quotas";
  // The first node holds the quotas, so that the other one has to ask for them.
  const size_t Called = HasQuotas ? 1 : 0;
  const size_t Stopping = HasQuotas || Name == "forwarded" ? 1 : 0;
  Surroundings World;
  prepare(World, IsForwarded || HasQuotas ? 2 : 1, HasQuotas, Folder, Port);
  soak::RequestRecord &Record = World.m_Record;
  soak::SoakNodes &Nodes = *World.m_Nodes;
  for (size_t I = 0; I < Nodes.count(); ++I) {
    json Configuration = configuration(1, UsualTimeout, UsualIdleTime, true);
    if (HasQuotas)
      Configuration["Tenants"] = organisations();
    if (IsConfigured)
      World.m_Stores[I]->put("config", "main", Configuration);
    Nodes.start(I);
  }
  if (IsConfigured)
    awaitReady(Nodes, Record);
  if (HasQuotas)
    std::this_thread::sleep_for(QuotaStart);
  {
    const soak::SteadyTime StopAt = std::chrono::steady_clock::now() + Before;
    stops::StopCallers Callers(Nodes, Called, Stopping, Record,
                               plannedRequests(), StopAt, UsualTimeout);
    std::this_thread::sleep_until(StopAt);
    std::thread Changes;
    if (Name == "changes")
      Changes = std::thread(
          [&] { makeChanges(Folder, Nodes, *World.m_Stores[0], Callers); });
    stop(Nodes, Stopping, Record);
    if (Changes.joinable())
      Changes.join();
    std::cerr << "answers:";
    for (const auto &[End, Count] : Callers.counts())
      std::cerr << " " << End << ": " << Count;
    std::cerr << std::endl;
  }
  for (size_t I = 0; I < Nodes.count(); ++I) {
    if (I != Stopping)
      stop(Nodes, I, Record);
    checkLog(Folder, I, IsConfigured && !(HasQuotas && I != Called), Record);
  }
  Record.finish();
  size_t Violations = 0;
  for (const auto &[Promise, Times] : Record.violations()) {
    std::cerr << "promise broken " << Times << " times: " << Promise
              << std::endl;
    Violations += static_cast<size_t>(Times);
  }
  for (const std::unique_ptr<soak::PlatformStore> &Each : World.m_Stores)
    Each->stop();
  return Violations == 0 ? 0 : 1;
}

} // namespace

int main(int Count, char **Arguments) {
  constexpr int ArgumentCount = 5;
  if (Count != ArgumentCount) {
    std::cerr << "usage: bronzepass-stops --folder FOLDER NAME PORT"
              << std::endl;
    return 2;
  }
  return runStop(Arguments[2], Arguments[3],
                 static_cast<uint16_t>(std::stoul(Arguments[4])));
}
