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

/// Why a request was rejected before it was read completely.
enum class HttpRequestError {
  Malformed,
  BodyTooLarge,
  HeadersTooLarge,
  TimedOut
};

/// Handles the requests of an HttpServer.
class HttpHandler {
public:
  virtual ~HttpHandler() = default;

  /// Called on a reactor thread, which serves many connections: pass the work
  /// to another thread and return. \p Answer is used on the loop's thread.
  virtual void onRequest(HttpRequest Request,
                         std::shared_ptr<HttpResponseWriter> Answer) = 0;

  /// Returns the response to a request that can't be read. Called on a reactor
  /// thread.
  virtual HttpReply onRequestError(HttpRequestError Error,
                                   const std::string &Message) = 0;
};

struct HttpServerOptions {
  /// Port 0 selects a free port.
  model::Address m_Address;
  int m_Threads = 2;
  size_t m_MaxHeaderBytes = 32 << 10;
  size_t m_MaxBodyBytes = 4 << 20;
  /// Limits for receiving the request line with all headers, and the body.
  std::chrono::milliseconds m_HeaderTimeout = std::chrono::seconds(30);
  std::chrono::milliseconds m_BodyTimeout = std::chrono::seconds(60);
  ConnectionLimits m_Connections;
};

/// A Pistache server whose responses are written on the thread of one
/// EventLoop.
class HttpServer {
public:
  /// \p Loop and \p Handler must outlive the server.
  HttpServer(const HttpServerOptions &Options, net::EventLoop &Loop,
             HttpHandler &Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Binds the address and serves on its own threads. Returns an error message
  /// if it can't.
  std::optional<std::string> start();
  /// Closes the listening socket and all connections.
  void stop();
  /// The bound port.
  uint16_t port() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bronzepass::core::adapters::pistache

#endif // BRONZEPASS_CORE_ADAPTERS_PISTACHE_HTTPSERVER_H
