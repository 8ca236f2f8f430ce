#include "Core/Gateway/StaleNodeFinder.h"

#include <doctest/doctest.h>
#include <set>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

namespace {

using namespace std::chrono_literals;

/// A holder that hears the first of some registered nodes, and reports each
/// half second.
class Holder {
public:
  Holder(size_t Heard, size_t Silent) : m_Heard(Heard) {
    for (size_t I = 0; I < Heard + Silent; ++I)
      m_Registered.insert(model::NodeId("n" + std::to_string(I)));
    setNodes();
    m_Finder.setHolder(true, m_Now);
  }

  /// Returns the nodes that were removed.
  std::vector<model::NodeId> run(model::Duration Length) {
    std::vector<model::NodeId> Removed;
    const model::TimePoint End = m_Now + Length;
    for (; m_Now < End; m_Now += 20ms) {
      if (m_Now >= m_ReportAt) {
        m_ReportAt = m_Now + 500ms;
        report();
      }
      if (const std::optional<model::NodeId> Stale = m_Finder.takeStale(m_Now))
        Removed.push_back(*Stale);
    }
    return Removed;
  }
  void report() {
    LivePeers Peers;
    for (const model::NodeId &Each : m_Registered)
      (std::stoul(Each.str().substr(1)) < m_Heard ? Peers.m_Able
                                                  : Peers.m_Silent)
          .push_back(Each);
    m_Finder.onLivePeers(Peers, m_Now);
  }
  void remove(const model::NodeId &Node) {
    m_Registered.erase(Node);
    setNodes();
  }
  void add(const model::NodeId &Node) {
    m_Registered.insert(Node);
    setNodes();
  }
  void setHeard(size_t Heard) { m_Heard = Heard; }
  void pause(model::Duration Length) { m_Now += Length; }
  StaleNodeFinder &finder() { return m_Finder; }
  model::TimePoint now() const { return m_Now; }

private:
  void setNodes() {
    std::vector<NodeEntry> Entries;
    for (const model::NodeId &Each : m_Registered)
      Entries.push_back({Each, {}, {}, 0});
    m_Finder.setNodes(Entries, m_Now);
  }

  StaleNodeFinder m_Finder{StaleNodeSettings()};
  model::TimePoint m_Now{1000s};
  model::TimePoint m_ReportAt;
  std::set<model::NodeId> m_Registered;
  size_t m_Heard;
};

const model::NodeId Gone("n3");

} // namespace

// Guards against a list of nodes that grows with each replacement.
TEST_CASE("the holder removes entries of nodes that are silent, a few at a "
          "time") {
  Holder Self(3, 240);
  CHECK(Self.run(19s).empty());
  CHECK(Self.run(2s).size() <= 20);
  CHECK(Self.run(30s).size() > 200);
}

TEST_CASE("a node that does not hold the lease removes nothing, and a new "
          "holder watches first") {
  Holder Self(3, 1);
  Self.finder().setHolder(false, Self.now());
  CHECK(Self.run(60s).empty());
  Self.finder().setHolder(true, Self.now());
  CHECK(Self.run(19s).empty());
  CHECK(Self.run(3s) == std::vector<model::NodeId>{Gone});
}

TEST_CASE("a node that was heard in between is not removed") {
  Holder Self(3, 1);
  for (int I = 0; I < 5; ++I) {
    CHECK(Self.run(15s).empty());
    Self.setHeard(4);
    CHECK(Self.run(1s).empty());
    Self.setHeard(3);
  }
}

// Guards against a holder that takes its own pause for the others' silence.
TEST_CASE("silence during a pause of the holder does not count") {
  Holder Self(3, 1);
  for (int I = 0; I < 5; ++I) {
    CHECK(Self.run(10s).empty());
    Self.pause(25s);
  }
}

TEST_CASE("a holder that hears nobody waits for longer") {
  Holder Self(0, 4);
  CHECK(Self.run(55s).empty());
  CHECK(Self.run(10s).size() == 4);
}

TEST_CASE("a node that came back after a removal is left for longer") {
  Holder Self(3, 1);
  REQUIRE(Self.run(21s).size() == 1);
  Self.remove(Gone);
  Self.run(3s);
  Self.add(Gone);
  CHECK(Self.run(38s).empty());
  CHECK(Self.run(4s).size() == 1);
}

TEST_CASE("after a restore of the store entries are left for a while") {
  Holder Self(3, 1);
  CHECK(Self.run(15s).empty());
  Self.finder().onStoreRestored(Self.now());
  CHECK(Self.run(19s).empty());
  CHECK(Self.run(3s).size() == 1);
}

} // namespace bronzepass::core::gateway
