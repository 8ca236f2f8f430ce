#include "Core/Residency/DemandBook.h"

#include <doctest/doctest.h>

namespace bronzepass::core::residency {

namespace {

using namespace std::chrono_literals;

const model::NodeId Node("n");
const gateway::ModelRef Use{"m", ""};

model::TimePoint at(model::Duration Since) { return model::TimePoint(Since); }

gateway::UsageCounter count(uint64_t Tokens) { return {"s", Use, 1, Tokens}; }

} // namespace

TEST_CASE("the first use of a model at a node that is known counts whole") {
  DemandBook Book;
  Book.heard(Node, 7, at(1s));
  Book.add(Node, 7, count(1000), at(2s));
  CHECK(Book.perSecond(Use, at(2s)) > 400);
}

TEST_CASE("what a node had counted before it was heard is not taken for now") {
  DemandBook Book;
  Book.heard(Node, 7, at(1s));
  Book.add(Node, 7, count(1000000), at(1s));
  CHECK(Book.perSecond(Use, at(1s)) == 0);
  Book.add(Node, 7, count(1000400), at(2s));
  CHECK(Book.perSecond(Use, at(2s)) < 400);
}

TEST_CASE("a node that started again counts from nothing") {
  DemandBook Book;
  Book.heard(Node, 7, at(1s));
  Book.add(Node, 7, count(5000), at(2s));
  Book.heard(Node, 8, at(9s));
  Book.add(Node, 8, count(1000), at(10s));
  CHECK(Book.perSecond(Use, at(10s)) > 400);
}

TEST_CASE("demand falls away within seconds") {
  DemandBook Book;
  Book.heard(Node, 7, at(1s));
  Book.add(Node, 7, count(10000), at(2s));
  CHECK(Book.perSecond(Use, at(12s)) < 100);
}

} // namespace bronzepass::core::residency
