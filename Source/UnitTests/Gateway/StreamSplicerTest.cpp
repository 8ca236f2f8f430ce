#include "Core/Gateway/StreamSplicer.h"

#include <doctest/doctest.h>
#include <random>

namespace bronzepass::core::gateway {

namespace {

std::string event(int Id) {
  return "id: " + std::to_string(Id) +
         "\ndata: " + std::string(static_cast<size_t>(Id % 5), 'x') + "\n\n";
}

} // namespace

TEST_CASE("only whole events are forwarded, wherever the bytes are split") {
  std::string Stream;
  for (int Id = 1; Id <= 20; ++Id)
    Stream += event(Id);
  std::mt19937 Random(3);
  for (int Run = 0; Run < 500; ++Run) {
    StreamSplicer Splicer;
    std::string Passed;
    size_t Start = 0;
    while (Start < Stream.size()) {
      const size_t Length = 1 + Random() % 9;
      const std::string Out = Splicer.feed(Stream.substr(Start, Length));
      if (!Out.empty())
        CHECK(Out.substr(Out.size() - 2) == "\n\n");
      Passed += Out;
      Start += Length;
    }
    REQUIRE(Passed == Stream);
    CHECK(Splicer.lastId() == "20");
    CHECK(Splicer.eventCount() == 20);
  }
}

TEST_CASE("a stream resumed at another endpoint has each event once") {
  StreamSplicer Splicer;
  std::string Passed = Splicer.feed(event(1) + event(2) + "id: 3\ndata: pa");
  CHECK(Splicer.discardPartial() == std::string("id: 3\ndata: pa").size());
  CHECK(Splicer.discardPartial() == 0);
  CHECK(Splicer.lastId() == "2");
  // An endpoint that resumes too early repeats events already forwarded.
  Passed += Splicer.feed(event(2) + event(3) + event(4));
  CHECK(Passed == event(1) + event(2) + event(3) + event(4));
}

TEST_CASE("line ends may be CRLF, and events without an id are forwarded") {
  StreamSplicer Splicer;
  const std::string Bytes = ": comment\r\n\r\nid: 7\r\ndata: a\r\n\r\n";
  CHECK(Splicer.feed(Bytes) == Bytes);
  CHECK(Splicer.lastId() == "7");
}

// Guards against a node that is busy with one stream's empty lines.
TEST_CASE("empty lines in a row are passed on as they came, as one event") {
  StreamSplicer Splicer;
  const std::string Bytes =
      "data: x\n\n" + std::string(4096, '\n') + "data: y\r\n\r\n\r\n\r\n";
  CHECK(Splicer.feed(Bytes) == Bytes);
  CHECK(Splicer.eventCount() == 4);
}

} // namespace bronzepass::core::gateway
