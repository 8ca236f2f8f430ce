#include "Core/Gateway/StreamOrigins.h"

#include <doctest/doctest.h>

namespace bronzepass::core::gateway {

namespace {

using namespace std::chrono_literals;

/// One node's knowledge, with a clock.
struct Node {
  void serve(const std::string &Version) {
    m_Origins.onVersionServes("s", Version, m_Now);
    m_Origins.forgetOld(m_Now);
  }
  void begin(const std::string &Attempt, const std::string &Version) {
    m_Origins.onStreamBegun("s", Attempt, Version, m_Now);
  }
  std::optional<std::string> versionOf(const std::string &Attempt) const {
    return m_Origins.versionOf("s", Attempt, false, m_Now);
  }
  void hear(const Node &Other) {
    m_Origins.onNotice(Other.m_Origins.notice(m_Now), m_Now);
  }

  StreamOrigins m_Origins;
  model::TimePoint m_Now = model::TimePoint(100s);
};

} // namespace

TEST_CASE("where all engines have one version, an untold stream began there, "
          "but not for a node that is isolated") {
  Node Node;
  CHECK_FALSE(Node.versionOf("a"));
  Node.serve("v1");
  CHECK(Node.versionOf("a") == "v1");
  CHECK_FALSE(Node.m_Origins.versionOf("s", "a", true, Node.m_Now));
  CHECK(Node.m_Origins.notice(Node.m_Now).isEmpty());
}

TEST_CASE(
    "an untold stream is of unknown origin until no stream of the version "
    "that is gone can be left") {
  Node Node;
  Node.serve("v1");
  Node.m_Now += 30s;
  Node.serve("v2");
  CHECK_FALSE(Node.versionOf("a"));
  for (int Second = 0; Second < 89; ++Second) {
    Node.m_Now += 1s;
    Node.serve("v2");
    CHECK_FALSE(Node.versionOf("a"));
  }
  Node.m_Now += 2s;
  Node.serve("v2");
  CHECK(Node.versionOf("a") == "v2");
}

TEST_CASE("streams that began before a second version appeared are told then, "
          "unless they are complete") {
  Node Teller;
  Node Hearer;
  Teller.serve("v1");
  Teller.begin("a", "v1");
  Teller.begin("b", "v1");
  Teller.m_Origins.onStreamCompleted("b");
  Teller.serve("v2");
  Hearer.hear(Teller);
  CHECK(Hearer.versionOf("a") == "v1");
  CHECK_FALSE(Hearer.versionOf("b"));
  Teller.begin("c", "v2");
  Hearer.hear(Teller);
  CHECK(Hearer.versionOf("c") == "v2");
}

// Guards against a belief that lasts longer each time it is passed on.
TEST_CASE("a node that is told of several versions does not tell others") {
  Node Teller;
  Node Hearer;
  Teller.serve("v1");
  Teller.serve("v2");
  Hearer.serve("v2");
  Hearer.hear(Teller);
  CHECK_FALSE(Hearer.versionOf("a"));
  CHECK(Hearer.m_Origins.notice(Hearer.m_Now).m_MixedServices.empty());
}

TEST_CASE("a node that has lost what it knew is told of unfinished streams "
          "again") {
  Node Teller;
  Teller.serve("v1");
  Teller.serve("v2");
  Teller.begin("a", "v1");
  Teller.m_Now += 5s;
  CHECK(Teller.m_Origins.notice(Teller.m_Now).m_Origins.empty());
  Teller.m_Origins.announceAgain(Teller.m_Now);
  CHECK(Teller.m_Origins.notice(Teller.m_Now).m_Origins.size() == 1);
}

// Guards against a stream of a version that is gone that goes on at another,
// after a loss of all nodes.
TEST_CASE("a node that has just started knows the origin of no stream before "
          "it has read what was recorded") {
  Node Node;
  Node.m_Origins.awaitRecord(Node.m_Now);
  Node.serve("v2");
  CHECK_FALSE(Node.versionOf("a"));
  Node.m_Origins.restore({}, Node.m_Now);
  CHECK(Node.versionOf("a") == "v2");
}

TEST_CASE("a node that can't read what was recorded knows that no stream from "
          "before its start is left after their lifetime") {
  Node Node;
  Node.m_Origins.awaitRecord(Node.m_Now);
  Node.serve("v2");
  Node.m_Now += 59s;
  Node.serve("v2");
  CHECK_FALSE(Node.versionOf("a"));
  Node.m_Now += 2s;
  CHECK(Node.versionOf("a") == "v2");
}

TEST_CASE("what is recorded of streams outlives the nodes") {
  Node Lost;
  Lost.serve("v1");
  CHECK(Lost.m_Origins.record(Lost.m_Now).isEmpty());
  Lost.begin("a", "v1");
  Lost.begin("done", "v1");
  Lost.m_Origins.onStreamCompleted("done");
  Lost.serve("v2");
  Lost.begin("b", "v2");
  Node Peer;
  Peer.serve("v2");
  Peer.hear(Lost);
  const StreamNotice Record = Peer.m_Origins.record(Peer.m_Now);
  CHECK(Record.m_Origins.size() == 2);

  Node Started;
  Started.m_Now += 5s;
  Started.m_Origins.awaitRecord(Started.m_Now);
  Started.serve("v2");
  Started.m_Origins.restore(Record, Started.m_Now);
  CHECK(Started.versionOf("a") == "v1");
  CHECK(Started.versionOf("b") == "v2");
  CHECK_FALSE(Started.versionOf("c"));
  // Nodes that can't read the record are told that versions are mixed.
  CHECK_FALSE(Started.m_Origins.notice(Started.m_Now).m_MixedServices.empty());
  // No longer than the node that wrote it would have taken them to be.
  Started.m_Now += 61s;
  Started.serve("v2");
  CHECK(Started.versionOf("c") == "v2");
  CHECK(Started.m_Origins.record(Started.m_Now).isEmpty());
}

TEST_CASE("the record of streams is bounded, the newest are in it") {
  Node Node;
  Node.serve("v1");
  Node.serve("v2");
  for (int I = 0; I < 20000; ++I)
    Node.begin(std::to_string(I), "v1");
  const StreamNotice Record = Node.m_Origins.record(Node.m_Now);
  CHECK(Record.m_Origins.size() == 16384);
  struct Node Started;
  Started.m_Origins.restore(Record, Started.m_Now);
  CHECK(Started.versionOf("19999") == "v1");
  CHECK_FALSE(Started.versionOf("0"));
}

TEST_CASE("the origins that are kept are bounded, the oldest go first") {
  Node Node;
  Node.serve("v1");
  Node.serve("v2");
  for (int I = 0; I < 70000; ++I)
    Node.begin(std::to_string(I), "v1");
  CHECK_FALSE(Node.versionOf("0"));
  CHECK(Node.versionOf("69999") == "v1");
  CHECK(Node.m_Origins.notice(Node.m_Now).m_Origins.size() == 256);
}

} // namespace bronzepass::core::gateway
