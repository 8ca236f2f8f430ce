// After a minute without their prompt, requests with one prompt part that
// crashes engines come beside sound ones that share their first part.
#include "World.h"

using namespace world;

namespace {

constexpr double ContactSeconds = 3;
constexpr const char *FirstPart = "a1";
constexpr const char *BadPart = "bad0";

std::string newId() {
  char Id[40];
  std::snprintf(Id, sizeof(Id), "%016llx",
                static_cast<unsigned long long>(draw()));
  return Id;
}

/// Sends a request and reads its whole answer.
int ask(Nodes &Machines, const std::string &Id, const std::string &Prefix) {
  const size_t Node = draw() % Machines.count();
  const auto To = Caller::connect(Machines.ip(Node), Machines.frontPort());
  SAY("send   %s to node %zu, prompt %s", Id.c_str(), Node, Prefix.c_str());
  const std::string Body = "body of " + Id;
  if (!To ||
      !To->write(
          "POST /s/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + Id +
          "\r\nX-Model: m0\r\nX-Token-Count: 628,290\r\n"
          "X-Prompt-Prefix: " +
          Prefix + "\r\nX-Deadline-Ms: 15000\r\nContent-Length: " +
          std::to_string(Body.size()) + "\r\n\r\n" + Body))
    return 0;
  const Answer Got = Caller::receive(*To);
  SAY("answer %s: %d %s", Id.c_str(), Got.m_Status,
      Got.m_Status == 503 ? Got.m_Body.substr(0, Got.m_Body.find('\n')).c_str()
                          : "");
  return Got.m_Status;
}

std::string middlePart() {
  char Part[20];
  std::snprintf(Part, sizeof(Part), "c%03llx",
                static_cast<unsigned long long>(draw() % 308));
  return Part;
}

} // namespace

int main(int, char **Arguments) {
  Record::get().open(Arguments[1]);
  const std::map<std::string, uint64_t> Sizes = {{"m0", 65500}};
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
  std::mutex Mutex;
  std::vector<double> Crashes;
  for (int I = 0; I < 3; ++I) {
    Engines.push_back(
        std::make_unique<Engine>(Platform, "i-" + std::to_string(I), "dictamen",
                                 Sizes, std::set<std::string>{"m0"}));
    Engine *const Added = Engines.back().get();
    All.push_back(Added);
    Added->m_CrashesOn = [&, Added](const Request &Of) {
      if (Of.header("x-prompt-prefix").find(BadPart) == std::string::npos)
        return false;
      const std::scoped_lock Lock(Mutex);
      Crashes.push_back(now());
      SAY("engine %s crashes on %s with %zu requests", Added->id().c_str(),
          Of.header("x-request-id").c_str(), Added->running());
      std::thread([Added] {
        Added->crash();
        rest(2);
        if (!Added->restart())
          SAY("engine %s does not start again", Added->id().c_str());
      }).detach();
      return true;
    };
    if (!Added->start())
      return 2;
  }
  Heart Beats(All);
  Nodes Machines(4, Platform.port());
  for (size_t I = 0; I < Machines.count(); ++I)
    Machines.start(I);
  if (!Machines.awaitReady())
    finish(Machines, 2, "the nodes are not ready");
  rest(3);

  std::atomic<bool> Ending = false;
  std::vector<std::thread> Threads;
  struct Sound {
    double m_SentAt;
    std::string m_Id;
  };
  std::vector<Sound> Sent;
  const auto SendSound = [&] {
    const std::string Id = newId();
    {
      const std::scoped_lock Lock(Mutex);
      Sent.push_back({now(), Id});
    }
    ask(Machines, Id,
        std::string(FirstPart) + ":119," + middlePart() + ":79," +
            Id.substr(0, 8) + ":430");
  };
  // Other prompts go on all the while.
  Threads.emplace_back([&] {
    while (!Ending) {
      std::thread([&] {
        const std::string Id = newId();
        ask(Machines, Id,
            "d4:119," + middlePart() + ":79," + Id.substr(0, 8) + ":430");
      }).detach();
      rest(0.5);
    }
  });
  for (int I = 0; I < 32; ++I) {
    std::thread(SendSound).detach();
    rest(0.25);
  }
  rest(4);
  const double QuietUntil = now() + 62;
  SAY("quiet  no request with the first part for 62 s");
  sleepUntil(QuietUntil);
  const double ResumedAt = now();
  std::thread Bad;
  if (hasTrouble())
    Bad = std::thread([&] {
      rest(0.6);
      while (!Ending) {
        std::thread([&] {
          const std::string Id = newId();
          ask(Machines, Id,
              std::string(FirstPart) + ":119," + BadPart + ":79," +
                  Id.substr(0, 8) + ":430");
        }).detach();
        rest(0.35);
      }
    });
  const double End = ResumedAt + 24;
  while (now() < End) {
    std::thread(SendSound).detach();
    rest(0.25);
  }
  Ending = true;
  if (Bad.joinable())
    Bad.join();
  for (std::thread &Each : Threads)
    Each.join();
  rest(2.5);

  std::set<std::string> Begun;
  for (const auto &Each : Engines)
    for (const Engine::Run &Run : Each->runs())
      Begun.insert(Run.m_Id);
  const std::scoped_lock Lock(Mutex);
  double From = ResumedAt + 2 * ContactSeconds;
  if (!Crashes.empty())
    From =
        Crashes[std::min<size_t>(4, Crashes.size() - 1)] + 2 * ContactSeconds;
  size_t Before = 0, BeforeBegun = 0, After = 0, AfterBegun = 0;
  for (const Sound &Each : Sent) {
    const bool HasBegun = Begun.contains(Each.m_Id);
    if (Each.m_SentAt < ResumedAt) {
      ++Before;
      BeforeBegun += HasBegun;
    } else if (Each.m_SentAt > From) {
      ++After;
      AfterBegun += HasBegun;
    }
  }
  for (size_t I = 0; I < Machines.count(); ++I)
    if (!Machines.isAlive(I))
      finish(Machines, 2, "a node ended");
  char Text[300];
  std::snprintf(Text, sizeof(Text),
                "%zu engines crashed; of sound requests with the same first "
                "part %zu of %zu begin later than 6 s after the fifth or last "
                "crash, %zu of %zu before",
                Crashes.size(), AfterBegun, After, BeforeBegun, Before);
  if (After < 20 || Before < 20 || BeforeBegun < 20)
    finish(Machines, 2, Text);
  finish(Machines, 2 * AfterBegun * Before < BeforeBegun * After ? 1 : 0, Text);
}
