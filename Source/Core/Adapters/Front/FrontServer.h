#ifndef BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTSERVER_H
#define BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTSERVER_H

#include "Core/Adapters/Front/FrontRequest.h"
#include "Core/Adapters/Front/FrontRequestParser.h"
#include "Core/Adapters/Net/EventLoop.h"
#include "Core/Adapters/Net/FileDescriptor.h"
#include "Core/Adapters/Pistache/HttpResponseWriter.h"
#include "Core/Model/Address.h"

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace bronzepass::core::adapters::front {

class FrontConnection;

/// Size limits and timeouts for callers' connections.
struct FrontLimits {
  ParserLimits m_Parser;
  /// From the first byte of a request to the end of its headers.
  std::chrono::milliseconds m_HeaderTimeout = std::chrono::seconds(3);
  /// Between two pieces of a body. RFC 9110 specifies no value; a caller that
  /// pauses this long has usually disconnected.
  std::chrono::milliseconds m_BodyTimeout = std::chrono::seconds(10);
  /// Between an answer and the next request.
  std::chrono::milliseconds m_IdleTimeout = std::chrono::seconds(15);
  /// Maximum bytes of answers that a caller has not read yet; beyond it, the
  /// connection is closed. Holds some hundred events of a stream.
  size_t m_MaxUnsentBytes = 256 << 10;

  friend auto operator<=>(const FrontLimits &, const FrontLimits &) = default;
};

/// Handles the requests that a FrontServer has read.
class FrontHandler {
public:
  virtual ~FrontHandler() = default;
  /// Called on the loop's thread when a request has been read completely.
  virtual void
  onRequest(FrontRequest Request,
            std::shared_ptr<pistache::HttpResponseWriter> Answer) = 0;
};

/// HTTP server that accepts callers' connections and reads their requests on
/// the thread of one event loop; HttpResponseWriter writes the answers.
class FrontServer {
public:
  /// \p Loop and \p Handler must outlive this object.
  FrontServer(net::EventLoop &Loop, FrontHandler &Handler);
  ~FrontServer();
  FrontServer(const FrontServer &) = delete;
  FrontServer &operator=(const FrontServer &) = delete;

  /// Listens on \p Address; returns the reason on failure. This and the
  /// following functions must be called before the loop runs or on its thread.
  std::optional<std::string> listen(const model::Address &Address);
  /// Applies to each connection from its next request on.
  void setLimits(const FrontLimits &Limits) { m_Limits = Limits; }
  const FrontLimits &limits() const { return m_Limits; }
  /// Stops accepting connections and closes those without an active request or
  /// unread input.
  void closeIdle();
  /// Returns the port on which the server listens.
  uint16_t port() const;
  size_t connectionCount() const { return m_Connections.size(); }

private:
  friend class FrontConnection;

  void acceptAll();
  void removeConnection(const std::shared_ptr<FrontConnection> &Connection);

  net::EventLoop &m_Loop;
  FrontHandler &m_Handler;
  FrontLimits m_Limits;
  net::FileDescriptor m_Listener;
  std::set<std::shared_ptr<FrontConnection>> m_Connections;
};

} // namespace bronzepass::core::adapters::front

#endif // BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTSERVER_H
