#include "QuotaFleet.h"

#include <doctest/doctest.h>

#include <numeric>

namespace bronzepass::unit_tests {

namespace model = core::model;
namespace organisations = core::organisations;
using namespace std::chrono_literals;

namespace {

enum class Spread { OneNode, Even, Moving };

/// The share of the quota that is spent, once holder and shares have settled.
double useOf(size_t Nodes, double Times, Spread Where, bool IsThirdCut,
             double *BytesPerSecond = nullptr) {
  using Quota = organisations::QuotaSpec;
  constexpr double Rate = 60000;
  constexpr uint64_t Tokens = 600;
  constexpr model::Duration Step = 5ms;
  const organisations::QuotaSettings Settings{8s, 0.1, 17000};
  QuotaFleet Fleet(
      Nodes, {{"one", {}, {}, Quota{Quota::Unit::Tokens, Rate, Rate, 200}}},
      Settings, 1);
  Fleet.changeHolder(0);
  const double PerStep =
      Times * Rate * std::chrono::duration<double>(Step).count() / Tokens;
  double Due = 0;
  size_t Next = 0;
  model::TimePoint Since;
  for (model::Duration At{0}; At < 30s; At += Step) {
    if (At == 20s) {
      Since = Fleet.now();
      if (IsThirdCut)
        for (size_t I = Nodes - Nodes / 3; I < Nodes; ++I) {
          Fleet.cut(0, I, true);
          Fleet.cut(I, 0, true);
        }
    }
    for (Due += PerStep; Due >= 1; Due -= 1) {
      size_t Node = Next++ % Nodes;
      if (Where == Spread::OneNode)
        Node = Nodes / 2;
      if (Where == Spread::Moving)
        Node = static_cast<size_t>(At / 1s * 7) % Nodes;
      Fleet.request(Node, 0, Tokens);
    }
    Fleet.advance(Step);
  }
  CHECK(Fleet.mostInWindow(0) <=
        organisations::quotaLimit({Quota::Unit::Tokens, Rate, Rate, 200},
                                  Settings));
  if (BytesPerSecond)
    *BytesPerSecond = static_cast<double>(Fleet.datagrams()) / 30 /
                      static_cast<double>(Nodes);
  return Fleet.spentSince(0, Since) / (Rate * 10);
}

} // namespace

TEST_CASE("in calm nearly all of a quota is used wherever callers are") {
  for (const size_t Nodes : {6, 64, 195})
    for (const double Times : {1.0, 2.0, 8.0})
      for (const Spread Where :
           {Spread::OneNode, Spread::Even, Spread::Moving}) {
        double Datagrams = 0;
        const double Use = useOf(Nodes, Times, Where, false, &Datagrams);
        CAPTURE(Nodes);
        CAPTURE(Times);
        CAPTURE(static_cast<int>(Where));
        CAPTURE(Datagrams);
        MESSAGE("calm " << Nodes << " nodes, " << Times << " times, spread "
                        << static_cast<int>(Where) << ": " << Use
                        << ", datagrams a second and node " << Datagrams);
        CHECK(Use >= 0.97);
      }
}

TEST_CASE("with a third of the nodes cut off most of a quota is used") {
  for (const size_t Nodes : {6, 64, 195})
    for (const double Times : {1.0, 2.0, 8.0})
      for (const Spread Where :
           {Spread::OneNode, Spread::Even, Spread::Moving}) {
        const double Use = useOf(Nodes, Times, Where, true);
        CAPTURE(Nodes);
        CAPTURE(Times);
        CAPTURE(static_cast<int>(Where));
        MESSAGE("third cut " << Nodes << " nodes, " << Times
                             << " times, spread " << static_cast<int>(Where)
                             << ": " << Use);
        CHECK(Use >= 0.9);
      }
}

} // namespace bronzepass::unit_tests
