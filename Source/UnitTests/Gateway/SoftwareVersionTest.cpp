#include "UnitTests/Gateway/RelayFleet.h"

#include <doctest/doctest.h>
#include <random>

namespace bronzepass::unit_tests {

namespace {

using namespace std::chrono_literals;

/// Callers of resumable streams for 30 s, while engines are replaced by those
/// of another software version, engines crash, and nodes are lost.
class VersionChangeDay {
public:
  struct Settings {
    size_t m_Nodes = 6;
    model::Duration m_NodeLossPeriod = 2s;
    double m_LostNotices = 0.1;
    /// When all nodes are lost at once.
    std::optional<model::Duration> m_AllLostAfter;
  };

  VersionChangeDay(uint64_t Seed, Settings Chosen)
      : m_Settings(Chosen), m_Random(Seed),
        m_Fleet(Seed, {.m_Nodes = m_Settings.m_Nodes,
                       .m_LostNotices = m_Settings.m_LostNotices,
                       .m_AnswerTime = 1500ms}) {}

  void run() {
    const model::TimePoint Start = m_Fleet.now();
    model::TimePoint NextCrash = Start + 1s;
    model::TimePoint NextNodeLoss = Start + 1300ms;
    model::TimePoint NextReplacement = Start + 4s;
    std::vector<model::EndpointId> Old = m_Fleet.engines();
    std::optional<model::TimePoint> AllLostAt;
    if (m_Settings.m_AllLostAfter)
      AllLostAt = Start + *m_Settings.m_AllLostAfter;
    while (m_Fleet.now() < Start + 30s) {
      m_Fleet.askFor(m_Fleet.randomNode(),
                     {.m_Path = "/resume/", .m_Parts = {1, m_Random()}});
      if (m_Fleet.now() >= NextCrash) {
        const std::vector<model::EndpointId> Engines = m_Fleet.engines();
        m_Fleet.crash(Engines[m_Random() % Engines.size()]);
        NextCrash += 900ms;
      }
      if (m_Fleet.now() >= NextNodeLoss) {
        m_Fleet.restartNode(m_Fleet.randomNode());
        NextNodeLoss += m_Settings.m_NodeLossPeriod;
      }
      if (m_Fleet.now() >= NextReplacement && !Old.empty()) {
        m_Fleet.startEngine("v1.1");
        m_Fleet.retire(Old.back(), 2s);
        Old.pop_back();
        NextReplacement += 1500ms;
      }
      m_Fleet.run(20ms);
      if (AllLostAt && m_Fleet.now() >= *AllLostAt) {
        m_Fleet.restartAllNodes(1s, std::nullopt);
        m_AllLostAt = m_Fleet.now();
        AllLostAt.reset();
        m_Fleet.run(1s);
      }
    }
  }

  size_t streamsOfTwoVersions() const {
    size_t Count = 0;
    for (const RelayFleet::Asked &Each : m_Fleet.asked())
      Count += Each.m_Versions.size() > 1 ? 1 : 0;
    return Count;
  }

  /// Share of the new streams, or of those taken up again, of which events
  /// reached the caller.
  double shareBegun(bool TakenUp) const {
    return shareBegun(TakenUp, model::TimePoint(), m_Fleet.now());
  }
  /// The same of those that came in the seconds after all nodes were lost.
  double shareBegunAfterLoss(bool TakenUp) const {
    return shareBegun(TakenUp, m_AllLostAt, m_AllLostAt + 3s);
  }

private:
  double shareBegun(bool TakenUp, model::TimePoint From,
                    model::TimePoint Until) const {
    size_t All = 0;
    size_t Begun = 0;
    for (const RelayFleet::Asked &Each : m_Fleet.asked()) {
      if (Each.m_Resumes.has_value() != TakenUp ||
          Each.m_At > m_Fleet.now() - 200ms || Each.m_At < From ||
          Each.m_At > Until)
        continue;
      ++All;
      Begun += Each.m_HasBegun ? 1 : 0;
    }
    CHECK(All >= 12);
    return static_cast<double>(Begun) / static_cast<double>(All);
  }

  const Settings m_Settings;
  std::mt19937_64 m_Random;
  RelayFleet m_Fleet;
  model::TimePoint m_AllLostAt;
};

/// Callers of resumable streams at a fleet whose engines are all of a new
/// software version but the last, which ends while all nodes are lost.
class LastEngineOfVersion {
public:
  LastEngineOfVersion(uint64_t Seed, size_t Nodes)
      : m_Random(Seed),
        m_Fleet(Seed,
                {.m_Nodes = Nodes, .m_Engines = 1, .m_AnswerTime = 6000ms}) {}

  void run() {
    const model::EndpointId Last = m_Fleet.engines().at(0);
    for (int I = 0; I < 7; ++I)
      m_Fleet.startEngine("v2");
    for (int I = 0; I < 100; ++I) {
      m_Fleet.askFor(m_Fleet.randomNode(),
                     {.m_Path = "/resume/", .m_Parts = {1, m_Random()}});
      m_Fleet.run(20ms);
    }
    m_Fleet.run(1s);
    m_Fleet.restartAllNodes(1s, Last);
    m_Fleet.run(4s);
    for (const RelayFleet::Asked &Each : m_Fleet.asked()) {
      if (Each.m_Versions.size() > 1)
        ++m_OfTwoVersions;
      if (!Each.m_Resumes)
        continue;
      const bool BeganAtNew =
          m_Fleet.asked()[*Each.m_Resumes].m_Versions.contains("v2");
      m_TakenUpOfNew += BeganAtNew ? 1 : 0;
      m_GoneOn += BeganAtNew && Each.m_HasBegun ? 1 : 0;
    }
  }

  size_t m_OfTwoVersions = 0;
  size_t m_TakenUpOfNew = 0;
  size_t m_GoneOn = 0;

private:
  std::mt19937_64 m_Random;
  RelayFleet m_Fleet;
};

} // namespace

// Guards against a stream that holds events of engines of two software
// versions, in one answer or over its caller's tries.
TEST_CASE("streams go on only at the software version that began them, while "
          "engines are replaced and nodes are lost") {
  for (const size_t Nodes : {2, 6, 40}) {
    for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
      CAPTURE(Nodes);
      CAPTURE(Seed);
      VersionChangeDay Day(Seed, {.m_Nodes = Nodes});
      Day.run();
      CHECK(Day.streamsOfTwoVersions() == 0);
      CHECK(Day.shareBegun(true) >= 0.5 * Day.shareBegun(false));
    }
  }
}

// Guards against streams that no node knows the origin of any more: they were
// refused, or went on at the only version that was left.
TEST_CASE("streams go on at the software version that began them after all "
          "nodes were lost") {
  for (const size_t Nodes : {2, 6, 40}) {
    for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
      CAPTURE(Nodes);
      CAPTURE(Seed);
      VersionChangeDay Day(Seed, {.m_Nodes = Nodes, .m_AllLostAfter = 12s});
      Day.run();
      CHECK(Day.streamsOfTwoVersions() == 0);
      CHECK(Day.shareBegunAfterLoss(true) >=
            0.5 * Day.shareBegunAfterLoss(false));
    }
  }
}

TEST_CASE("streams of the last engine of a software version don't go on at "
          "another after all nodes were lost") {
  for (const size_t Nodes : {2, 3, 6, 40}) {
    for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
      CAPTURE(Nodes);
      CAPTURE(Seed);
      LastEngineOfVersion Fleet(Seed, Nodes);
      Fleet.run();
      CHECK(Fleet.m_OfTwoVersions == 0);
      CHECK(Fleet.m_TakenUpOfNew >= 12);
      CHECK(2 * Fleet.m_GoneOn >= Fleet.m_TakenUpOfNew);
    }
  }
}

TEST_CASE("streams go on only at the software version that began them, where "
          "most notices are lost") {
  for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
    CAPTURE(Seed);
    VersionChangeDay Day(Seed, {.m_LostNotices = 0.7});
    Day.run();
    CHECK(Day.streamsOfTwoVersions() == 0);
  }
}

} // namespace bronzepass::unit_tests
