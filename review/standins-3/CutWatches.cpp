// The store cuts off watches that have waited for two seconds. An engine that
// never reports draining leaves: its entry is removed, and it serves on.
#include "Draining.h"

using namespace world;

int main(int, char **Arguments) {
  Record::get().open(Arguments[1]);
  const std::map<std::string, uint64_t> Sizes = {{"m0", 65500}, {"m1", 72700}};
  Store Platform;
  if (!Platform.open())
    return 2;
  Platform.put("config", "main",
               configuration(1,
                             json::array({route("a", "/s/", "stream",
                                                "dictamen", 15000, 1, false)}),
                             json::array({engineService("dictamen", Sizes)})));
  std::vector<std::unique_ptr<Engine>> Engines;
  std::vector<Engine *> All;
  for (int I = 0; I < 4; ++I) {
    Engines.push_back(
        std::make_unique<Engine>(Platform, "i-" + std::to_string(I), "dictamen",
                                 Sizes, std::set<std::string>{"m0", "m1"}));
    All.push_back(Engines.back().get());
    if (!Engines.back()->start())
      return 2;
  }
  Heart Beats(All);
  Nodes Machines(3, Platform.port());
  for (size_t I = 0; I < Machines.count(); ++I)
    Machines.start(I);
  if (!Machines.awaitReady())
    finish(Machines, 2, "the nodes are not ready");
  Callers Clients(Machines, 24, "/s/x", 0.1, 15000);
  Clients.setModels({"m0", "m1"});
  rest(6);
  if (hasTrouble()) {
    SAY("store  cuts off watches that have waited for 2 s from now on");
    Platform.m_CutWatchesAfter = 2.0;
  }
  rest(7);
  Engine &Leaving = *Engines.front();
  Leaving.unregister();
  const double LeftAt = now();
  SAY("leave  %s: the store has acknowledged that its entry is removed",
      Leaving.id().c_str());
  rest(4.5);
  SAY("leave  %s exits; %d watches were cut off", Leaving.id().c_str(),
      Platform.m_CutWatches.load());
  const double EndedAt = now();
  Leaving.crash();
  rest(3);
  Clients.setModels({});
  rest(2.5);
  return judgeDrain(Machines, Leaving, LeftAt, EndedAt, Clients, 100);
}
