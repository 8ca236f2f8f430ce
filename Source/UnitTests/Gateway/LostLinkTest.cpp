#include "UnitTests/Gateway/RelayFleet.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests {

namespace {

using namespace std::chrono_literals;
using Links = RelayFleet::Links;

/// From then on after the links were lost, callers must not notice it.
constexpr model::Duration ContactTime = 3s;
constexpr model::Duration CutLength = 9s;
constexpr model::Duration Before = 2s;
/// Requests served at the cut nodes, relative to those at the others.
constexpr double MinServedRatio = 0.95;
constexpr model::Duration RequestPeriod = 10ms;

struct ServedShare {
  size_t m_Asked = 0;
  size_t m_Served = 0;

  double share() const {
    return m_Asked == 0
               ? 1
               : static_cast<double>(m_Served) / static_cast<double>(m_Asked);
  }
};

/// A fleet of which the first nodes lose their links to all engines.
class LostLinkDay {
public:
  LostLinkDay(uint64_t Seed, size_t Nodes, size_t CutNodes)
      : m_Fleet(Seed, {.m_Nodes = Nodes,
                       .m_Engines = std::max<size_t>(12, Nodes / 2)}),
        m_CutNodes(CutNodes) {}

  void play(Links Lost) {
    ask(Before);
    for (size_t I = 0; I < m_CutNodes; ++I)
      m_Fleet.setLinks(I, Lost);
    ask(ContactTime);
    const size_t FirstCounted = m_Fleet.asked().size();
    ask(CutLength - ContactTime);
    const size_t End = m_Fleet.asked().size();
    for (size_t I = 0; I < m_CutNodes; ++I)
      m_Fleet.setLinks(I, Links::Whole);
    m_Fleet.run(3s);
    for (size_t I = FirstCounted; I < End; ++I) {
      const RelayFleet::Asked &Each = m_Fleet.asked()[I];
      if (Each.m_Resumes)
        continue;
      ServedShare &Share = Each.m_Node < m_CutNodes ? m_Cut : m_Others;
      ++Share.m_Asked;
      Share.m_Served += Each.m_Served ? 1 : 0;
    }
  }

  RelayFleet m_Fleet;
  ServedShare m_Cut;
  ServedShare m_Others;

private:
  void ask(model::Duration Span) {
    const model::TimePoint End = m_Fleet.now() + Span;
    while (m_Fleet.now() < End) {
      for (size_t I = 0; I < std::max<size_t>(1, m_Fleet.nodeCount() / 6); ++I)
        m_Fleet.askFor(m_Fleet.randomNode(),
                       {.m_Path = Paths[++m_Count % std::size(Paths)]});
      m_Fleet.run(RequestPeriod);
    }
  }

  static constexpr const char *Paths[] = {"/stream/", "/resume/", "/again/",
                                          "/once/"};
  size_t m_CutNodes;
  size_t m_Count = 0;
};

void checkServed(Links Lost, size_t Nodes, size_t CutNodes) {
  for (uint64_t Seed = 1; Seed <= 3; ++Seed) {
    CAPTURE(Seed);
    CAPTURE(Nodes);
    CAPTURE(CutNodes);
    LostLinkDay Day(Seed, Nodes, CutNodes);
    Day.play(Lost);
    CAPTURE(Day.m_Others.share());
    CHECK(Day.m_Others.share() > 0.95);
    CHECK(Day.m_Cut.share() >= MinServedRatio * Day.m_Others.share());
  }
}

void checkFleets(Links Lost) {
  checkServed(Lost, 6, 2);
  checkServed(Lost, 6, 5);
  checkServed(Lost, 24, 12);
  checkServed(Lost, 64, 6);
}

} // namespace

// Guards against nodes that refuse their callers while their own links to all
// engines are lost and other nodes reach them.
TEST_CASE("Nodes whose links to all engines are reset serve their callers") {
  checkFleets(Links::Reset);
}

TEST_CASE("Nodes whose links to all engines are silent serve their callers") {
  checkFleets(Links::Silent);
}

TEST_CASE("Nodes that can open no new connection to engines serve their "
          "callers") {
  checkFleets(Links::NoNewConnections);
}

} // namespace bronzepass::unit_tests
