#include "Core/Resources/AnswerMemory.h"

#include <doctest/doctest.h>
#include <random>

namespace bronzepass::core::resources {

namespace {

HeldAnswer arriving(uint64_t Number) { return model::AttemptId{Number}; }
HeldAnswer kept(uint64_t Number) { return model::RequestId{Number}; }

} // namespace

// Guards against the answers of one endpoint taking memory from the others'.
TEST_CASE("the largest answer of the endpoint that holds the most is excess") {
  AnswerMemory Memory(100);
  Memory.hold(arriving(1), "sound", 45);
  Memory.hold(arriving(2), "faulty", 20);
  Memory.hold(arriving(3), "faulty", 30);
  CHECK_FALSE(Memory.excess());
  Memory.hold(arriving(4), "faulty", 10);
  CHECK(Memory.excess() == arriving(3));
  Memory.remove(arriving(3));
  CHECK_FALSE(Memory.excess());
  CHECK(Memory.budget().inUse() == 75);
  CHECK(Memory.budget().highest() == 105);
}

TEST_CASE("an answer that is kept counts beside one that arrives") {
  AnswerMemory Memory(100);
  Memory.hold(kept(1), "e", 60);
  Memory.hold(arriving(1), "e", 50);
  CHECK(Memory.excess() == kept(1));
  Memory.hold(kept(1), "e", 0);
  CHECK_FALSE(Memory.excess());
  CHECK(Memory.budget().inUse() == 50);
}

TEST_CASE("the sum is that of the answers after any changes") {
  std::mt19937 Random(1);
  AnswerMemory Memory(1000);
  std::map<uint64_t, uint64_t> Held;
  for (int Step = 0; Step < 20000; ++Step) {
    const uint64_t Number = Random() % 20;
    const uint64_t Bytes = Random() % 200;
    if (Random() % 3 == 0) {
      Memory.remove(arriving(Number));
      Held.erase(Number);
    } else {
      Memory.hold(arriving(Number), std::to_string(Number % 3), Bytes);
      Held[Number] = Bytes;
    }
    uint64_t Sum = 0;
    for (const auto &Each : Held)
      Sum += Each.second;
    REQUIRE(Memory.budget().inUse() == Sum);
    REQUIRE(Memory.excess().has_value() == (Sum > 1000));
  }
}

} // namespace bronzepass::core::resources
