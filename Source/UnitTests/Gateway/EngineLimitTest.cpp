#include "UnitTests/Gateway/RelayFleet.h"

#include <doctest/doctest.h>
#include <random>

namespace bronzepass::unit_tests {

namespace {

using namespace std::chrono_literals;

constexpr model::Duration ContactTime = 3s;
constexpr model::Duration Window = 4s;
constexpr model::Duration ToldMargin = 500ms;
constexpr model::Duration LimitsFrom = 2s;
constexpr model::Duration Length = 20s;

/// A fleet whose engines, all but some, name a limit from 2 s on.
class LimitedEngineDay {
public:
  LimitedEngineDay(uint64_t Seed, size_t Nodes, double LimitPerSecond,
                   int Unlimited)
      : m_Limit(LimitPerSecond), m_Fleet(Seed, {.m_Nodes = Nodes}) {
    const std::vector<model::EndpointId> Engines = m_Fleet.engines();
    m_Limited.assign(Engines.begin() + Unlimited, Engines.end());
  }

  /// \p RequestsPerSecond: of all callers together.
  void run(double RequestsPerSecond) {
    const model::TimePoint Start = m_Fleet.now();
    double Asked = 0;
    while (m_Fleet.now() < Start + Length) {
      if (m_Fleet.now() == Start + LimitsFrom)
        for (const model::EndpointId &Each : m_Limited)
          m_Fleet.state(Each, {false, m_Limit});
      for (Asked += RequestsPerSecond / 100; Asked >= 1; Asked -= 1)
        m_Fleet.ask(m_Fleet.randomNode(), {});
      m_Fleet.run(10ms);
    }
  }

  /// The most requests that a limited engine got in a window, from nodes that
  /// it had told, against what the bound allows.
  double worstShareOfBound() const {
    const double Bound =
        1.5 * m_Limit * std::chrono::duration<double>(Window).count() + 5;
    double Worst = 0;
    for (const model::EndpointId &Engine : m_Limited) {
      std::vector<model::TimePoint> Told;
      for (const RelayFleet::Arrival &Each : m_Fleet.arrivals()) {
        const std::optional<model::TimePoint> At =
            m_Fleet.toldAt(Each.m_Node, Engine);
        if (Each.m_Engine == Engine && At && Each.m_At >= *At + ToldMargin &&
            Each.m_At >= firstTold(Engine) + ContactTime)
          Told.push_back(Each.m_At);
      }
      size_t First = 0;
      for (size_t Last = 0; Last < Told.size(); ++Last) {
        while (Told[Last] - Told[First] >= Window)
          ++First;
        Worst = std::max(Worst, static_cast<double>(Last - First + 1) / Bound);
      }
    }
    return Worst;
  }

  /// Share of the limits that was used in the day's last half.
  double shareUsed() const {
    const model::TimePoint From = m_Fleet.now() - Length / 2;
    size_t Count = 0;
    for (const RelayFleet::Arrival &Each : m_Fleet.arrivals())
      Count +=
          Each.m_At >= From && std::find(m_Limited.begin(), m_Limited.end(),
                                         Each.m_Engine) != m_Limited.end()
              ? 1
              : 0;
    return static_cast<double>(Count) /
           (m_Limit * std::chrono::duration<double>(Length / 2).count() *
            static_cast<double>(m_Limited.size()));
  }

  model::TimePoint firstTold(const model::EndpointId &Engine) const {
    model::TimePoint First = model::TimePoint::max();
    for (size_t I = 0; I < m_Fleet.nodeCount(); ++I)
      First = std::min(First, m_Fleet.toldAt(I, Engine).value_or(First));
    return First;
  }

  double m_Limit;
  RelayFleet m_Fleet;
  std::vector<model::EndpointId> m_Limited;
};

} // namespace

// Guards against an engine getting more requests than the limit that it named.
TEST_CASE("an engine gets no more than half again the limit that it named") {
  for (const size_t Nodes : {6, 64, 195})
    for (const double Limit : {0.5, 4.0, 30.0})
      for (uint64_t Seed = 1; Seed <= 3; ++Seed) {
        CAPTURE(Nodes);
        CAPTURE(Limit);
        CAPTURE(Seed);
        LimitedEngineDay Day(Seed, Nodes, Limit, 4);
        Day.run(300);
        CHECK(Day.worstShareOfBound() <= 1);
      }
}

TEST_CASE("nine tenths of the limits are used while more is asked for than all "
          "engines take") {
  for (const size_t Nodes : {6, 64, 195}) {
    CAPTURE(Nodes);
    LimitedEngineDay Day(1, Nodes, 6, 0);
    Day.run(300);
    CHECK(Day.shareUsed() > 0.9);
  }
}

} // namespace bronzepass::unit_tests
