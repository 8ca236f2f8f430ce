#include "UnitTests/Gateway/RelayFleet.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests {

namespace {

using namespace std::chrono_literals;

constexpr model::Duration Before = 2s;
/// From then on after engines have said that they are brittle, they let none
/// wait.
constexpr model::Duration ContactTime = 3s;
constexpr model::Duration Length = 15s;
constexpr uint32_t RejectsPerSecond = 5;
constexpr uint32_t Slots = 16;
constexpr model::Duration AnswerTime = 400ms;
constexpr size_t Engines = 12;
/// Requests a second that all engines can run.
constexpr double Capacity = Engines * Slots / 0.4;

/// A fleet whose engines become brittle while \p Load times the requests that
/// they can run are asked for.
class BrittleEngineDay {
public:
  BrittleEngineDay(uint64_t Seed, size_t Nodes, double Load)
      : m_Fleet(Seed, {.m_Nodes = Nodes,
                       .m_Engines = Engines,
                       .m_AnswerTime = AnswerTime,
                       .m_Slots = Slots}) {
    run(Before, 0.5);
    m_Fleet.makeBrittle(RejectsPerSecond);
    run(ContactTime, 0.5);
    m_Fleet.setQueue(0);
    const size_t First = m_Fleet.asked().size();
    run(Length, Load);
    const size_t End = m_Fleet.asked().size();
    m_Fleet.run(2s);
    for (size_t I = First; I < End; ++I)
      m_Served += m_Fleet.asked()[I].m_Served ? 1 : 0;
    m_Asked = End - First;
  }

  /// Of what was asked, or of what the engines can run if that is less.
  double servedShare(double Load) const {
    return static_cast<double>(m_Served) * std::max(1.0, Load) /
           static_cast<double>(m_Asked);
  }

  RelayFleet m_Fleet;

private:
  void run(model::Duration Span, double Load) {
    const model::TimePoint End = m_Fleet.now() + Span;
    double Due = 0;
    while (m_Fleet.now() < End) {
      for (Due += Load * Capacity / 100; Due >= 1; Due -= 1)
        m_Fleet.askFor(m_Fleet.randomNode(), {.m_Path = "/again/"});
      m_Fleet.run(10ms);
    }
  }

  size_t m_Asked = 0;
  size_t m_Served = 0;
};

} // namespace

// Guards against brittle engines that fall over since they have to turn too
// many requests away.
TEST_CASE(
    "brittle engines are not sent more requests than they have room for") {
  for (const size_t Nodes : {6, 64, 195})
    for (const double Load : {0.5, 2.0})
      for (uint64_t Seed = 1; Seed <= 3; ++Seed) {
        CAPTURE(Nodes);
        CAPTURE(Load);
        CAPTURE(Seed);
        const BrittleEngineDay Day(Seed, Nodes, Load);
        CAPTURE(Day.m_Fleet.rejections().size());
        CAPTURE(Day.servedShare(Load));

        CHECK(Day.m_Fleet.crashes().size() <= 2 + Engines / 10);
        if (Nodes <= Slots && Load < 1)
          CHECK(Day.servedShare(Load) > 0.95);
      }
}

} // namespace bronzepass::unit_tests
