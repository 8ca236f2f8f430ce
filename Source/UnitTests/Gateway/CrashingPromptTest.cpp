#include "UnitTests/Gateway/RelayFleet.h"

#include <doctest/doctest.h>
#include <random>
#include <set>

namespace bronzepass::unit_tests {

namespace {

using namespace std::chrono_literals;

constexpr model::Duration ContactTime = 3s;
constexpr uint64_t FirstPart = 1;
constexpr uint64_t CrashingPart = 0xbad;

/// Callers of one route for 20 s: sound requests all the time, and from 2 s on
/// others whose middle part crashes engines, at any node.
class CrashingPromptDay {
public:
  CrashingPromptDay(uint64_t Seed, model::Duration CrashingPeriod)
      : m_Random(Seed), m_CrashingPeriod(CrashingPeriod),
        m_Fleet(Seed, {.m_CrashingParts = {CrashingPart}}) {}

  void run() {
    const model::TimePoint Start = m_Fleet.now();
    model::TimePoint NextCrashing = Start + 2s;
    while (m_Fleet.now() < Start + 20s) {
      m_Fleet.ask(m_Fleet.randomNode(), {FirstPart, 100 + m_Random() % 20,
                                         1000 + m_Random() % 1000000});
      if (m_Fleet.now() >= NextCrashing) {
        m_Fleet.ask(m_Fleet.randomNode(),
                    {FirstPart, CrashingPart, m_Random()});
        NextCrashing += m_CrashingPeriod;
      }
      m_Fleet.run(20ms);
    }
  }

  size_t crashesAfterBound() const {
    if (m_Fleet.crashes().size() < 5)
      return 0;
    const model::TimePoint Bound = m_Fleet.crashes()[4] + ContactTime;
    size_t Count = 0;
    for (const RelayFleet::Arrival &Each : m_Fleet.arrivals())
      Count += Each.m_Crashes && Each.m_At > Bound ? 1 : 0;
    return Count;
  }

  /// Share of the sound requests, from twice the contact time after the fifth
  /// crash or the last one, that begin at their first send.
  double soundShareBegun() const {
    const size_t Last = std::min<size_t>(m_Fleet.crashes().size(), 5);
    const model::TimePoint From = m_Fleet.crashes()[Last - 1] + 2 * ContactTime;
    size_t Sound = 0;
    size_t Begun = 0;
    for (const RelayFleet::Asked &Each : m_Fleet.asked()) {
      if (Each.m_At < From || Each.m_Parts[1] == CrashingPart ||
          Each.m_At > m_Fleet.now() - 500ms)
        continue;
      ++Sound;
      Begun += Each.m_BeganAtFirstSend ? 1 : 0;
    }
    return static_cast<double>(Begun) / static_cast<double>(Sound);
  }

  std::mt19937_64 m_Random;
  model::Duration m_CrashingPeriod;
  RelayFleet m_Fleet;
};

/// Share of the parts that a fleet holds back while engines end by themselves,
/// one every 700 ms, whatever they run; most prompts have a part that only few
/// others have.
double shareHeldUnderRandomCrashes(uint64_t Seed) {
  RelayFleet Fleet(Seed, {});
  std::mt19937_64 Random(Seed);
  const model::TimePoint Start = Fleet.now();
  model::TimePoint NextCrash = Start + 2s;
  std::set<uint64_t> Held;
  std::set<uint64_t> All;
  while (Fleet.now() < Start + 40s) {
    const uint64_t Rare = 100 + Random() % 2000;
    All.insert(Rare);
    Fleet.ask(Fleet.randomNode(), {FirstPart, Rare, Random()});
    if (Fleet.now() >= NextCrash) {
      const std::vector<model::EndpointId> Engines = Fleet.engines();
      Fleet.crash(Engines[Random() % Engines.size()]);
      NextCrash += 700ms;
    }
    Fleet.run(10ms);
  }
  for (size_t I = 0; I < 6; ++I)
    for (const gateway::QuarantinedTrait &Each :
         Fleet.node(I).notice(Fleet.now()).m_Quarantine.m_Quarantined)
      Held.insert(Each.m_Trait);
  return static_cast<double>(Held.size()) / static_cast<double>(All.size());
}

/// Share of the sound requests that begin at their first send, from twice the
/// contact time after the last crash on, where two of three requests are sound
/// and all share their first part, which nobody has asked with for a minute.
double soundShareAfterQuiet(uint64_t Seed) {
  RelayFleet Fleet(Seed, {.m_Nodes = 2,
                          .m_Engines = 16,
                          .m_CrashingParts = {CrashingPart},
                          .m_AnswerTime = 2900ms,
                          .m_RenewalPeriod = 1200ms});
  std::mt19937_64 Random(Seed);
  const auto AskSound = [&] {
    Fleet.ask(Fleet.randomNode(), {FirstPart, 100 + Random() % 5, Random()});
  };
  for (int I = 0; I < 32; ++I) {
    AskSound();
    Fleet.run(200ms);
  }
  Fleet.run(65s);
  for (int I = 0; I < 44; ++I) {
    if (I % 2 == 0)
      Fleet.ask(Fleet.randomNode(), {FirstPart, CrashingPart, Random()});
    AskSound();
    Fleet.run(500ms);
  }
  CHECK(Fleet.crashes().size() <= 5);
  const size_t Last = std::min<size_t>(Fleet.crashes().size(), 5);
  const model::TimePoint From = Fleet.crashes()[Last - 1] + 2 * ContactTime;
  size_t Sound = 0;
  size_t Begun = 0;
  for (const RelayFleet::Asked &Each : Fleet.asked()) {
    if (Each.m_At < From || Each.m_Parts[1] == CrashingPart ||
        Each.m_At > Fleet.now() - 500ms)
      continue;
    ++Sound;
    Begun += Each.m_BeganAtFirstSend ? 1 : 0;
  }
  REQUIRE(Sound >= 20);
  return static_cast<double>(Begun) / static_cast<double>(Sound);
}

} // namespace

// Guards against refusing all prompts of a route after a quiet minute, since
// they share a part with those that crash engines.
TEST_CASE("after a quiet minute, a part that all prompts share is not held "
          "back with the one that crashes engines") {
  for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    CHECK(soundShareAfterQuiet(Seed) > 0.5);
  }
}

TEST_CASE("engines that end by themselves put fewer than one in a thousand "
          "sound parts in quarantine") {
  double Sum = 0;
  constexpr int Seeds = 10;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    Sum += shareHeldUnderRandomCrashes(Seed);
  CHECK(Sum / Seeds < 0.001);
}

// Guards against sending a prompt that crashes engines to one engine after the
// other.
TEST_CASE("requests with a prompt part that crashes engines are no longer sent "
          "once five engines have crashed") {
  for (const model::Duration Period : {100ms, 400ms, 1300ms}) {
    for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
      CAPTURE(Period.count());
      CAPTURE(Seed);
      CrashingPromptDay Day(Seed, Period);
      Day.run();
      CHECK(Day.crashesAfterBound() <= 3);
      CHECK(Day.soundShareBegun() > 0.5);
    }
  }
}

} // namespace bronzepass::unit_tests
