#include "Core/Residency/DemandEstimator.h"

#include <doctest/doctest.h>

namespace bronzepass::core::residency {

namespace {

using namespace std::chrono_literals;

const model::NodeId Node("n");
const gateway::ModelUse Use{"m", ""};

model::TimePoint at(model::Duration Since) { return model::TimePoint(Since); }

gateway::UseCount count(uint64_t Tokens) { return {"s", Use, 1, Tokens}; }

} // namespace

TEST_CASE("the first use of a model at a node that is known counts whole") {
  DemandEstimator Estimator;
  Estimator.markNodeSeen(Node, 7, at(1s));
  Estimator.addCount(Node, 7, count(1000), at(2s));
  CHECK(Estimator.perSecond(Use, at(2s)) > 400);
}

TEST_CASE("what a node had counted before it was heard is not taken for now") {
  DemandEstimator Estimator;
  Estimator.markNodeSeen(Node, 7, at(1s));
  Estimator.addCount(Node, 7, count(1000000), at(1s));
  CHECK(Estimator.perSecond(Use, at(1s)) == 0);
  Estimator.addCount(Node, 7, count(1000400), at(2s));
  CHECK(Estimator.perSecond(Use, at(2s)) < 400);
}

TEST_CASE("a node that started again counts from nothing") {
  DemandEstimator Estimator;
  Estimator.markNodeSeen(Node, 7, at(1s));
  Estimator.addCount(Node, 7, count(5000), at(2s));
  Estimator.markNodeSeen(Node, 8, at(9s));
  Estimator.addCount(Node, 8, count(1000), at(10s));
  CHECK(Estimator.perSecond(Use, at(10s)) > 400);
}

TEST_CASE("demand falls away within seconds") {
  DemandEstimator Estimator;
  Estimator.markNodeSeen(Node, 7, at(1s));
  Estimator.addCount(Node, 7, count(10000), at(2s));
  CHECK(Estimator.perSecond(Use, at(12s)) < 100);
}

} // namespace bronzepass::core::residency
