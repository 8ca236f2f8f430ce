#include "QuotaUse.h"

namespace bronzepass::unit_tests {

TEST_CASE(
    "in calm nearly all of a quota is used by callers at one node, or moving") {
  for (const size_t Nodes : {6, 64, 195})
    for (const double Times : {1.0, 2.0, 8.0})
      for (const Spread Where : {Spread::OneNode, Spread::Moving}) {
        double Datagrams = 0;
        const double Use = useOf(Nodes, Times, Where, false, &Datagrams);
        CAPTURE(Nodes);
        CAPTURE(Times);
        CAPTURE(static_cast<int>(Where));
        MESSAGE("use " << Use << ", datagrams a second and node " << Datagrams);
        CHECK(Use >= 0.97);
      }
}

TEST_CASE("in calm nearly all of a quota is used by callers at six nodes") {
  for (const size_t Nodes : {6})
    for (const double Times : {1.0, 2.0, 8.0})
      for (const Spread Where : {Spread::Even}) {
        double Datagrams = 0;
        const double Use = useOf(Nodes, Times, Where, false, &Datagrams);
        CAPTURE(Nodes);
        CAPTURE(Times);
        CAPTURE(static_cast<int>(Where));
        MESSAGE("use " << Use << ", datagrams a second and node " << Datagrams);
        CHECK(Use >= 0.97);
      }
}

// Guards against quotas of which half is held back after a loss of all nodes,
// for as long as shares of nodes that are no more would last.
TEST_CASE("the whole quota is back soon after all nodes have started anew") {
  using namespace std::chrono_literals;
  using Quota = core::organisations::QuotaSpec;
  constexpr double Rate = 6000;
  constexpr uint64_t Tokens = 100;
  constexpr core::model::Duration Step = 10ms;
  for (const size_t Nodes : {6, 64}) {
    CAPTURE(Nodes);
    QuotaFleet Fleet(
        Nodes,
        {{"callers", {}, {}, Quota{Quota::Unit::Tokens, Rate, Rate, 200}}},
        {.m_Window = 8s, .m_Overage = 0.1, .m_Slack = 5000}, 1);
    Fleet.changeHolder(0);
    // Callers ask for twice the quota, at each node in turn.
    size_t Next = 0;
    const auto Run = [&](core::model::Duration Length) {
      for (core::model::Duration At{0}; At < Length; At += Step) {
        Fleet.request(Next++ % Nodes, 0, Tokens);
        Fleet.advance(Step);
      }
    };
    Run(20s);
    for (size_t I = 0; I < Nodes; ++I)
      Fleet.restart(I);
    Fleet.changeHolder(1);
    while (!Fleet.holder())
      Run(100ms);
    Run(1s);
    const core::model::TimePoint Since = Fleet.now();
    Run(3s);
    const double Use = Fleet.spentSince(0, Since) / (Rate * 3);
    MESSAGE("use " << Use);
    CHECK(Use >= 0.85);
  }
}

} // namespace bronzepass::unit_tests
