// Two software versions of a service serve. Another writer writes entries under
// the ids of their engines that have no field `Version`; the engines' next
// heartbeat writes their own again. Before that, one engine crashes.
#include "World.h"

using namespace world;

int main(int, char **Arguments) {
  Record::get().open(Arguments[1]);
  const std::map<std::string, uint64_t> Sizes = {{"m0", 34300}};
  Store Platform;
  if (!Platform.open())
    return 2;
  json Route = route("a", "/s/", "stream", "grade-writer", 15000, 2, true);
  Route["SloMs"] = 1200;
  Route["GapTargetMs"] = 400;
  Platform.put(
      "config", "main",
      configuration(1, json::array({Route}),
                    json::array({engineService("grade-writer", Sizes)})));
  std::vector<std::unique_ptr<Engine>> Engines;
  for (int I = 0; I < 6; ++I) {
    Engines.push_back(std::make_unique<Engine>(
        Platform, "i-" + std::to_string(I), "grade-writer", Sizes,
        std::set<std::string>{"m0"}));
    Engines.back()->m_Version = I < 2 ? "v1" : "v2";
    if (!Engines.back()->start())
      return 2;
  }
  std::atomic<double> BeatAt = now();
  std::thread([&] {
    for (;;) {
      rest(HeartbeatSeconds);
      for (const auto &Each : Engines)
        Each->beat();
      BeatAt = now();
    }
  }).detach();
  auto Values = siteValues();
  Values["Bounds.BudgetSlack"] = "58";
  Nodes Machines(3, Platform.port(), Values);
  for (size_t I = 0; I < Machines.count(); ++I)
    Machines.start(I);
  if (!Machines.awaitReady())
    finish(Machines, 2, "the nodes are not ready");
  Callers Clients(Machines, 108, "/s/x", 0.1, 15000);
  Clients.setModels({"m0"});
  rest(8);
  const double Last = BeatAt;
  while (BeatAt == Last)
    rest(0.001);
  const double Beat = BeatAt;
  sleepUntil(Beat + 0.5);
  // An ordinary change of an entry; nodes gather changes after it.
  Engines[5]->m_ColdLeftMs = 100;
  Engines[5]->beat();
  SAY("store  an ordinary change of the entry of i-5");
  sleepUntil(Beat + HeartbeatSeconds + 0.06);
  if (hasTrouble())
    for (const auto &Each : Engines) {
      json Foreign = Each->entry();
      Foreign.erase("Version");
      SAY("store  another writer's entry under %s: %s", Each->id().c_str(),
          Foreign.dump().c_str());
      Platform.put("servers", Each->id(), Foreign);
    }
  sleepUntil(Beat + 2.75);
  Engine &Lost = *Engines.front();
  SAY("engine %s crashes with %zu running streams", Lost.id().c_str(),
      Lost.running());
  Lost.crash();
  rest(3.6);
  Lost.unregister();
  Clients.setModels({});
  rest(2.5);
  Clients.stop();

  std::map<std::string, std::set<std::string>> VersionsOf;
  for (const auto &Each : Engines)
    for (const Engine::Run &Run : Each->runs())
      if (Run.m_Events > 0)
        VersionsOf[Run.m_Id].insert(Each->m_Version);
  size_t Mixed = 0, MixedWhole = 0, Served = 0;
  for (const Callers::Outcome &Each : Clients.outcomes()) {
    const bool IsMixed = VersionsOf[Each.m_Id].size() > 1;
    Mixed += IsMixed;
    MixedWhole += IsMixed && Each.m_Status == 200;
    Served += Each.m_Status == 200;
    if (IsMixed)
      SAY("mixed  %s holds events of v1 and v2, status %d", Each.m_Id.c_str(),
          Each.m_Status);
  }
  for (size_t I = 0; I < Machines.count(); ++I)
    if (!Machines.isAlive(I))
      finish(Machines, 2, "a node ended");
  const std::string Text = std::to_string(Mixed) +
                           " streams hold events of two software versions, " +
                           std::to_string(MixedWhole) +
                           " of them whole, in a success; " +
                           std::to_string(Served) + " served in all";
  finish(Machines, Served < 100 ? 2 : Mixed > 2 ? 1 : 0, Text);
}
