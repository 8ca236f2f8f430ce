#include "Core/Adapters/WebSocket/PeerSockets.h"

#include <condition_variable>
#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <mutex>
#include <thread>

using namespace bronzepass::core;
using namespace std::chrono_literals;
using bronzepass::core::adapters::codec::PeerCodec;
using bronzepass::core::adapters::web_socket::ConnectionId;
using bronzepass::core::adapters::web_socket::PeerSockets;
using bronzepass::core::adapters::web_socket::SocketTransport;
using bronzepass::core::adapters::web_socket::TransportLimits;
using bronzepass::core::adapters::web_socket::TransportListener;

namespace bronzepass::unit_tests::adapters::web_socket {

namespace {

/// Far longer than any step takes; a wait that times out fails the test.
constexpr std::chrono::seconds WaitTimeout(20);

/// Queues events until the test takes them.
class EventQueue : public ports::EventSink {
public:
  void post(ports::Event Incoming) override {
    std::unique_lock Lock(m_Mutex);
    m_Unblocked.wait(Lock, [this] { return !m_Blocked; });
    m_Events.push_back(std::move(Incoming));
    m_EventPosted.notify_all();
  }

  /// The next event of type \p EventT; others before it are dropped.
  template <typename EventT> std::optional<EventT> next() {
    std::unique_lock Lock(m_Mutex);
    while (true) {
      if (!m_EventPosted.wait_for(Lock, WaitTimeout,
                                  [this] { return !m_Events.empty(); }))
        return std::nullopt;
      const ports::Event First = std::move(m_Events.front());
      m_Events.pop_front();
      if (const EventT *Found = std::get_if<EventT>(&First))
        return *Found;
    }
  }

  /// Blocks the posting thread, as in a paused process.
  void setBlocked(bool Blocked) {
    const std::lock_guard Lock(m_Mutex);
    m_Blocked = Blocked;
    m_Unblocked.notify_all();
  }

private:
  std::mutex m_Mutex;
  std::condition_variable m_EventPosted;
  std::condition_variable m_Unblocked;
  std::deque<ports::Event> m_Events;
  bool m_Blocked = false;
};

class RecordingMetrics : public ports::Metrics {
public:
  void add(ports::Metric Which, const std::string &Label,
           double Amount) override {
    const std::lock_guard Lock(m_Mutex);
    m_Sums[{Which, Label}] += Amount;
    m_Changed.notify_all();
  }
  void set(ports::Metric, const std::string &, double) override {}

  /// Waits for a rejection with \p Label; returns the number of rejections.
  double waitForRejected(const std::string &Label) {
    std::unique_lock Lock(m_Mutex);
    double &Sum = m_Sums[{ports::Metric::PeerMessagesRejected, Label}];
    m_Changed.wait_for(Lock, WaitTimeout, [&Sum] { return Sum > 0; });
    return Sum;
  }

private:
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::pair<ports::Metric, std::string>, double> m_Sums;
};

/// A node's PeerSockets, listening on an ephemeral port.
struct Node {
  explicit Node(const std::string &Name, TransportLimits Limits = {})
      : m_Info{.m_Node = model::NodeId(Name),
               .m_Vm = model::VmId("vm-" + Name),
               .m_PeerAddress = {"127.0.0.1", 0}},
        m_Sockets(m_Info, m_Events, m_Metrics, Limits) {
    const std::optional<uint16_t> Port = m_Sockets.listen();
    REQUIRE_MESSAGE(Port, m_Sockets.lastReason());
    m_Info.m_PeerAddress.m_Port = *Port;
  }

  model::NodeInfo m_Info;
  EventQueue m_Events;
  RecordingMetrics m_Metrics;
  PeerSockets m_Sockets;
};

/// A peer that sends arbitrary bytes.
class RawPeer : private TransportListener {
public:
  RawPeer() : m_Transport(*this, {}) {}

  /// Connects and sends \p Messages.
  void sendTo(const model::Address &To, std::vector<std::string> Messages) {
    m_Messages = std::move(Messages);
    m_Transport.post([this, To] { m_Transport.dial(To.m_Ip, To.m_Port); });
  }

  bool waitClosed() {
    std::unique_lock Lock(m_Mutex);
    return m_Changed.wait_for(Lock, WaitTimeout, [this] { return m_Closed; });
  }

private:
  void onOpen(ConnectionId Connection) override {
    for (const std::string &Bytes : m_Messages)
      m_Transport.send(Connection, Bytes);
  }
  void onMessage(ConnectionId, const std::string &) override {}
  void onRefused(ConnectionId, const std::string &) override {}
  void onClose(ConnectionId) override {
    const std::lock_guard Lock(m_Mutex);
    m_Closed = true;
    m_Changed.notify_all();
  }

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  bool m_Closed = false;
  std::vector<std::string> m_Messages;
  SocketTransport m_Transport;
};

std::string encode(uint64_t Number, const ports::PeerMessage &Message) {
  return *PeerCodec().encode({Number, Message});
}

ports::Hello helloFrom(const std::string &Name) {
  return {1,
          {.m_Node = model::NodeId(Name), .m_Vm = model::VmId("vm-" + Name)},
          {}};
}

ports::Heartbeat heartbeat(uint64_t Sequence) {
  return ports::Heartbeat{.m_Sequence = Sequence};
}

} // namespace

TEST_CASE(
    "two nodes link, learn each other's IDs and receive messages in order") {
  Node A("a");
  Node B("b");
  A.m_Sockets.connect(B.m_Info);
  const auto UpAtA = A.m_Events.next<ports::PeerLinkChanged>();
  const auto UpAtB = B.m_Events.next<ports::PeerLinkChanged>();
  REQUIRE(UpAtA);
  REQUIRE(UpAtB);
  CHECK(*UpAtA == ports::PeerLinkChanged{B.m_Info.m_Node, true, B.m_Info.m_Vm});
  CHECK(*UpAtB == ports::PeerLinkChanged{A.m_Info.m_Node, true, {}});
  const auto HelloEvent = B.m_Events.next<ports::PeerMessageReceived>();
  REQUIRE(HelloEvent);
  CHECK(std::holds_alternative<ports::Hello>(HelloEvent->m_Message));
  for (uint64_t I = 1; I <= 100; ++I)
    A.m_Sockets.send(B.m_Info.m_Node, heartbeat(I));
  for (uint64_t I = 1; I <= 100; ++I) {
    const auto Received = B.m_Events.next<ports::PeerMessageReceived>();
    REQUIRE(Received);
    CHECK(*Received ==
          ports::PeerMessageReceived{A.m_Info.m_Node, heartbeat(I)});
  }
  A.m_Sockets.disconnect(B.m_Info.m_Node);
  const auto DownAtB = B.m_Events.next<ports::PeerLinkChanged>();
  REQUIRE(DownAtB);
  CHECK_FALSE(DownAtB->m_Up);
}

TEST_CASE("two nodes that dial each other at once keep one working link") {
  for (int Round = 0; Round < 10; ++Round) {
    Node A("a");
    Node B("b");
    A.m_Sockets.connect(B.m_Info);
    B.m_Sockets.connect(A.m_Info);
    // Messages may be lost until one link is chosen, so it resends until one
    // arrives.
    bool Arrived = false;
    for (uint64_t I = 1; I <= 200 && !Arrived; ++I) {
      A.m_Sockets.send(B.m_Info.m_Node, heartbeat(I));
      std::this_thread::sleep_for(10ms);
      const auto Received = B.m_Events.next<ports::PeerMessageReceived>();
      REQUIRE(Received);
      Arrived = std::holds_alternative<ports::Heartbeat>(Received->m_Message);
    }
    CHECK(Arrived);
  }
}

TEST_CASE("a protocol violation is counted and closes the link") {
  Node A("a");
  RawPeer Peer;
  std::vector<std::string> Messages = {encode(1, helloFrom("x"))};
  std::string Label;
  SUBCASE("malformed") {
    Messages.push_back("\x01garbage");
    Label = "malformed";
  }
  SUBCASE("unknown type") {
    std::string Unknown = encode(2, heartbeat(1));
    Unknown.replace(Unknown.find("heartbeat"), 9, "heartbeaT");
    Messages.push_back(Unknown);
    Label = "malformed";
  }
  SUBCASE("replayed") {
    Messages.push_back(encode(2, heartbeat(1)));
    Messages.push_back(encode(2, heartbeat(1)));
    Label = "replayed";
  }
  SUBCASE("no Hello first") {
    Messages = {encode(1, heartbeat(1))};
    Label = "out of order";
  }
  SUBCASE("a second Hello") {
    Messages.push_back(encode(2, helloFrom("y")));
    Label = "out of order";
  }
  SUBCASE("too large") {
    Messages.push_back(std::string(524289, '\0'));
    Label = "too large";
  }
  Peer.sendTo(A.m_Info.m_PeerAddress, Messages);
  CHECK(Peer.waitClosed());
  // The node still accepts a conforming peer.
  Node B("b");
  B.m_Sockets.connect(A.m_Info);
  const auto Up = B.m_Events.next<ports::PeerLinkChanged>();
  REQUIRE(Up);
  CHECK(Up->m_Up);
  CHECK(A.m_Metrics.waitForRejected(Label) == 1);
}

TEST_CASE("the link-down event reports a protocol violation") {
  Node A("a");
  RawPeer Peer;
  Peer.sendTo(A.m_Info.m_PeerAddress, {encode(1, helloFrom("x")), "garbage"});
  const auto Up = A.m_Events.next<ports::PeerLinkChanged>();
  const auto Down = A.m_Events.next<ports::PeerLinkChanged>();
  REQUIRE(Up);
  REQUIRE(Down);
  CHECK(Up->m_Up);
  CHECK_FALSE(Down->m_Up);
  CHECK(Down->m_Violation);
}

TEST_CASE("a refused connection is reported with the VM that was dialled") {
  Node A("a");
  model::NodeInfo Absent;
  Absent.m_Vm = model::VmId("vm-absent");
  {
    Node Stopped("short");
    Absent.m_PeerAddress = Stopped.m_Info.m_PeerAddress;
  }
  A.m_Sockets.connect(Absent);
  const auto Down = A.m_Events.next<ports::PeerLinkChanged>();
  REQUIRE(Down);
  CHECK(*Down == ports::PeerLinkChanged{{}, false, Absent.m_Vm});
}

TEST_CASE("a link to another VM than the dialled one is rejected") {
  Node A("a");
  Node B("b");
  model::NodeInfo Moved = B.m_Info;
  Moved.m_Vm = model::VmId("vm-elsewhere");
  A.m_Sockets.connect(Moved);
  const auto Down = A.m_Events.next<ports::PeerLinkChanged>();
  REQUIRE(Down);
  CHECK(*Down == ports::PeerLinkChanged{{}, false, Moved.m_Vm});
}

TEST_CASE("a connection without a first message is closed") {
  TransportLimits Limits;
  Limits.m_OpenTimeout = 200ms;
  Node A("a", Limits);
  RawPeer Peer;
  Peer.sendTo(A.m_Info.m_PeerAddress, {});
  CHECK(Peer.waitClosed());
}

TEST_CASE("a peer that does not read is disconnected at the buffer limit") {
  TransportLimits Limits;
  Limits.m_MaxBufferedBytes = 1'000'000;
  Node A("a", Limits);
  Node B("b");
  A.m_Sockets.connect(B.m_Info);
  REQUIRE(A.m_Events.next<ports::PeerLinkChanged>());
  REQUIRE(B.m_Events.next<ports::PeerLinkChanged>());
  B.m_Events.setBlocked(true);
  const ports::ClaimReply Big{.m_Answer = std::string(400'000, 'x')};
  for (int I = 0; I < 200; ++I)
    A.m_Sockets.send(B.m_Info.m_Node, Big);
  const auto Down = A.m_Events.next<ports::PeerLinkChanged>();
  B.m_Events.setBlocked(false);
  REQUIRE(Down);
  CHECK_FALSE(Down->m_Up);
  CHECK(A.m_Metrics.waitForRejected("peer reads too slowly") >= 1);
}

} // namespace bronzepass::unit_tests::adapters::web_socket
