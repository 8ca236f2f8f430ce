#include "UnitTests/Gateway/RelayFleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

namespace bronzepass::unit_tests {

namespace {

using namespace std::chrono_literals;

/// Streams whose callers have events of two software versions.
size_t countMixed(const RelayFleet &Fleet) {
  const std::vector<RelayFleet::Asked> &All = Fleet.asked();
  return static_cast<size_t>(
      std::count_if(All.begin(), All.end(), [](const RelayFleet::Asked &Each) {
        return Each.m_Versions.size() > 1;
      }));
}

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

  size_t streamsOfTwoVersions() const { return countMixed(m_Fleet); }

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
    m_OfTwoVersions = countMixed(m_Fleet);
    for (const RelayFleet::Asked &Each : m_Fleet.asked()) {
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

/// Some nodes are cut off from the store and the others, then engines of a new
/// software version join. Streams at these break off, and their callers take
/// them up at the nodes that are cut off.
class OutOfStepDay {
public:
  OutOfStepDay(uint64_t Seed, size_t Nodes, std::set<size_t> CutOff)
      : m_Random(Seed), m_CutOff(std::move(CutOff)),
        m_Fleet(Seed,
                {.m_Nodes = Nodes, .m_Engines = 6, .m_AnswerTime = 1500ms}) {}

  void run() {
    m_Fleet.run(2s);
    m_Fleet.cutOff(m_CutOff);
    m_Fleet.run(800ms);
    std::vector<model::EndpointId> New;
    for (int I = 0; I < 6; ++I)
      New.push_back(m_Fleet.startEngine("v2"));
    m_Fleet.takeUpAt(m_CutOff);
    for (const model::EndpointId &Each : New) {
      for (int I = 0; I < 25; ++I) {
        size_t Node = m_Fleet.randomNode();
        while (m_CutOff.contains(Node))
          Node = m_Fleet.randomNode();
        m_Fleet.askFor(Node,
                       {.m_Path = "/resume/", .m_Parts = {1, m_Random()}});
        m_Fleet.run(20ms);
      }
      m_Fleet.crash(Each);
    }
    m_Fleet.run(1s);
  }

  size_t streamsOfTwoVersions() const { return countMixed(m_Fleet); }
  size_t takenUp() const {
    size_t Count = 0;
    for (const RelayFleet::Asked &Each : m_Fleet.asked())
      Count += Each.m_Resumes ? 1 : 0;
    return Count;
  }

private:
  std::mt19937_64 m_Random;
  const std::set<size_t> m_CutOff;
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

// Guards against nodes that are out of step together, and take what they know
// for all that there is to know.
TEST_CASE("nodes that are cut off while a software version joins take up no "
          "stream of it at another") {
  struct Fleet {
    size_t m_Nodes;
    std::set<size_t> m_CutOff;
  };
  for (const Fleet &Each : {Fleet{6, {0}}, Fleet{6, {0, 3}},
                            Fleet{8, {0, 1, 2}}, Fleet{64, {0, 1, 2, 3, 4}}}) {
    for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
      CAPTURE(Each.m_Nodes);
      CAPTURE(Each.m_CutOff.size());
      CAPTURE(Seed);
      OutOfStepDay Day(Seed, Each.m_Nodes, Each.m_CutOff);
      Day.run();
      CHECK(Day.takenUp() >= 12);
      CHECK(Day.streamsOfTwoVersions() == 0);
    }
  }
}

// Guards against a refusal of streams of which nothing can be known but that
// all engines have one version.
TEST_CASE("streams of nodes that are lost go on at those left, where all "
          "engines have one software version") {
  for (const size_t Lost : {1, 3, 5}) {
    for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
      CAPTURE(Lost);
      CAPTURE(Seed);
      RelayFleet Fleet(Seed, {.m_Nodes = 6, .m_AnswerTime = 1500ms});
      Fleet.run(1s);
      for (size_t I = 0; I < 60; ++I) {
        Fleet.askFor(I % 6, {.m_Path = "/resume/", .m_Parts = {1, I}});
        Fleet.run(10ms);
      }
      std::set<size_t> Left;
      for (size_t I = Lost; I < 6; ++I)
        Left.insert(I);
      Fleet.takeUpAt(Left);
      // The nodes that are lost don't come back.
      std::set<size_t> Gone;
      for (size_t I = 0; I < Lost; ++I)
        Gone.insert(I);
      for (const size_t Each : Gone)
        Fleet.restartNode(Each);
      Fleet.cutOff(Gone);
      Fleet.run(3s);
      size_t TakenUp = 0;
      size_t GoneOn = 0;
      for (const RelayFleet::Asked &Each : Fleet.asked()) {
        TakenUp += Each.m_Resumes ? 1 : 0;
        GoneOn += Each.m_Resumes && Each.m_HasBegun ? 1 : 0;
      }
      CHECK(TakenUp >= 6 * Lost);
      CHECK(GoneOn == TakenUp);
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
