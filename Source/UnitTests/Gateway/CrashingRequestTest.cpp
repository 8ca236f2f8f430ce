#include "UnitTests/Gateway/RelayFleet.h"

#include <doctest/doctest.h>
#include <random>
#include <set>
#include <string>

namespace bronzepass::unit_tests {

namespace {

using namespace std::chrono_literals;

constexpr model::Duration ContactTime = 3s;
constexpr uint64_t CrashingFingerprint = 0xbad;
constexpr size_t MaxSendsBeyondBound = 3;

/// Callers for 30 s: sound requests all the time, each with a content of its
/// own, and one that crashes engines, which comes again at any node.
class CrashingRequestDay {
public:
  struct Settings {
    std::string m_Path;
    std::string m_Model;
    size_t m_Nodes = 6;
    size_t m_Engines = 4;
    model::Duration m_Period = 2s;
    /// Engines that end by themselves, one in each period; zero for none.
    model::Duration m_RandomCrashPeriod{0};
    /// When all nodes start anew; zero for never.
    model::Duration m_AllNodesRestartAt{0};
    /// After which the callers of the crashing request leave; zero for never.
    model::Duration m_LeavesAfter{0};
  };

  CrashingRequestDay(uint64_t Seed, Settings Chosen)
      : m_Settings(std::move(Chosen)), m_Random(Seed),
        m_Fleet(Seed, {.m_Nodes = m_Settings.m_Nodes,
                       .m_Engines = m_Settings.m_Engines,
                       .m_CrashingFingerprints = {CrashingFingerprint}}) {}

  void run() {
    const model::TimePoint Start = m_Fleet.now();
    model::TimePoint NextCrashing = Start + 2s;
    model::TimePoint NextRandomCrash = Start + 1s;
    while (m_Fleet.now() < Start + 30s) {
      ask(m_Random() | 1ULL << 63U);
      if (m_Fleet.now() >= NextCrashing) {
        ask(CrashingFingerprint);
        NextCrashing += m_Settings.m_Period;
      }
      if (m_Settings.m_RandomCrashPeriod > 0s &&
          m_Fleet.now() >= NextRandomCrash) {
        const std::vector<model::EndpointId> Engines = m_Fleet.engines();
        if (!Engines.empty())
          m_Fleet.crash(Engines[m_Random() % Engines.size()]);
        NextRandomCrash += m_Settings.m_RandomCrashPeriod;
      }
      m_Fleet.run(20ms);
      const bool Restarts =
          m_Settings.m_AllNodesRestartAt > 0s && !m_RestartedAt &&
          m_Fleet.now() >= Start + m_Settings.m_AllNodesRestartAt;
      if (Restarts) {
        m_RestartedAt = m_Fleet.now();
        for (size_t I = 0; I < m_Settings.m_Nodes; ++I)
          m_Fleet.restartNode(I);
      }
    }
  }

  /// Sends of the crashing request that reach an engine later than the contact
  /// time after it has crashed the third; not counted are nodes that started
  /// less than the contact time before.
  size_t sendsBeyondBound() const {
    std::vector<model::TimePoint> Ends;
    size_t Count = 0;
    for (const RelayFleet::Arrival &Each : m_Fleet.arrivals()) {
      if (!Each.m_Crashes)
        continue;
      const bool IsExcused = m_RestartedAt && Each.m_At > *m_RestartedAt &&
                             Each.m_At < *m_RestartedAt + ContactTime;
      if (Ends.size() >= 3 && Each.m_At > Ends[2] + ContactTime && !IsExcused)
        ++Count;
      Ends.push_back(Each.m_At);
    }
    return Count;
  }

  double soundShareRefused() const {
    size_t Sound = 0;
    size_t Refused = 0;
    const model::TimePoint From = m_Fleet.now() - 15s;
    for (const RelayFleet::Asked &Each : m_Fleet.asked()) {
      if (Each.m_Fingerprint == CrashingFingerprint || Each.m_At < From)
        continue;
      ++Sound;
      Refused += Each.m_Refused ? 1 : 0;
    }
    return static_cast<double>(Refused) / static_cast<double>(Sound);
  }

private:
  void ask(uint64_t Fingerprint) {
    RelayFleet::Request Request;
    Request.m_Path = m_Settings.m_Path;
    Request.m_Model = m_Settings.m_Model;
    Request.m_Fingerprint = Fingerprint;
    if (Fingerprint == CrashingFingerprint)
      Request.m_LeavesAfter = m_Settings.m_LeavesAfter;
    if (!m_Settings.m_Model.empty())
      Request.m_Parts = {1, m_Random()};
    m_Fleet.askFor(m_Fleet.randomNode(), Request);
  }

  const Settings m_Settings;
  std::mt19937_64 m_Random;
  RelayFleet m_Fleet;
  std::optional<model::TimePoint> m_RestartedAt;
};

/// Share of the requests that a fleet holds back while half of the engines end
/// within one second, every five seconds, whatever they run; each of 2,000
/// requests comes again and again.
double shareHeldUnderMassCrashes(uint64_t Seed) {
  constexpr size_t Requests = 2000;
  RelayFleet Fleet(Seed, {});
  std::mt19937_64 Random(Seed);
  const model::TimePoint Start = Fleet.now();
  model::TimePoint NextCrashes = Start + 2s;
  while (Fleet.now() < Start + 40s) {
    for (int I = 0; I < 2; ++I)
      Fleet.askFor(Fleet.randomNode(), {.m_Path = "/again/",
                                        .m_Model = "",
                                        .m_Fingerprint = Random() % Requests});
    if (Fleet.now() >= NextCrashes) {
      const std::vector<model::EndpointId> Engines = Fleet.engines();
      for (size_t I = 0; I < Engines.size() / 2; ++I) {
        Fleet.crash(Engines[I]);
        Fleet.run(150ms);
      }
      NextCrashes += 5s;
    }
    Fleet.run(10ms);
  }
  std::set<uint64_t> Held;
  for (size_t I = 0; I < Fleet.nodeCount(); ++I)
    for (const gateway::QuarantinedTrait &Each :
         Fleet.node(I).notice(Fleet.now()).m_Quarantine.m_Quarantined)
      Held.insert(Each.m_Trait);
  return static_cast<double>(Held.size()) / Requests;
}

} // namespace

TEST_CASE("half of the engines that end at once put fewer than one in a "
          "thousand sound requests in quarantine") {
  double Sum = 0;
  constexpr int Seeds = 10;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    Sum += shareHeldUnderMassCrashes(Seed);
  CHECK(Sum / Seeds < 0.001);
}

// Guards against sending a request that crashes engines again whenever it comes
// again.
TEST_CASE("a request that has crashed three engines is no longer sent when it "
          "comes again at any node") {
  for (const std::string Path : {"/once/", "/again/", "/stream/", "/resume/"}) {
    for (const model::Duration Period : {300ms, 1700ms, 5000ms}) {
      for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
        CAPTURE(Path);
        CAPTURE(Period.count());
        CAPTURE(Seed);
        const bool IsStream = Path == "/stream/" || Path == "/resume/";
        CrashingRequestDay Day(
            Seed, {.m_Path = Path,
                   .m_Model = IsStream ? "m" : "",
                   .m_Engines = static_cast<size_t>(IsStream ? 12 : 4),
                   .m_Period = Period});
        Day.run();
        CHECK(Day.sendsBeyondBound() <= MaxSendsBeyondBound);
        CHECK(Day.soundShareRefused() < 0.01);
      }
    }
  }
}

// Guards against losing the reports of a request that crashes engines among
// those of the requests beside it.
TEST_CASE("a request that crashes engines is found while other engines end by "
          "themselves, in large fleets, too") {
  for (const size_t Nodes : {6, 40}) {
    for (uint64_t Seed = 1; Seed <= 3; ++Seed) {
      CAPTURE(Nodes);
      CAPTURE(Seed);
      CrashingRequestDay Day(Seed, {.m_Path = "/once/",
                                    .m_Model = "m",
                                    .m_Nodes = Nodes,
                                    .m_Engines = 30,
                                    .m_Period = 1300ms,
                                    .m_RandomCrashPeriod = 400ms});
      Day.run();
      CHECK(Day.sendsBeyondBound() <= MaxSendsBeyondBound);
    }
  }
}

// Guards against a crash of one more engine for each retry, once all nodes have
// lost what they knew.
TEST_CASE("after a loss of all nodes, a request that crashes engines reaches "
          "no more than three") {
  for (const model::Duration Period : {1700ms, 5000ms}) {
    for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
      CAPTURE(Period.count());
      CAPTURE(Seed);
      CrashingRequestDay Day(Seed, {.m_Path = "/again/",
                                    .m_Model = "",
                                    .m_Period = Period,
                                    .m_AllNodesRestartAt = 14s});
      Day.run();
      CHECK(Day.sendsBeyondBound() <= MaxSendsBeyondBound);
    }
  }
}

// Guards against refusing a request that many callers send alike, because
// engines that live on broke off some of its answers.
TEST_CASE("a request that is sent alike all the time is not held back for "
          "answers that break off at engines that live") {
  for (const model::Duration Period : {20ms, 400ms}) {
    for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
      const double BrokenShare = Seed % 2 == 0 ? 0.05 : 0.5;
      CAPTURE(Period.count());
      CAPTURE(Seed);
      RelayFleet Fleet(Seed, {.m_Engines = 4});
      const model::TimePoint Start = Fleet.now();
      uint64_t LastOther = 1ULL << 32U;
      while (Fleet.now() < Start + 20s) {
        const bool IsTrouble =
            Fleet.now() > Start + 3s && Fleet.now() < Start + 12s;
        Fleet.breakAnswers(IsTrouble ? BrokenShare : 0);
        Fleet.askFor(
            Fleet.randomNode(),
            {.m_Path = "/once/", .m_Model = "", .m_Fingerprint = 0xa11e});
        // The other callers of the service.
        for (model::Duration Passed{0}; Passed < Period; Passed += 20ms) {
          Fleet.askFor(Fleet.randomNode(), {.m_Path = "/once/",
                                            .m_Model = "",
                                            .m_Fingerprint = ++LastOther});
          Fleet.run(20ms);
        }
      }
      size_t Refused = 0;
      for (const RelayFleet::Asked &Each : Fleet.asked())
        Refused += Each.m_Refused && Each.m_At > Start + 15s ? 1 : 0;
      CHECK(Refused == 0);
    }
  }
}

// Guards against losing sight of a request whose callers leave before the
// engine ends.
TEST_CASE("a request that crashes engines is found, too, where its callers "
          "leave before they end") {
  for (const std::string Path : {"/once/", "/again/", "/stream/"}) {
    for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
      CAPTURE(Path);
      CAPTURE(Seed);
      CrashingRequestDay Day(Seed, {.m_Path = Path,
                                    .m_Model = "",
                                    .m_Period = 1700ms,
                                    .m_LeavesAfter = 20ms});
      Day.run();
      CHECK(Day.sendsBeyondBound() <= MaxSendsBeyondBound);
    }
  }
}

} // namespace bronzepass::unit_tests
