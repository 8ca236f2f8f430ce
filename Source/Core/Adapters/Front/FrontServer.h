#ifndef BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTSERVER_H
#define BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTSERVER_H

#include "Core/Adapters/Front/FrontRequest.h"
#include "Core/Adapters/Front/RequestReading.h"
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

/// What callers may send and how long they may take.
struct FrontLimits {
  ReadingLimits m_Reading;
  /// From a request's first byte to the end of its headers.
  std::chrono::milliseconds m_HeaderTimeout = std::chrono::seconds(3);
  /// Between two pieces of a body. RFC 9110 names no figure; a caller that
  /// pauses this long has mostly gone.
  std::chrono::milliseconds m_BodyTimeout = std::chrono::seconds(10);
  /// Between an answer and the next request.
  std::chrono::milliseconds m_IdleTimeout = std::chrono::seconds(15);
  /// Bytes of answers that a caller has not taken yet; past it, it is cut. Some
  /// hundred events of a stream.
  size_t m_AnswerBytes = 256 << 10;

  friend auto operator<=>(const FrontLimits &, const FrontLimits &) = default;
};

class FrontHandler {
public:
  virtual ~FrontHandler() = default;
  /// A request has been read whole; called on the loop's thread.
  virtual void
  onRequest(FrontRequest Request,
            std::shared_ptr<pistache::HttpResponseWriter> Answer) = 0;
};

/// Takes callers' connections and reads their requests on one loop's thread;
/// the answers are written by HttpResponseWriter.
class FrontServer {
public:
  /// \p Loop and \p Handler outlive it.
  FrontServer(net::EventLoop &Loop, FrontHandler &Handler);
  ~FrontServer();
  FrontServer(const FrontServer &) = delete;
  FrontServer &operator=(const FrontServer &) = delete;

  /// Listens on \p Address; the reason where that fails. Before the loop runs,
  /// or on its thread, as all that follows.
  std::optional<std::string> listen(const model::Address &Address);
  /// Taken up by each connection with its next request.
  void setLimits(const FrontLimits &Limits) { m_Limits = Limits; }
  const FrontLimits &limits() const { return m_Limits; }
  /// Closes the connections that no request is on, and takes no new ones.
  void closeIdle();
  /// The port that it listens on.
  uint16_t port() const;
  size_t connectionCount() const { return m_Connections.size(); }

private:
  friend class FrontConnection;

  void acceptAll();
  void forget(const std::shared_ptr<FrontConnection> &Connection);

  net::EventLoop &m_Loop;
  FrontHandler &m_Handler;
  FrontLimits m_Limits;
  net::FileDescriptor m_Listener;
  std::set<std::shared_ptr<FrontConnection>> m_Connections;
};

} // namespace bronzepass::core::adapters::front

#endif // BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTSERVER_H
