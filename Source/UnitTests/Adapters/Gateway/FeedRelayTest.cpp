#include "Core/Adapters/Gateway/FeedRelay.h"

#include "Core/Adapters/Gateway/BootClock.h"
#include "Core/Adapters/Gateway/FeedRelayCodec.h"
#include "Core/Adapters/Net/LoopThread.h"
#include "UnitTests/Adapters/Http/HttpClient.h"

#include <chrono>
#include <doctest/doctest.h>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace bronzepass::unit_tests::adapters::gateway {

namespace {

namespace relay = core::gateway;
namespace adapter = core::adapters::gateway;
using namespace std::chrono_literals;

/// A node's relay on a thread of its own.
class RelayThread {
public:
  RelayThread()
      : m_Calls(m_Thread.loop()), m_Relay(m_Thread.loop(), m_Calls, m_Clock) {
    REQUIRE_FALSE(m_Relay.listen({"127.0.0.1", 0}));
    m_Port = m_Relay.port();
    m_Thread.loop().runAfter(20ms, [this] { tick(); });
    m_Thread.start();
  }
  ~RelayThread() { m_Thread.stop(); }
  RelayThread(const RelayThread &) = delete;
  RelayThread &operator=(const RelayThread &) = delete;

  uint16_t port() const { return m_Port; }

  /// Runs \p Work on the relay's thread and waits for it.
  void run(const std::function<void(adapter::FeedRelay &)> &Work) {
    std::promise<void> Done;
    m_Thread.loop().post([&] {
      Work(m_Relay);
      Done.set_value();
    });
    Done.get_future().wait();
  }

  std::future<std::optional<relay::FeedReply>>
  ask(uint16_t Port, const relay::FeedQuery &Query,
      core::model::Duration Timeout) {
    const auto Reply =
        std::make_shared<std::promise<std::optional<relay::FeedReply>>>();
    run([&](adapter::FeedRelay &Relay) {
      Relay.ask({"127.0.0.1", Port}, Query, Timeout,
                [Reply](const std::optional<relay::FeedReply> &Received,
                        const std::string &) { Reply->set_value(Received); });
    });
    return Reply->get_future();
  }

private:
  void tick() {
    m_Thread.loop().runAfter(20ms, [this] { tick(); });
    m_Relay.tick();
  }

  adapter::BootClock m_Clock;
  core::adapters::net::LoopThread m_Thread;
  adapter::ControlCalls m_Calls;
  adapter::FeedRelay m_Relay;
  uint16_t m_Port = 0;
};

const relay::FeedObject Config{"main", 7, false, std::string(40000, 'c')};

void publish(adapter::FeedRelay &Relay, const relay::FeedObject &Object) {
  relay::FeedPublisher &Publisher = Relay.publisher(relay::FeedKind::Config);
  Publisher.setStanding({true, false, core::model::StoreEra{3}, 1});
  Publisher.record({Object}, {}, Object.m_Revision);
}

} // namespace

TEST_CASE("a node learns of a change from a watcher as soon as it knows it") {
  RelayThread Watcher;
  RelayThread Follower;
  Watcher.run([](adapter::FeedRelay &Relay) { publish(Relay, Config); });
  relay::FeedQuery Query{relay::FeedKind::Config, 2, core::model::StoreEra{3},
                         5s};
  for (int Turn = 0; Turn < 20; ++Turn) {
    const std::optional<relay::FeedReply> Known =
        Follower.ask(Watcher.port(), Query, 6s).get();
    REQUIRE(Known);
    CHECK(Known->m_Objects == std::vector<relay::FeedObject>{Config});
  }
  Query.m_Revision = 7;
  std::future<std::optional<relay::FeedReply>> Waiting =
      Follower.ask(Watcher.port(), Query, 6s);
  CHECK(Waiting.wait_for(100ms) == std::future_status::timeout);
  const relay::FeedObject Newer{"main", 9, false, "new"};
  Watcher.run([&](adapter::FeedRelay &Relay) { publish(Relay, Newer); });
  CHECK(Waiting.get()->m_Objects == std::vector<relay::FeedObject>{Newer});
}

TEST_CASE("a watcher that stops tells the waiting nodes at once") {
  RelayThread Watcher;
  RelayThread Follower;
  Watcher.run([](adapter::FeedRelay &Relay) { publish(Relay, Config); });
  const relay::FeedQuery Query{relay::FeedKind::Config, 7,
                               core::model::StoreEra{3}, 20s};
  std::future<std::optional<relay::FeedReply>> Waiting =
      Follower.ask(Watcher.port(), Query, 21s);
  CHECK(Waiting.wait_for(50ms) == std::future_status::timeout);
  Watcher.run([](adapter::FeedRelay &Relay) { Relay.close(); });
  REQUIRE(Waiting.wait_for(5s) == std::future_status::ready);
  CHECK_FALSE(Waiting.get()->m_IsAvailable);
  CHECK_FALSE(Follower.ask(Watcher.port(), Query, 5s).get()->m_IsAvailable);
}

TEST_CASE("there is no reply from a watcher that is gone, or silent") {
  RelayThread Follower;
  uint16_t Port = 0;
  {
    RelayThread Gone;
    Port = Gone.port();
  }
  const relay::FeedQuery Query{relay::FeedKind::Config, 7, std::nullopt, 20s};
  CHECK_FALSE(Follower.ask(Port, Query, 2s).get());
  RelayThread Silent;
  Silent.run([](adapter::FeedRelay &Relay) {
    Relay.publisher(relay::FeedKind::Config).setStanding({true, false, {}, 0});
  });
  CHECK_FALSE(Follower.ask(Silent.port(), Query, 200ms).get());
}

TEST_CASE("queries and replies survive the codec; damaged ones are refused") {
  const relay::FeedQuery Query{relay::FeedKind::Endpoints, 1ULL << 60,
                               core::model::StoreEra{0}, 1500ms};
  std::string Reason;
  CHECK(adapter::decodeFeedQuery(adapter::encodeFeedQuery(Query), Reason) ==
        Query);
  const relay::FeedReply Reply{
      true, false, {{"a\xff", 5, true, ""}, {"b", 6, false, "\xc3\x28"}}, 9};
  relay::FeedQuery List = Query;
  List.m_IsList = true;
  List.m_Era.reset();
  CHECK(adapter::decodeFeedQuery(adapter::encodeFeedQuery(List), Reason) ==
        List);
  relay::FeedReply Gone;
  Gone.m_IsHistoryGone = true;
  Gone.m_Era = core::model::StoreEra{0};
  CHECK(adapter::decodeFeedReply(adapter::encodeFeedReply(Gone), Reason) ==
        Gone);
  const std::string Bytes = adapter::encodeFeedReply(Reply);
  CHECK(adapter::decodeFeedReply(Bytes, Reason) == Reply);
  for (const core::model::Duration Offset :
       {core::model::Duration(-70ms), core::model::Duration(0),
        core::model::Duration(1200ms)}) {
    relay::FeedReply Proven = Reply;
    Proven.m_ProofOffset = Offset;
    CHECK(adapter::decodeFeedReply(adapter::encodeFeedReply(Proven), Reason) ==
          Proven);
  }
  std::mt19937 Random(1);
  for (int Run = 0; Run < 20000; ++Run) {
    std::string Damaged = Bytes;
    Damaged[Random() % Damaged.size()] = static_cast<char>(Random());
    Damaged.resize(Random() % (Damaged.size() + 1));
    (void)adapter::decodeFeedReply(Damaged, Reason);
    (void)adapter::decodeFeedQuery(Damaged, Reason);
  }
  CHECK_FALSE(adapter::decodeFeedReply("", Reason));
  CHECK_FALSE(adapter::decodeFeedQuery(std::string(2000, '\xa0'), Reason));
}

TEST_CASE("what is no query is refused") {
  RelayThread Watcher;
  CHECK(http::fetch(Watcher.port(), "POST", "/feeds", "text").m_Status == 400);
  CHECK(http::fetch(Watcher.port(), "POST", "/other",
                    adapter::encodeFeedQuery({}))
            .m_Status == 400);
}

} // namespace bronzepass::unit_tests::adapters::gateway
