#include "Core/Residency/DemandEstimator.h"

#include <doctest/doctest.h>

namespace bronzepass::core::residency {

namespace {

using namespace std::chrono_literals;

const model::NodeId Node("n");
const gateway::ModelRef Use{"m", ""};

model::TimePoint at(model::Duration Since) { return model::TimePoint(Since); }

gateway::UsageCounter count(uint64_t Tokens) { return {"s", Use, 1, Tokens}; }

} // namespace

TEST_CASE("the first use of a model at a known node counts in full") {
  DemandEstimator Estimator;
  Estimator.markNodeSeen(Node, 7, at(1s));
  Estimator.addCount(Node, 7, count(1000), at(2s));
  CHECK(Estimator.perSecond(Use, at(2s)) > 400);
}

TEST_CASE(
    "tokens counted before a node's first message are no current demand") {
  DemandEstimator Estimator;
  Estimator.markNodeSeen(Node, 7, at(1s));
  Estimator.addCount(Node, 7, count(1000000), at(1s));
  CHECK(Estimator.perSecond(Use, at(1s)) == 0);
  Estimator.addCount(Node, 7, count(1000400), at(2s));
  CHECK(Estimator.perSecond(Use, at(2s)) < 400);
}

TEST_CASE("a restarted node counts from zero") {
  DemandEstimator Estimator;
  Estimator.markNodeSeen(Node, 7, at(1s));
  Estimator.addCount(Node, 7, count(5000), at(2s));
  Estimator.markNodeSeen(Node, 8, at(9s));
  Estimator.addCount(Node, 8, count(1000), at(10s));
  CHECK(Estimator.perSecond(Use, at(10s)) > 400);
}

TEST_CASE("demand decays within seconds") {
  DemandEstimator Estimator;
  Estimator.markNodeSeen(Node, 7, at(1s));
  Estimator.addCount(Node, 7, count(10000), at(2s));
  CHECK(Estimator.perSecond(Use, at(12s)) < 100);
}

} // namespace bronzepass::core::residency
