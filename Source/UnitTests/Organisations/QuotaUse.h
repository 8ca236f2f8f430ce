#ifndef BRONZEPASS_UNITTESTS_ORGANISATIONS_QUOTAUSE_H
#define BRONZEPASS_UNITTESTS_ORGANISATIONS_QUOTAUSE_H

#include "QuotaFleet.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests {

enum class Spread { OneNode, Even, Moving };

/// The share of the quota that is spent, once holder and shares have settled.
inline double useOf(size_t Nodes, double Times, Spread Where, bool IsThirdCut,
                    double *BytesPerSecond = nullptr) {
  namespace organisations = core::organisations;
  using namespace std::chrono_literals;
  using Quota = organisations::QuotaSpec;
  constexpr double Rate = 60000;
  constexpr uint64_t Tokens = 600;
  constexpr core::model::Duration Step = 5ms;
  const organisations::QuotaSettings Settings{8s, 0.1, 17000};
  QuotaFleet Fleet(
      Nodes, {{"one", {}, {}, Quota{Quota::Unit::Tokens, Rate, Rate, 200}}},
      Settings, 1);
  Fleet.changeHolder(0);
  const double PerStep =
      Times * Rate * std::chrono::duration<double>(Step).count() / Tokens;
  double Due = 0;
  size_t Next = 0;
  core::model::TimePoint Since;
  for (core::model::Duration At{0}; At < 30s; At += Step) {
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

} // namespace bronzepass::unit_tests

#endif // BRONZEPASS_UNITTESTS_ORGANISATIONS_QUOTAUSE_H
