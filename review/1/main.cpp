// Case 1: all nodes are killed while the last engine of an old software version
// leaves. The nodes that come back go on with its streams at another version.
#include "standins/Engine.h"

using namespace review;

namespace {

constexpr const char *Service = "desk";
constexpr const char *Model = "daka";
constexpr int Engines = 8;
constexpr int Callers = 40;
/// 60 events in 9 s; the callers wait for 15 s.
constexpr const char *TokenCount = "628,60";
constexpr int LastEvent = 60;
constexpr int64_t EventMs = 150;
constexpr int64_t DeadlineMs = 15000;
constexpr int64_t DrainMs = 2000;
/// The sheets give these callers one retry.
constexpr int Retries = 1;
constexpr int64_t RetryPauseMs = 1500;

std::string configText() {
  return json({{"Version", 7},
               {"Routes",
                {{{"Name", "defer"},
                  {"Host", "case.example"},
                  {"PathPrefix", "/defer/"},
                  {"Kind", "stream"},
                  {"TimeoutMs", 15000},
                  {"SloMs", 3000},
                  {"Priority", 1},
                  {"Service", Service},
                  {"MaxAttempts", 2},
                  {"SessionAffinity", true},
                  {"AllowResume", true},
                  {"GapTargetMs", 300}}}},
               {"Services",
                {{{"Name", Service},
                  {"HealthPath", "/health"},
                  {"MaxConns", 240},
                  {"Engine",
                   {{"Slots", 32},
                    {"KvCapacity", 118947},
                    {"Models",
                     {{{"Name", Model},
                       {"WeightsMb", 65500.0},
                       {"LoadTimeS", 3.8},
                       {"Adapters", 0},
                       {"AdapterMb", 40.0}}}},
                    {"WeightsMb", 200000.0},
                    {"AdapterSlots", 8},
                    {"LoadsPerS", 2.9}}}}}},
               {"Limits",
                {{"MaxHeaderBytes", 16384},
                 {"MaxBodyBytes", 4194304},
                 {"HeaderTimeoutMs", 3000},
                 {"IdleTimeoutMs", 15000}}}})
      .dump();
}

/// A caller that reads a stream, and takes it up again where it breaks off.
struct Caller {
  std::string m_Name;
  int m_Last = 0;
  bool m_Whole = false;
  std::vector<std::string> m_Versions;

  void read(Platform &Machines, size_t Node, Record &Log) {
    const SteadyTime Began = now();
    const SteadyTime Until = Began + std::chrono::milliseconds(DeadlineMs);
    std::string FirstId;
    for (int Attempt = 1; Attempt <= 1 + Retries && now() < Until && !m_Whole;
         ++Attempt) {
      const std::string Id = m_Name + "-" + std::to_string(Attempt);
      const int64_t Left =
          std::chrono::duration_cast<std::chrono::milliseconds>(Until - now())
              .count();
      std::vector<std::string> Headers = {
          "X-Request-Id: " + Id, std::string("X-Model: ") + Model,
          std::string("X-Token-Count: ") + TokenCount,
          "X-Prompt-Prefix: 5c1e07a2:100,91bd3f" + m_Name.substr(1) + ":528",
          "X-Deadline-Ms: " + std::to_string(Left)};
      if (m_Last > 0) {
        Headers.push_back("Last-Event-Id: " + std::to_string(m_Last));
        Headers.push_back("Resumes: " + FirstId);
      }
      // Retries reach other nodes.
      const Platform::Node &At =
          *Machines.nodes()[(Node + Attempt) % Machines.nodes().size()];
      const StreamAttempt Got =
          attemptStream(At, "/defer/x", Headers, "prompt", Until);
      if (Got.m_Status != 0)
        Log.line("caller " + m_Name + ": " + Id + " to " + At.m_Name +
                 (m_Last > 0 ? " after event " + std::to_string(m_Last) : "") +
                 " gets status " + std::to_string(Got.m_Status) + ", " +
                 std::to_string(Got.m_Events.size()) + " events of " +
                 (Got.m_Events.empty() ? "none" : Got.m_Events.back()) + ", " +
                 (Got.m_Whole ? "whole" : "broken off"));
      if (!Got.m_Events.empty()) {
        if (FirstId.empty())
          FirstId = Id;
        m_Versions.insert(m_Versions.end(), Got.m_Events.begin(),
                          Got.m_Events.end());
        m_Last = Got.m_LastEvent;
      }
      m_Whole = Got.m_Whole && m_Last == LastEvent;
      if (!m_Whole)
        sleepMs(RetryPauseMs);
    }
  }
  bool isMixed() const {
    return std::set<std::string>(m_Versions.begin(), m_Versions.end()).size() >
           1;
  }
};

} // namespace

int main(int Count, char **Values) {
  const Arguments Given(Count, Values);
  Record Log(Given.m_Record);
  Store Entries(Log);
  Entries.start();
  Entries.put("config", "main", configText());
  std::vector<std::unique_ptr<Engine>> All;
  const auto AddEngine = [&](int Number, const std::string &Version,
                             bool IsNew) {
    All.push_back(std::make_unique<Engine>(
        EngineOptions{.m_Id = "i-" + std::to_string(Number),
                      .m_Service = Service,
                      .m_Version = Version,
                      .m_Zone = "giza-hall",
                      .m_Models = {Model},
                      .m_EventMs = EventMs,
                      .m_IsNew = IsNew},
        Entries, Log));
    All.back()->start();
  };
  // A release that has reached the last engine.
  AddEngine(1, "v1", false);
  for (int Number = 2; Number <= Engines; ++Number)
    AddEngine(Number, "v2", false);
  Engine &Old = *All.front();
  Platform Machines(Given.m_Root, Given.m_Temporary, Log);
  for (const char *const Number : {"1", "2", "3"})
    Machines.addNode(std::string("front-") + Number,
                     std::string("127.0.1.") + Number, "giza-hall",
                     Entries.address());
  for (const auto &Each : Machines.nodes())
    Machines.start(*Each);
  if (!Machines.awaitReady(15000))
    cannotRun("the nodes do not become ready");
  sleepMs(3000);
  std::vector<std::unique_ptr<Caller>> Readers;
  std::vector<std::thread> Threads;
  for (int Number = 10; Number < 10 + Callers; ++Number) {
    Readers.push_back(std::make_unique<Caller>());
    Caller &Added = *Readers.back();
    Added.m_Name = "c" + std::to_string(Number);
    Threads.emplace_back([&, Number] {
      Added.read(Machines, static_cast<size_t>(Number), Log);
    });
    sleepMs(25);
  }
  sleepMs(500);
  const size_t OnOld = Old.running();
  Log.line(std::to_string(OnOld) + " streams run on the engine of version v1");
  if (OnOld < 3)
    cannotRun("too few streams on the old engine");
  AddEngine(Engines + 1, "v2", true); // The new one starts first.
  Old.drain();
  sleepMs(DrainMs);
  if (Given.m_Trouble) {
    Log.line("all nodes are killed at the same moment");
    for (const auto &Each : Machines.nodes())
      Machines.signal(*Each, SIGKILL);
  }
  sleepMs(500);
  Old.end("it has served for long enough after it said that it leaves");
  Old.leaveStore();
  if (Given.m_Trouble) {
    sleepMs(500);
    for (const auto &Each : Machines.nodes())
      Machines.start(*Each);
  }
  for (std::thread &Each : Threads)
    Each.join();
  size_t Mixed = 0;
  size_t Whole = 0;
  std::string Names;
  for (const std::unique_ptr<Caller> &Each : Readers) {
    Whole += Each->m_Whole ? 1 : 0;
    if (!Each->isMixed())
      continue;
    ++Mixed;
    Names += " " + Each->m_Name;
  }
  // The rule allows two.
  finish(Log, Mixed > 2, "ORDER",
         std::to_string(Mixed) +
             " streams hold events of two software versions" +
             (Names.empty() ? "" : ":" + Names) + "; " + std::to_string(Whole) +
             " of " + std::to_string(Readers.size()) + " streams were whole");
}
