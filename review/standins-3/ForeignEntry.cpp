// An engine drains. Another writer then writes an entry under its id that has
// no field `born`; the engine's next heartbeat writes its own entry again.
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
  rest(8);
  Engine &Leaving = *Engines.front();
  Leaving.setDraining();
  const double LeftAt = now();
  SAY("leave  %s: the store has acknowledged that it is draining",
      Leaving.id().c_str());
  rest(DrainSeconds + 0.6);
  if (hasTrouble()) {
    json Foreign = Leaving.entry();
    Foreign["State"] = "ready";
    Foreign.erase("born");
    SAY("store  another writer's entry under %s: %s", Leaving.id().c_str(),
        Foreign.dump().c_str());
    Platform.put("servers", Leaving.id(), Foreign);
  }
  rest(1.7);
  SAY("leave  %s exits", Leaving.id().c_str());
  const double EndedAt = now();
  Leaving.unregister();
  Leaving.crash();
  rest(3);
  Clients.setModels({});
  rest(2.5);
  return judgeDrain(Machines, Leaving, LeftAt, EndedAt, Clients, 100);
}
