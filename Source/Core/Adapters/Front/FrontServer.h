#ifndef BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTSERVER_H
#define BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTSERVER_H

#include "Core/Adapters/Front/FrontRequest.h"
#include "Core/Adapters/Front/FrontRequestParser.h"
#include "Core/Adapters/Net/EventLoop.h"
#include "Core/Adapters/Net/FileDescriptor.h"
#include "Core/Adapters/Pistache/HttpResponseWriter.h"
#include "Core/Model/Address.h"
#include "Core/Model/Time.h"
#include "Core/Resources/CallerMemory.h"

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

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
  /// From the end of the headers to the end of the body.
  std::chrono::milliseconds m_WholeBodyTimeout = std::chrono::minutes(10);
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
  /// Called instead if the connection had ended when the request was complete.
  virtual void onRequestDropped(const FrontRequest & /*Request*/,
                                pistache::ConnectionEnd /*End*/) {}
  /// What a refusal by the server itself carries: of a request with the headers
  /// \p Received, none if they were not read.
  virtual std::vector<pistache::HttpHeader>
  refusalHeaders(const std::vector<pistache::HttpHeader> & /*Received*/,
                 std::optional<model::Duration> /*RetryAfter*/) const {
    return {};
  }
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
  /// Charges what connections hold to \p Memory, which must outlive this
  /// object and gets a tick() at the time now().
  void setMemory(resources::CallerMemory &Memory) { m_Memory = &Memory; }
  /// Beyond \p Places connections, those that do nothing are closed; 0: there
  /// may be any number.
  void setPlaces(size_t Places) { m_Places = Places; }
  static model::TimePoint now();
  /// Connections closed, and requests refused, since places were short.
  uint64_t placesGivenUp() const { return m_PlacesGivenUp; }
  /// How often new connections had to wait since no place could be given up.
  uint64_t acceptPauses() const { return m_AcceptPauses; }
  /// Stops accepting connections and closes those without an active request or
  /// unread input.
  void closeIdle();
  /// Returns the port on which the server listens.
  uint16_t port() const;
  size_t connectionCount() const { return m_Connections.size(); }

private:
  friend class FrontConnection;

  void acceptAll();
  /// Whether there is a place for a new connection.
  bool makePlace();
  void pauseAccepting();
  void removeConnection(const std::shared_ptr<FrontConnection> &Connection);

  net::EventLoop &m_Loop;
  FrontHandler &m_Handler;
  FrontLimits m_Limits;
  net::FileDescriptor m_Listener;
  std::set<std::shared_ptr<FrontConnection>> m_Connections;
  resources::CallerMemory *m_Memory = nullptr;
  size_t m_Places = 0;
  uint64_t m_PlacesGivenUp = 0;
  uint64_t m_AcceptPauses = 0;
  std::optional<net::EventLoop::TimerId> m_AcceptTimer;
};

} // namespace bronzepass::core::adapters::front

#endif // BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTSERVER_H
