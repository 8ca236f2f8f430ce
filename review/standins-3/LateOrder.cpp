// An order to load a model gets no answer and is carried out 11 s later.
// Meanwhile its engine crashes, its entry lapses, and it starts again, empty,
// under the same id.
#include "World.h"

using namespace world;

int main(int, char **Arguments) {
  Record::get().open(Arguments[1]);
  std::map<std::string, uint64_t> Sizes = {
      {"s1", 34300}, {"s2", 34300}, {"s3", 34300}, {"s4", 34300},
      {"s5", 34300}, {"t1", 72700}, {"t2", 72700}};
  // Each of the other engines is filled by five models that no other has.
  std::vector<std::set<std::string>> Others(3);
  for (int I = 0; I < 15; ++I) {
    const std::string Name = "w" + std::to_string(10 + I);
    Sizes[Name] = 34300;
    Others[I / 5].insert(Name);
  }
  Store Platform;
  if (!Platform.open())
    return 2;
  Platform.put("config", "main",
               configuration(1,
                             json::array({route("a", "/s/", "stream",
                                                "dictamen", 15000, 1, false)}),
                             json::array({engineService("dictamen", Sizes)})));
  Engine First(Platform, "i-1", "dictamen", Sizes, {});
  Engine Second(Platform, "i-2", "dictamen", Sizes, {"t1", "t2"});
  Engine Third(Platform, "i-3", "dictamen", Sizes,
               {"s1", "s2", "s3", "s4", "s5"});
  Engine Fourth(Platform, "i-4", "dictamen", Sizes, Others[0]);
  Engine Fifth(Platform, "i-5", "dictamen", Sizes, Others[1]);
  Engine Sixth(Platform, "i-6", "dictamen", Sizes, Others[2]);
  const std::vector<Engine *> All = {&First,  &Second, &Third,
                                     &Fourth, &Fifth,  &Sixth};
  for (Engine *const Each : All)
    if (Each != &First && !Each->start())
      return 2;
  Heart Beats(All);
  Nodes Machines(3, Platform.port());
  for (size_t I = 0; I < Machines.count(); ++I)
    Machines.start(I);
  if (!Machines.awaitReady())
    finish(Machines, 2, "the nodes are not ready");
  Callers Clients(Machines, 12, "/s/x", 0.1, 15000);
  Clients.setModels({"t1", "t2"});
  rest(0.3);
  Clients.setModels({});

  std::atomic<bool> IsOver = false;
  std::atomic<size_t> Cut = 0;
  std::mutex Mutex;
  std::string What;
  for (Engine *const Each : All)
    Each->m_OnOverload = [&, Each](const json &Order, uint64_t Mb) {
      {
        const std::scoped_lock Lock(Mutex);
        What = Each->id() + " is ordered to load " + std::to_string(Mb) +
               " MB and has 200000: " + Order.dump();
      }
      SAY("memory %s", What.c_str());
      std::thread([&, Each] {
        Cut = Each->running();
        Each->crash();
        IsOver = true;
      }).detach();
    };
  std::atomic<int> Orders = 0;
  std::atomic<double> LateAt = -1;
  json Late;
  if (hasTrouble())
    First.m_TakesLate = [&](const json &Order) {
      if (LateAt >= 0 || Order.value("Expected", 0) != 3)
        return false;
      Late = Order;
      LateAt = now();
      SAY("order  %s gets no answer from i-1", Order.dump().c_str());
      return true;
    };
  // It has been away, and is back empty, with the weights on its disk.
  rest(4);
  if (!First.start())
    return 2;
  SAY("engine i-1 starts, empty");
  if (hasTrouble()) {
    const double Limit = now() + 20;
    while (LateAt < 0 && now() < Limit)
      rest(0.01);
    if (LateAt < 0)
      finish(Machines, 2, "the order that was to be late was not given");
    const double Sent = LateAt;
    sleepUntil(Sent + 0.1);
    First.crash();
    SAY("engine i-1 crashes");
    sleepUntil(Sent + 0.1 + 3 * HeartbeatSeconds);
    Platform.put("servers", "i-1", nullptr);
    SAY("store  the entry of i-1 is removed after three heartbeat intervals");
    sleepUntil(Sent + 4.3);
    if (!First.restart())
      finish(Machines, 2, "the engine does not start again");
    SAY("engine i-1 starts again under its id, empty");
    Clients.setModels({"t1", "t2"});
    sleepUntil(Sent + 11);
    SAY("order  %s is carried out %.1f s after it was given",
        Late.dump().c_str(), now() - Sent);
    const int Status = First.order(Late);
    SAY("order  i-1 says %d", Status);
    rest(2);
  } else {
    rest(8);
    Clients.setModels({"t1", "t2"});
    rest(10);
  }
  Clients.setModels({});
  rest(2.5);
  size_t Served = 0;
  for (const Callers::Outcome &Each : Clients.outcomes())
    Served += Each.m_Status == 200;
  for (size_t I = 0; I < Machines.count(); ++I)
    if (!Machines.isAlive(I))
      finish(Machines, 2, "a node ended");
  const std::string Counts = std::to_string(Served) + " requests served, " +
                             std::to_string(Cut.load()) +
                             " running streams cut by the engine's crash";
  if (IsOver)
    finish(Machines, 1, What + "; " + Counts);
  finish(Machines, Served > 20 ? 0 : 2,
         "no engine was ordered beyond its memory; " + Counts);
}
