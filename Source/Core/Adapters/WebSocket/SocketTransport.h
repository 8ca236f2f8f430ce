#ifndef BRONZEPASS_CORE_ADAPTERS_WEBSOCKET_SOCKETTRANSPORT_H
#define BRONZEPASS_CORE_ADAPTERS_WEBSOCKET_SOCKETTRANSPORT_H

// SocketTransport.cpp is compiled as C++17, because websocketpp 0.8.2 does not
// compile as C++20: this header must be valid C++17.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bronzepass::core::adapters::web_socket {

/// Identifies a connection of a transport; never reused.
using ConnectionId = uint64_t;

/// Receives the events of a transport, on the transport's thread.
class TransportListener {
public:
  virtual ~TransportListener() = default;
  virtual void onOpen(ConnectionId Connection) = 0;
  virtual void onMessage(ConnectionId Connection, const std::string &Bytes) = 0;
  /// The connection was closed, or connecting failed.
  virtual void onClose(ConnectionId Connection) = 0;
  /// The library rejected data from the peer, a limit was exceeded, or a
  /// handler threw (then \p Connection is 0).
  virtual void onRefused(ConnectionId Connection,
                         const std::string &Reason) = 0;
};

/// Limits on connections.
struct TransportLimits {
  size_t m_MaxMessageBytes = 524288;
  /// Bytes buffered for a slow peer; beyond this the connection is closed.
  size_t m_MaxBufferedBytes = 8388608;
  size_t m_MaxConnections = 256;
  /// Timeout of the handshake, and again of the first message after it.
  std::chrono::milliseconds m_OpenTimeout{1500};
};

/// Exchanges binary messages over dialled and accepted WebSocket connections,
/// using websocketpp on a thread of its own. post() may be called from any
/// thread; tasks run on the transport's thread, in order.
class SocketTransport {
public:
  SocketTransport(TransportListener &Listener, TransportLimits Limits);
  /// Closes every connection and joins the thread.
  ~SocketTransport();
  SocketTransport(const SocketTransport &) = delete;
  SocketTransport &operator=(const SocketTransport &) = delete;

  /// Accepts connections at \p Ip; port 0 selects a free port. On failure
  /// returns false and sets \p Reason. Call once, before anything else.
  bool listen(const std::string &Ip, uint16_t Port, std::string &Reason);
  /// The port being listened on.
  uint16_t port() const;

  /// Runs \p Task on the transport's thread.
  void post(std::function<void()> Task);

  // On the transport's thread only:

  /// Starts to connect; onOpen or onClose follows.
  ConnectionId dial(const std::string &Ip, uint16_t Port);
  void send(ConnectionId Connection, const std::string &Bytes);
  /// Closes with a closing handshake; onClose follows.
  void close(ConnectionId Connection, const std::string &Reason);

private:
  class Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

} // namespace bronzepass::core::adapters::web_socket

#endif // BRONZEPASS_CORE_ADAPTERS_WEBSOCKET_SOCKETTRANSPORT_H
