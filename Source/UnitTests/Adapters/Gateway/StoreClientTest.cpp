#include "Core/Adapters/Gateway/StoreClient.h"

#include "Core/Adapters/Net/LoopThread.h"
#include "UnitTests/Adapters/Gateway/ScriptedEndpoint.h"
#include "platform/PlatformDialect.h"

#include <chrono>
#include <doctest/doctest.h>
#include <future>
#include <mutex>
#include <string>
#include <thread>

namespace bronzepass::unit_tests::adapters::gateway {

namespace {

namespace model = core::model;
namespace ports = core::ports;
namespace relay = core::gateway;
using namespace std::chrono_literals;

std::string storeAnswer(const std::string &Status, const std::string &Body) {
  return "HTTP/1.1 " + Status +
         "\r\nStore-Era: 1\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

/// Answers each call with what a script says. Before the second answer, it
/// writes the first once more if both calls came on one connection.
class RepeatingStore {
public:
  RepeatingStore(std::string First, std::string Second)
      : m_First(std::move(First)), m_Second(std::move(Second)),
        m_Server([this](ScriptConnection &To, const std::string &, int Number) {
          answer(To, Number);
        }) {}

  uint16_t port() const { return m_Server.port(); }
  int calls() const { return static_cast<int>(m_Server.requests().size()); }

private:
  void answer(ScriptConnection &To, int Number) {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    if (Number == 1) {
      m_FirstConnection = &To;
      To.write(m_First);
      return;
    }
    if (m_FirstConnection == &To)
      To.write(m_First);
    std::this_thread::sleep_for(20ms);
    To.write(m_Second);
  }

  std::string m_First;
  std::string m_Second;
  std::mutex m_Mutex;
  const ScriptConnection *m_FirstConnection = nullptr;
  ScriptedEndpoint m_Server;
};

/// A node's client of the store at \p Port.
class ClientNode : private core::adapters::gateway::StoreEraEvents {
public:
  explicit ClientNode(uint16_t Port)
      : m_Log("test"), m_Calls(m_Thread.loop()),
        m_Store({"127.0.0.1", Port}, m_Dialect, m_Calls, m_Log, *this) {
    m_Thread.start();
  }
  ~ClientNode() { m_Thread.stop(); }

  relay::HttpResult call(const relay::HttpCall &Call, bool MayBeStale = false) {
    std::promise<relay::HttpResult> Done;
    m_Thread.loop().post([&] {
      m_Store.call(Call, 5s, MayBeStale, [&](const relay::HttpResult &Result) {
        Done.set_value(Result);
      });
    });
    return Done.get_future().get();
  }

  ports::StoreAnswer call(const ports::StoreCall &Call) {
    return m_Dialect.readStore(Call, call(*m_Dialect.storeCall(Call)));
  }
  relay::FeedAnswer call(relay::FeedKind Kind, const relay::FeedCall &Call) {
    return m_Dialect.readFeed(
        Call, call(m_Dialect.feedCall(Kind, Call), Call.m_MayBeStale));
  }
  const platform::PlatformDialect &dialect() const { return m_Dialect; }

private:
  void onStoreEraChanged(std::optional<model::StoreEra> /*Old*/,
                         model::StoreEra /*New*/) override {}

  platform::PlatformDialect m_Dialect;
  core::adapters::gateway::GatewayLog m_Log;
  core::adapters::net::LoopThread m_Thread;
  core::adapters::gateway::ControlCalls m_Calls;
  core::adapters::gateway::StoreClient m_Store;
};

ports::StoreCall leaseCall(ports::StoreVerb Verb, uint64_t Token) {
  ports::StoreCall Call;
  Call.m_Verb = Verb;
  Call.m_Key = {ports::ObjectKind::Lease, "placement"};
  Call.m_Expected = {Token};
  model::LeaseRecord Record;
  Record.m_Holder = model::NodeId("n");
  Record.m_Token = {Token};
  Call.m_Record = Record;
  return Call;
}

/// The store's answer to a write or read of the lease at \p Revision.
std::string leaseAnswer(const ClientNode &Node, uint64_t Revision) {
  const std::string Body =
      Node.dialect()
          .storeCall(leaseCall(ports::StoreVerb::Update, Revision))
          ->m_Body;
  return storeAnswer("200 OK", Body);
}

std::string anyLeaseAnswer(uint64_t Revision) {
  return leaseAnswer(ClientNode(1), Revision);
}

} // namespace

// Guards against a write of the lease that counts as refused, as not executed
// or as another version, although the store executed it.
TEST_CASE("the second copy of an earlier answer of the store does not decide a "
          "conditional write") {
  for (const std::string &Earlier :
       {storeAnswer("409 Conflict", "{}"), storeAnswer("412 No", "{}"),
        storeAnswer("404 None", "{}"), storeAnswer("503 No", "{}"),
        storeAnswer("429 No", "{}"), storeAnswer("202 Later", "{}"),
        anyLeaseAnswer(1)})
    for (const ports::StoreVerb Verb :
         {ports::StoreVerb::Create, ports::StoreVerb::Update,
          ports::StoreVerb::Get}) {
      CAPTURE(Earlier);
      CAPTURE(static_cast<int>(Verb));
      const RepeatingStore Store(Earlier, anyLeaseAnswer(2));
      ClientNode Node(Store.port());
      Node.call(leaseCall(ports::StoreVerb::Update, 1));
      const ports::StoreAnswer Answer = Node.call(leaseCall(Verb, 2));
      CHECK(Store.calls() == 2);
      CHECK((Answer.m_Status == ports::StoreStatus::Ok));
      CHECK((Answer.m_Objects.size() == 1 &&
             Answer.m_Objects.front().m_Version.m_Value == 2));
    }
}

// Guards against a refused write of the lease that counts as executed.
TEST_CASE("the second copy of an earlier success of the store is not that of a "
          "refused write") {
  const RepeatingStore Store(anyLeaseAnswer(1),
                             storeAnswer("409 Conflict", "{}"));
  ClientNode Node(Store.port());
  Node.call(leaseCall(ports::StoreVerb::Update, 1));
  CHECK((Node.call(leaseCall(ports::StoreVerb::Update, 2)).m_Status ==
         ports::StoreStatus::Conflict));
}

// Guards against a change that a node never sees: the copy of another watch's
// answer names a later revision and has no event of this one.
TEST_CASE("the second copy of an answer to one watch is not that to another") {
  const std::string Endpoints =
      storeAnswer("200 OK", R"({"At":9,"events":[]})");
  const std::string Config = storeAnswer("200 OK", R"({"At":5,"events":[]})");
  const RepeatingStore Store(Endpoints, Config);
  ClientNode Node(Store.port());
  relay::FeedCall Watch;
  Watch.m_Verb = relay::FeedCall::Verb::Watch;
  Watch.m_Revision = 4;
  CHECK(Node.call(relay::FeedKind::Endpoints, Watch).m_Revision == 9);
  CHECK(Node.call(relay::FeedKind::Config, Watch).m_Revision == 5);
}

} // namespace bronzepass::unit_tests::adapters::gateway
