#ifndef BRONZEPASS_CORE_ADAPTERS_WEBSOCKET_SOCKETTRANSPORT_H
#define BRONZEPASS_CORE_ADAPTERS_WEBSOCKET_SOCKETTRANSPORT_H

// Included by a unit that is compiled as C++17, since websocketpp 0.8.2 does
// not compile as C++20: nothing newer may stand here.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bronzepass::core::adapters::web_socket {

/// Numbers one connection of a transport; never used twice.
using ConnectionId = uint64_t;

/// What a transport reports, on its own thread.
class TransportListener {
public:
  virtual ~TransportListener() = default;
  virtual void onOpen(ConnectionId Connection) = 0;
  virtual void onMessage(ConnectionId Connection, const std::string &Bytes) = 0;
  /// The connection is no more, or could not be made.
  virtual void onClose(ConnectionId Connection) = 0;
  /// The library refused what the other end sent, or a limit was passed.
  virtual void onRefused(ConnectionId Connection,
                         const std::string &Reason) = 0;
};

/// Bounds of every connection.
struct TransportLimits {
  size_t m_MaxMessageBytes = 524288;
  /// Bytes that wait for a slow peer; past this the connection is cut.
  size_t m_MaxBufferedBytes = 8388608;
  size_t m_MaxConnections = 256;
  /// For connecting, the handshake and the first message together.
  std::chrono::milliseconds m_OpenTimeout{1500};
};

/// Opaque byte strings over WebSocket connections, both dialled and accepted,
/// by websocketpp on one thread of its own. Methods may be called from any
/// thread; what they do happens on the transport's thread, in order.
class SocketTransport {
public:
  SocketTransport(TransportListener &Listener, TransportLimits Limits);
  /// Closes every connection and joins the thread.
  ~SocketTransport();
  SocketTransport(const SocketTransport &) = delete;
  SocketTransport &operator=(const SocketTransport &) = delete;

  /// Accepts connections at \p Ip; port 0 takes a free one. Returns false with
  /// the reason where it cannot. Call once, before anything else.
  bool listen(const std::string &Ip, uint16_t Port, std::string &Reason);
  /// The port that it listens on.
  uint16_t port() const;

  /// Runs \p Task on the transport's thread.
  void post(std::function<void()> Task);

  // On the transport's thread only:

  /// Starts to connect; onOpen or onClose follows.
  ConnectionId dial(const std::string &Ip, uint16_t Port);
  void send(ConnectionId Connection, const std::string &Bytes);
  /// Closes in order; onClose follows.
  void close(ConnectionId Connection, const std::string &Reason);

private:
  class Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

} // namespace bronzepass::core::adapters::web_socket

#endif // BRONZEPASS_CORE_ADAPTERS_WEBSOCKET_SOCKETTRANSPORT_H
