#include "UnitTests/Crowd/CrowdNode.h"
#include "UnitTests/Crowd/EndlessAnswer.h"
#include "UnitTests/Crowd/EndlessCallers.h"
#include "UnitTests/Crowd/FaultyEndpoints.h"
#include "UnitTests/Crowd/Verdict.h"
#include "UnitTests/Soak/PlatformStore.h"
#include "UnitTests/Soak/ThreadServer.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <iostream>
#include <list>
#include <string>
#include <thread>

namespace {

using namespace bronzepass::unit_tests;
using namespace std::chrono_literals;
using nlohmann::json;

constexpr size_t Requests = 300;
constexpr size_t FaultyCount = 4;
constexpr size_t SoundCount = 2;
constexpr size_t SoundBytes = 20000;
constexpr std::chrono::milliseconds Deadline = 4000ms;
/// For the threads of this program.
constexpr std::chrono::milliseconds DeadlineMargin = 2000ms;
constexpr std::chrono::milliseconds CloseLimit = 3000ms;
/// A caller may give up an attempt after a third of its time.
constexpr std::chrono::milliseconds SoundLimit = 2000ms;
constexpr uint64_t KibPerMib = 1024;
constexpr int Ok = 200;

json route(const std::string &Prefix, const char *Kind, const char *Service,
           int MaxAttempts) {
  return {{"Name", Prefix},
          {"Host", "h"},
          {"PathPrefix", Prefix},
          {"Kind", Kind},
          {"Service", Service},
          {"TimeoutMs", 30000},
          {"SloMs", 1000},
          {"Priority", 0},
          {"GapTargetMs", 400},
          {"MaxAttempts", MaxAttempts},
          {"AllowResume", Prefix == "/resume/"}};
}

json configuration() {
  return {{"Version", 1},
          {"Limits",
           {{"MaxHeaderBytes", 8 << 10},
            {"MaxBodyBytes", 512 << 10},
            {"HeaderTimeoutMs", 3000},
            {"IdleTimeoutMs", 15000}}},
          {"Routes",
           {route("/once/", "non_idempotent", "faulty", 1),
            route("/again/", "idempotent", "faulty", 2),
            route("/live/", "stream", "faulty", 1),
            route("/resume/", "stream", "faulty", 2),
            route("/sound/", "non_idempotent", "sound", 1)}},
          {"Services",
           {{{"Name", "faulty"}, {"MaxConns", 0}},
            {{"Name", "sound"}, {"MaxConns", 0}}}}};
}

void answerSoundly(soak::ServerConnection &Connection,
                   const soak::ServerRequest &Request) {
  Connection.answer(Ok, std::string(SoundBytes, 's'),
                    "X-Server-Seal: s\r\nX-Request-Id: " +
                        Request.header("x-request-id") + "\r\n");
}

std::string countsOf(const crowd::EndlessOutcome &Outcome) {
  std::string Text;
  for (const auto &[Status, Count] : Outcome.m_Ends)
    Text += " " + std::to_string(Status) + ": " + std::to_string(Count);
  return Text;
}

/// All answers are refusals, failures or visibly cut.
bool areVisible(const crowd::EndlessAnswer &Answer,
                const crowd::EndlessOutcome &Outcome) {
  constexpr std::array Failures{502, 503, 504, Ok};
  for (const auto &[Status, Count] : Outcome.m_Ends)
    if (std::find(Failures.begin(), Failures.end(), Status) == Failures.end())
      return false;
  return Answer.m_IsWhole || Outcome.m_Complete == 0;
}

/// One kind of answer, at a node that has just started.
bool runAnswer(const crowd::EndlessAnswer &Answer, soak::PlatformStore &Store,
               crowd::CrowdNode &Node, crowd::Verdict &Checks) {
  const std::string Name = Answer.m_Name + ": ";
  crowd::FaultyEndpoints Faulty(Answer, FaultyCount, Requests);
  Faulty.enter(Store, "faulty");
  if (!Node.start()) {
    Checks.check(false, Name + "the node becomes ready");
    return false;
  }
  crowd::SoundCallers Sound(Node.callerPort());
  const std::optional<crowd::ProcessUse> Calm = Node.use();
  const crowd::EndlessOutcome Outcome =
      crowd::callFaulty(Node.callerPort(), Answer, Requests, Deadline);
  const auto CloseBy = std::chrono::steady_clock::now() + CloseLimit;
  while (Faulty.sending() > 0 && std::chrono::steady_clock::now() < CloseBy)
    std::this_thread::sleep_for(10ms);
  Sound.stop();
  Checks.check(
      areVisible(Answer, Outcome),
      Name + "each request is refused, fails or is cut:" + countsOf(Outcome) +
          ", complete " + std::to_string(Outcome.m_Complete) + ", arrived " +
          std::to_string(Faulty.arrived()));
  Checks.check(Outcome.m_Longest < Deadline + DeadlineMargin,
               Name + "in time: " + std::to_string(Outcome.m_Longest.count()) +
                   " ms");
  Checks.check(Faulty.sending() == 0, Name +
                                          "connections are closed, all but " +
                                          std::to_string(Faulty.sending()));
  Checks.check(Sound.sent() > 0 && Sound.answered() == Sound.sent() &&
                   Sound.longest() < SoundLimit,
               Name + "callers of sound endpoints are answered: " +
                   std::to_string(Sound.answered()) + " of " +
                   std::to_string(Sound.sent()) + ", the slowest after " +
                   std::to_string(Sound.longest().count()) + " ms");
  const std::optional<crowd::ProcessUse> Use = Node.use();
  const std::string Ended = Node.ended();
  Checks.check(Ended == "no" && Use,
               Name + "the process lives (ended: " + Ended + ")");
  if (Use && Calm) {
    const uint64_t Bound = crowd::MemoryLimitMiB * KibPerMib;
    Checks.check(Use->m_PeakMemoryKiB <= Bound,
                 Name + "memory at its peak " +
                     std::to_string(Use->m_PeakMemoryKiB) + " KiB of " +
                     std::to_string(Bound) + ", calm " +
                     std::to_string(Calm->m_PeakMemoryKiB));
  }
  Node.stop();
  Faulty.leave(Store, "faulty");
  return true;
}

int runAll(const std::string &Name, uint16_t Port, const std::string &Folder) {
  soak::PlatformStore Store;
  Store.put("config", "main", configuration());
  std::list<soak::ThreadServer> Sound;
  for (size_t I = 0; I < SoundCount; ++I) {
    Sound.emplace_back(answerSoundly);
    crowd::enterEndpoint(Store, "sound", Sound.back().port());
  }
  soak::ThreadServer StorePort([&Store](soak::ServerConnection &Connection,
                                        const soak::ServerRequest &Request) {
    Store.serve(Connection, Request, soak::StoreAccess::Normal);
  });
  crowd::CrowdNode Node(Folder, Port, StorePort.port(),
                        crowd::LargeDescriptorLimit);
  crowd::Verdict Checks;
  for (const crowd::EndlessAnswer &Each : crowd::endlessAnswers(Name))
    runAnswer(Each, Store, Node, Checks);
  Store.stop();
  return Checks.hasFailed() ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  constexpr int ArgumentCount = 4;
  if (Count != ArgumentCount || crowd::endlessAnswers(Arguments[1]).empty()) {
    std::cerr << "usage: bronzepass-endless ANSWER|all PORT FOLDER"
              << std::endl;
    return 2;
  }
  return runAll(Arguments[1], static_cast<uint16_t>(std::stoul(Arguments[2])),
                Arguments[3]);
}
