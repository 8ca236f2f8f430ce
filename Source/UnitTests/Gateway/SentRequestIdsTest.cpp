#include "Core/Gateway/SentRequestIds.h"

#include <doctest/doctest.h>
#include <string>

namespace bronzepass::core::gateway {

TEST_CASE("an id is known for the address to which it was sent, until others "
          "have taken its place") {
  SentRequestIds Ids;
  const model::Address First{"10.0.0.1", 80};
  CHECK(Ids.add(First, "a"));
  CHECK_FALSE(Ids.add(First, "a"));
  CHECK(Ids.add({"10.0.0.2", 80}, "a"));
  CHECK(Ids.add({"10.0.0.1", 81}, "a"));
  for (int I = 0; I < 4000; ++I)
    CHECK(Ids.add(First, std::to_string(I)));
  CHECK_FALSE(Ids.add(First, "a"));
  for (int I = 4000; I < 8000; ++I)
    CHECK(Ids.add(First, std::to_string(I)));
  CHECK(Ids.add(First, "a"));
}

} // namespace bronzepass::core::gateway
