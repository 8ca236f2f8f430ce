// Case 3: an adapter whose streams still run is unloaded, and its place is
// given away before the engine has freed it.
#include "standins/Engine.h"

using namespace review;

namespace {

constexpr const char *Service = "desk";
constexpr const char *Model = "daka";
constexpr int Places = 8;
/// 48 events in 5.8 s: an ordinary conversation of the sheets, with pauses well
/// below the 300 ms that the route allows.
constexpr const char *TokenCount = "628,48";
constexpr int64_t EventMs = 120;

std::string configText() {
  return json({{"Version", 7},
               {"Routes",
                {{{"Name", "chat"},
                  {"Host", "case.example"},
                  {"PathPrefix", "/chat/"},
                  {"Kind", "stream"},
                  {"TimeoutMs", 12000},
                  {"SloMs", 500},
                  {"Priority", 1},
                  {"Service", Service},
                  {"MaxAttempts", 1},
                  {"SessionAffinity", true},
                  {"AllowResume", false},
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
                       {"Adapters", 28},
                       {"AdapterMb", 40.0}}}},
                    {"WeightsMb", 200000.0},
                    {"AdapterSlots", Places},
                    {"LoadsPerS", 2.9}}}}}},
               {"Limits",
                {{"MaxHeaderBytes", 16384},
                 {"MaxBodyBytes", 4194304},
                 {"HeaderTimeoutMs", 3000},
                 {"IdleTimeoutMs", 15000}}}})
      .dump();
}

/// A caller that asks for an adapter, and again where it is refused.
struct Caller {
  std::string m_Adapter;
  std::string m_Name;
  std::string m_Result = "never answered";
  bool m_Began = false;
  bool m_Whole = false;

  void ask(Platform::Node &At, Record &Log) {
    const SteadyTime Until = now() + std::chrono::seconds(12);
    for (int Attempt = 1; Attempt <= 6 && now() < Until; ++Attempt) {
      const std::string Id = m_Name + "-" + std::to_string(Attempt);
      Log.line("caller " + m_Name + " sends " + Id + " for " + m_Adapter +
               " to " + At.m_Name);
      const StreamAttempt Got = attemptStream(
          At, "/chat/x",
          {"X-Request-Id: " + Id, "X-Model: " + m_Adapter,
           std::string("X-Token-Count: ") + TokenCount,
           "X-Prompt-Prefix: 5c1e07a2:100,91bd3f0" + m_Name.substr(1) + ":528",
           "X-Deadline-Ms: 12000"},
          "prompt", Until);
      m_Result = "status " + std::to_string(Got.m_Status) + ", " +
                 std::to_string(Got.m_Events.size()) + " events, " +
                 (Got.m_Whole ? "whole" : "broken off");
      Log.line("caller " + m_Name + " gets " + m_Result);
      m_Began = m_Began || !Got.m_Events.empty();
      m_Whole = Got.m_Whole && Got.m_Status == 200;
      if (m_Began)
        return;
      sleepMs(
          std::max<int64_t>(50, static_cast<int64_t>(Got.m_RetryAfter * 1000)));
    }
  }
};

} // namespace

int main(int Count, char **Values) {
  const Arguments Given(Count, Values);
  Record Log(Given.m_Record);
  Store Entries(Log);
  Entries.start();
  Entries.put("config", "main", configText());
  Engine Holder({.m_Id = "i-holder",
                 .m_Service = Service,
                 .m_Zone = "giza-hall",
                 .m_Models = {Model},
                 .m_AdapterSlots = Places,
                 .m_EventMs = EventMs},
                Entries, Log);
  Holder.start();
  Platform Machines(Given.m_Root, Given.m_Temporary, Log);
  for (const char *const Number : {"1", "2"})
    Machines.start(Machines.addNode(std::string("front-") + Number,
                                    std::string("127.0.1.") + Number,
                                    "giza-hall", Entries.address()));
  if (!Machines.awaitReady(15000))
    cannotRun("the nodes do not become ready");
  // The holder of the placement lease waits for its term and the reports.
  sleepMs(9000);
  std::vector<std::unique_ptr<Caller>> Callers;
  std::vector<std::thread> Threads;
  const auto Ask = [&](int Number) {
    Callers.push_back(std::make_unique<Caller>());
    Caller &Added = *Callers.back();
    Added.m_Adapter = std::string(Model) + "/a" + std::to_string(Number);
    Added.m_Name = "c" + std::to_string(Number);
    Threads.emplace_back([&Added, &Machines, &Log, Number] {
      Added.ask(*Machines.nodes()[Number % 2], Log);
    });
  };
  Log.line("streams on as many adapters as the engine has places for");
  for (int Number = 1; Number <= Places; ++Number) {
    Ask(Number);
    sleepMs(100);
  }
  // Without the trouble, the rare adapters are asked for once the streams have
  // ended.
  sleepMs(Given.m_Trouble ? 2500 : 6500);
  if (Holder.running() != (Given.m_Trouble ? Places : 0))
    cannotRun("the streams did not run as planned: " +
              std::to_string(Holder.running()));
  Log.line("rare adapters are asked for at once");
  for (int Number = Places + 1; Number <= Places + 3; ++Number)
    Ask(Number);
  for (std::thread &Each : Threads)
    Each.join();
  size_t Lost = 0;
  for (const std::unique_ptr<Caller> &Each : Callers)
    Lost += Each->m_Began && !Each->m_Whole ? 1 : 0;
  if (!Holder.wasOverloaded() && Lost > 0)
    cannotRun("streams were lost for another cause");
  finish(Log, Holder.wasOverloaded(), "LIMIT",
         (Holder.wasOverloaded() ? Holder.overload()
                                 : "no engine was ordered to hold too much") +
             "; " + std::to_string(Lost) + " of " +
             std::to_string(Callers.size()) + " streams were broken off");
}
