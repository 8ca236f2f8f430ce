#ifndef BRONZEPASS_CORE_ADAPTERS_PISTACHE_HTTPSERVER_H
#define BRONZEPASS_CORE_ADAPTERS_PISTACHE_HTTPSERVER_H

#include "Core/Adapters/Pistache/HttpMessage.h"
#include "Core/Adapters/Pistache/HttpResponseWriter.h"
#include "Core/Model/Address.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace bronzepass::core::adapters::pistache {

/// A request that was refused before it was read whole.
enum class HttpRequestError {
  Malformed,
  BodyTooLarge,
  HeadersTooLarge,
  TimedOut
};

/// What a server does with its requests.
class HttpHandler {
public:
  virtual ~HttpHandler() = default;

  /// Called on a reactor's thread, which serves many connections: hand the
  /// work over and return. \p Answer is used on the loop's thread.
  virtual void onRequest(HttpRequest Request,
                         std::shared_ptr<HttpResponseWriter> Answer) = 0;

  /// The body and headers of the answer to a request that can't be read.
  /// Called on a reactor's thread.
  virtual HttpReply onRequestError(HttpRequestError Fault,
                                   const std::string &Message) = 0;
};

struct HttpServerOptions {
  /// Port 0 takes a free one.
  model::Address m_Address;
  int m_Threads = 2;
  size_t m_MaxHeaderBytes = 32 << 10;
  size_t m_MaxBodyBytes = 4 << 20;
  /// For a request's line and headers, and for its body, to come whole.
  std::chrono::milliseconds m_HeaderTimeout = std::chrono::seconds(30);
  std::chrono::milliseconds m_BodyTimeout = std::chrono::seconds(60);
  ConnectionLimits m_Connections;
};

/// A Pistache server whose answers are written on one EventLoop.
class HttpServer {
public:
  /// \p Loop and \p Handler outlive the server.
  HttpServer(const HttpServerOptions &Options, net::EventLoop &Loop,
             HttpHandler &Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Binds and serves on its own threads; the reason where it can't.
  std::optional<std::string> start();
  /// Closes the listening socket and all connections.
  void stop();
  /// The port that is bound.
  uint16_t port() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bronzepass::core::adapters::pistache

#endif // BRONZEPASS_CORE_ADAPTERS_PISTACHE_HTTPSERVER_H
