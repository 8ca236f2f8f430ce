#include "Core/Gateway/CrashQuarantine.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <set>
#include <utility>
#include <vector>

namespace bronzepass::core::gateway {

namespace {

using namespace std::chrono_literals;

constexpr uint64_t Trait = 7;

RequestTraits part(uint64_t Id) { return {std::nullopt, {Id}}; }
RequestTraits request(uint64_t Fingerprint) { return {Fingerprint, {}}; }

/// One node's quarantine with a clock, for requests that have Trait.
struct Node {
  void advance(model::Duration Span) {
    m_Now += Span;
    m_Quarantine.tick(m_Now);
  }
  void crash(EndpointKey Engine, model::Duration AfterSend = 50ms) {
    m_Quarantine.onSendBroken(part(Trait), Engine, m_Now - AfterSend, m_Now);
  }
  bool isQuarantined() const {
    return m_Quarantine.quarantineEnd(part(Trait), m_Now).has_value();
  }

  CrashQuarantine m_Quarantine;
  model::TimePoint m_Now = model::TimePoint(100s);
};

} // namespace

TEST_CASE("a trait is quarantined after crashes of three engines, for ten "
          "minutes") {
  Node Node;
  for (const EndpointKey Engine : {1, 2}) {
    Node.crash(Engine);
    Node.advance(1s);
    CHECK_FALSE(Node.isQuarantined());
  }
  Node.crash(3);
  Node.advance(1s);
  CHECK(Node.isQuarantined());
  CHECK_FALSE(Node.m_Quarantine.quarantineEnd(part(8), Node.m_Now));
  Node.advance(9min);
  CHECK(Node.isQuarantined());
  Node.advance(1min);
  CHECK_FALSE(Node.isQuarantined());
  CHECK(Node.m_Quarantine.quarantinedCount() == 0);
}

TEST_CASE("one more crash after a quarantine renews it") {
  Node Node;
  for (const EndpointKey Engine : {1, 2, 3}) {
    Node.crash(Engine);
    Node.advance(1s);
  }
  Node.advance(11min);
  CHECK_FALSE(Node.isQuarantined());
  Node.crash(4);
  Node.advance(1s);
  CHECK(Node.isQuarantined());
}

TEST_CASE(
    "engines that end together do not put the traits of their requests in "
    "quarantine") {
  Node Node;
  for (EndpointKey Engine = 1; Engine <= 20; ++Engine)
    Node.crash(Engine, 2s);
  Node.advance(10s);
  CHECK_FALSE(Node.isQuarantined());
}

TEST_CASE("an engine that is heard from after a broken send did not crash") {
  Node Node;
  for (const EndpointKey Engine : {1, 2, 3}) {
    Node.crash(Engine);
    Node.advance(400ms);
    Node.m_Quarantine.onEngineAlive(Engine, Node.m_Now);
    Node.advance(1s);
  }
  CHECK_FALSE(Node.isQuarantined());
}

TEST_CASE(
    "a trait that an engine survived is not quarantined, and a quarantine "
    "ends with such an answer") {
  Node Node;
  Node.m_Quarantine.onAnswerCompleted(part(Trait), 9, Node.m_Now);
  Node.advance(1s);
  Node.m_Quarantine.onEngineAlive(9, Node.m_Now);
  for (const EndpointKey Engine : {1, 2, 3, 4}) {
    Node.crash(Engine);
    Node.advance(1s);
  }
  CHECK_FALSE(Node.isQuarantined());

  struct Node Other;
  for (const EndpointKey Engine : {1, 2, 3}) {
    Other.crash(Engine);
    Other.advance(1s);
  }
  CHECK(Other.isQuarantined());
  Other.m_Quarantine.onNotice(Node.m_Quarantine.notice(Node.m_Now),
                              Other.m_Now);
  CHECK(Other.isQuarantined());
  // The node that knows better is told, and tells in turn.
  Node.m_Quarantine.onNotice(Other.m_Quarantine.notice(Other.m_Now),
                             Node.m_Now);
  CHECK_FALSE(Node.isQuarantined());
  Other.m_Quarantine.onNotice(Node.m_Quarantine.notice(Node.m_Now),
                              Other.m_Now);
  CHECK_FALSE(Other.isQuarantined());
}

// Guards against an engine's last, cut answer clearing the trait that crashed
// it: a stream that ends between two events looks complete.
TEST_CASE("an answer after which its engine is never heard from proves "
          "nothing") {
  Node Node;
  for (const EndpointKey Engine : {1, 2, 3}) {
    Node.m_Quarantine.onAnswerCompleted(part(Trait), Engine, Node.m_Now);
    Node.m_Quarantine.onEngineAlive(Engine, Node.m_Now + 50ms);
    Node.crash(Engine);
    Node.advance(1s);
  }
  CHECK(Node.isQuarantined());
}

// Guards against a trait that stays in quarantine for the want of other answers
// of the engines that survived it.
TEST_CASE("an engine that goes on to renew its entry has survived its answers, "
          "but late renewals prove nothing") {
  Node Node;
  for (const EndpointKey Engine : {1, 2, 3}) {
    Node.m_Quarantine.onAnswerCompleted(part(Trait), Engine, Node.m_Now);
    Node.m_Quarantine.onEntryRenewed(Engine, 10);
    Node.m_Quarantine.onEntryRenewed(Engine, 11);
    Node.crash(Engine);
    Node.advance(1s);
  }
  CHECK(Node.isQuarantined());
  Node.m_Quarantine.onAnswerCompleted(part(Trait), 4, Node.m_Now);
  Node.m_Quarantine.onEntryRenewed(4, 30);
  Node.m_Quarantine.onEntryRenewed(4, 31);
  CHECK(Node.isQuarantined());
  Node.m_Quarantine.onEntryRenewed(4, 32);
  CHECK_FALSE(Node.isQuarantined());
}

TEST_CASE("crashes that several nodes saw add up, and a node that starts "
          "learns of the quarantine") {
  Node First;
  Node Second;
  First.crash(1);
  First.advance(1s);
  Second.advance(1s);
  Second.crash(2);
  Second.advance(500ms);
  First.advance(500ms);
  First.m_Quarantine.onNotice(Second.m_Quarantine.notice(Second.m_Now),
                              First.m_Now);
  First.advance(500ms);
  CHECK_FALSE(First.isQuarantined());
  First.crash(3);
  First.advance(500ms);
  CHECK(First.isQuarantined());
  Node Started;
  Started.m_Quarantine.onNotice(First.m_Quarantine.notice(First.m_Now),
                                Started.m_Now);
  CHECK(Started.isQuarantined());
  const std::vector<QuarantineChange> Changes =
      Started.m_Quarantine.takeChanges();
  REQUIRE(Changes.size() == 1);
  CHECK(Changes[0] == QuarantineChange{Trait, true, 0, true});
}

TEST_CASE("suspects and what is told about them are bounded") {
  Node Node;
  for (uint64_t Each = 0; Each < 100000; ++Each)
    Node.m_Quarantine.onSendBroken(part(Each), 1, Node.m_Now, Node.m_Now);
  const QuarantineNotice Notice = Node.m_Quarantine.notice(Node.m_Now);
  CHECK(Notice.m_CrashReports.size() <= 24);
  Node.advance(21min);
  Node.advance(2s);
  CHECK(Node.m_Quarantine.notice(Node.m_Now) == QuarantineNotice());
}

TEST_CASE("a request that comes again is quarantined by its fingerprint, until "
          "an engine survives it") {
  Node Node;
  for (const EndpointKey Engine : {1, 2, 3}) {
    CHECK(Node.m_Quarantine.allowsRetry(Trait));
    Node.m_Quarantine.onSendBroken(request(Trait), Engine, Node.m_Now - 50ms,
                                   Node.m_Now);
    CHECK_FALSE(Node.m_Quarantine.quarantineEnd(request(Trait), Node.m_Now));
    Node.advance(1s);
  }
  CHECK_FALSE(Node.m_Quarantine.allowsRetry(Trait));
  CHECK(Node.m_Quarantine.quarantineEnd(request(Trait), Node.m_Now));
  CHECK_FALSE(Node.m_Quarantine.quarantineEnd(request(8), Node.m_Now));
  Node.m_Quarantine.onAnswerCompleted(request(Trait), 4, Node.m_Now);
  Node.m_Quarantine.onEngineAlive(4, Node.m_Now + 1s);
  CHECK_FALSE(Node.m_Quarantine.quarantineEnd(request(Trait), Node.m_Now));
  CHECK(Node.m_Quarantine.allowsRetry(Trait));
}

TEST_CASE("a cancelled send counts as broken off if its engine refuses "
          "connections soon after, but not if it is heard from") {
  for (const bool IsHeard : {false, true}) {
    CAPTURE(IsHeard);
    Node Node;
    for (const EndpointKey Engine : {1, 2, 3}) {
      Node.m_Quarantine.onSendCancelled(request(Trait), Engine,
                                        Node.m_Now - 50ms, Node.m_Now);
      Node.advance(400ms);
      if (IsHeard)
        Node.m_Quarantine.onEngineAlive(Engine, Node.m_Now);
      Node.m_Quarantine.onEngineRefused(Engine, Node.m_Now);
      Node.advance(400ms);
    }
    CHECK(Node.m_Quarantine.quarantineEnd(request(Trait), Node.m_Now)
              .has_value() != IsHeard);
  }
}

// Guards against a table full of chance suspects that takes no report of a
// request that does crash engines.
TEST_CASE("many requests that broke off once do not hide one that breaks off "
          "three times") {
  Node Node;
  uint64_t Other = 1000;
  for (const EndpointKey Engine : {1, 2, 3}) {
    for (int I = 0; I < 3000; ++I) {
      Node.m_Now += 100us;
      Node.m_Quarantine.onSendBroken(request(++Other), Engine,
                                     Node.m_Now - 50ms, Node.m_Now);
    }
    Node.m_Now += 100us;
    Node.m_Quarantine.onSendBroken(request(Trait), Engine, Node.m_Now - 50ms,
                                   Node.m_Now);
    const QuarantineNotice Notice = Node.m_Quarantine.notice(Node.m_Now);
    CHECK(std::any_of(
        Notice.m_CrashReports.begin(), Notice.m_CrashReports.end(),
        [](const CrashReport &Each) { return Each.m_Trait == Trait; }));
    for (int I = 0; I < 300; ++I)
      Node.m_Quarantine.onSendBroken(request(++Other), Engine,
                                     Node.m_Now - 50ms, Node.m_Now);
    Node.advance(1s);
  }
  CHECK(Node.m_Quarantine.quarantineEnd(request(Trait), Node.m_Now));
}

TEST_CASE("all quarantines are told, in turns") {
  Node Node;
  QuarantineNotice Told;
  for (uint64_t Id = 0; Id < 100; ++Id)
    Told.m_Quarantined.push_back({Id, 5min});
  Node.m_Quarantine.onNotice(Told, Node.m_Now);
  std::set<uint64_t> Heard;
  for (int I = 0; I < 5; ++I) {
    const QuarantineNotice Notice = Node.m_Quarantine.notice(Node.m_Now);
    CHECK(Notice.m_Quarantined.size() <= 24);
    for (const QuarantinedTrait &Each : Notice.m_Quarantined)
      Heard.insert(Each.m_Trait);
    Node.m_Now += 200ms;
  }
  CHECK(Heard.size() == 100);
}

namespace {

constexpr uint64_t Shared = 11;
constexpr uint64_t Deadly = 12;
constexpr uint64_t Sound = 13;

RequestTraits prompt(std::vector<uint64_t> Parts) {
  return {std::nullopt, std::move(Parts)};
}

/// Nodes that hear each other at once.
class PromptNodes {
public:
  void crash(size_t Node, EndpointKey Engine, const RequestTraits &Request) {
    m_Nodes[Node].onSendBroken(Request, Engine, m_Now - 50ms, m_Now);
    advance(1s);
  }
  void survive(size_t Node, EndpointKey Engine, const RequestTraits &Request) {
    m_Nodes[Node].onAnswerCompleted(Request, Engine, m_Now);
    advance(1s);
    m_Nodes[Node].onEngineAlive(Engine, m_Now);
    advance(1s);
  }
  /// At all nodes; they have to agree.
  bool isRefused(const RequestTraits &Request) const {
    const bool First = m_Nodes[0].quarantineEnd(Request, m_Now).has_value();
    for (const CrashQuarantine &Each : m_Nodes)
      CHECK(Each.quarantineEnd(Request, m_Now).has_value() == First);
    return First;
  }
  void advance(model::Duration Span) {
    m_Now += Span;
    for (int Round = 0; Round < 2; ++Round)
      for (CrashQuarantine &From : m_Nodes) {
        From.tick(m_Now);
        for (CrashQuarantine &To : m_Nodes)
          if (&To != &From)
            To.onNotice(From.notice(m_Now), m_Now);
      }
  }

private:
  std::array<CrashQuarantine, 3> m_Nodes;
  model::TimePoint m_Now = model::TimePoint(100s);
};

} // namespace

// Guards against sound requests that are refused for the part that they share
// with those that crash engines.
TEST_CASE("a part that came with another in each crash does not hold back "
          "requests without that one") {
  for (const bool IsFirstGuilty : {false, true}) {
    CAPTURE(IsFirstGuilty);
    PromptNodes Nodes;
    const RequestTraits Both = prompt({Shared, Deadly});
    const RequestTraits Other = prompt({Shared, Sound});
    for (EndpointKey Engine = 1; Engine <= 3; ++Engine)
      Nodes.crash(Engine % 3, Engine, Both);
    CHECK(Nodes.isRefused(Both));
    CHECK_FALSE(Nodes.isRefused(Other));
    if (IsFirstGuilty) {
      // One more crash tells which of them it is.
      Nodes.crash(0, 4, Other);
      CHECK(Nodes.isRefused(Other));
      CHECK(Nodes.isRefused(prompt({Shared, 14})));
    } else {
      Nodes.survive(0, 4, Other);
      CHECK(Nodes.isRefused(Both));
      CHECK(Nodes.isRefused(prompt({14, Deadly})));
      CHECK_FALSE(Nodes.isRefused(Other));
      CHECK_FALSE(Nodes.isRefused(prompt({Shared, 14})));
    }
  }
}

TEST_CASE("a part that crashes engines in different company is held back in "
          "any") {
  PromptNodes Nodes;
  for (EndpointKey Engine = 1; Engine <= 3; ++Engine)
    Nodes.crash(Engine % 3, Engine, prompt({Shared, Deadly, 20 + Engine}));
  CHECK(Nodes.isRefused(prompt({Shared, Deadly, 30})));
  CHECK_FALSE(Nodes.isRefused(prompt({Shared, 30})));
  CHECK_FALSE(Nodes.isRefused(prompt({15, Deadly, 30})));
  Nodes.crash(1, 4, prompt({15, Deadly, 30}));
  CHECK(Nodes.isRefused(prompt({16, Deadly, 31})));
  CHECK_FALSE(Nodes.isRefused(prompt({15, 30})));
}

} // namespace bronzepass::core::gateway
