#include "QuotaFleet.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests {

// Guards against a fleet that serves no organisation with a quota while the
// node that holds the lease reaches the store, and none of the others.
TEST_CASE("a quarter of a quota is used where nobody reaches its holder") {
  using namespace std::chrono_literals;
  using Quota = core::organisations::QuotaSpec;
  constexpr double Rate = 6000;
  constexpr uint64_t Tokens = 100;
  constexpr core::model::Duration Step = 10ms;
  constexpr double LeastServed = 0.25;
  for (const size_t Nodes : {6, 64})
    for (const bool HaveRestarted : {false, true}) {
      CAPTURE(Nodes);
      CAPTURE(HaveRestarted);
      QuotaFleet Fleet(
          Nodes,
          {{"callers", {}, {}, Quota{Quota::Unit::Tokens, Rate, Rate, 200}}},
          {.m_Window = 8s, .m_Overage = 0.1, .m_Slack = 5000}, 1);
      Fleet.changeHolder(0);
      size_t Next = 0;
      const auto Run = [&](core::model::Duration Length) {
        for (core::model::Duration At{0}; At < Length; At += Step) {
          Fleet.request(Next++ % Nodes, 0, Tokens);
          Fleet.advance(Step);
        }
      };
      Run(20s);
      for (size_t I = 1; I < Nodes; ++I) {
        if (HaveRestarted)
          Fleet.restart(I);
        Fleet.cut(0, I, true);
        Fleet.cut(I, 0, true);
      }
      Run(15s);
      const core::model::TimePoint Since = Fleet.now();
      Run(5s);
      const double Use = Fleet.spentSince(0, Since) / (Rate * 5);
      MESSAGE("use " << Use);
      CHECK(Use >= LeastServed);
    }
}

} // namespace bronzepass::unit_tests
