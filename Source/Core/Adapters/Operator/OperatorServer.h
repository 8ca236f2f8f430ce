#ifndef BRONZEPASS_CORE_ADAPTERS_OPERATOR_OPERATORSERVER_H
#define BRONZEPASS_CORE_ADAPTERS_OPERATOR_OPERATORSERVER_H

#include "Core/Adapters/Net/LoopThread.h"
#include "Core/Adapters/Pistache/HttpServer.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace bronzepass::core::adapters::operators {

/// HTTP server for operators. Serves /live, /ready and /metrics itself and
/// passes all other requests to a PageMaker.
class OperatorServer : private pistache::HttpHandler {
public:
  /// Sends the page of one request. May be called from any thread, once.
  using PageDone = std::function<void(pistache::HttpReply Reply)>;
  /// Makes the page for a request, immediately or later, on any thread. Called
  /// on a thread of the server: pass the work to the control thread and return.
  using PageMaker =
      std::function<void(pistache::HttpRequest Request, PageDone Done)>;
  /// Returns the text of /metrics.
  using MetricsText = std::function<std::string()>;

  OperatorServer(const pistache::HttpServerOptions &Options,
                 MetricsText Metrics, PageMaker Pages);
  ~OperatorServer() override;

  /// Starts listening. Returns an error message if that fails.
  std::optional<std::string> start();
  void stop();
  uint16_t port() const;

  /// Sets the readiness that /ready reports to the load balancer. The server is
  /// not ready until the first call.
  void setReady(bool Ready, const std::string &Reason);

private:
  void onRequest(pistache::HttpRequest Request,
                 std::shared_ptr<pistache::HttpResponseWriter> Answer) override;
  pistache::HttpReply onRequestError(pistache::HttpRequestError Error,
                                     const std::string &Message) override;
  pistache::HttpReply readiness();

  MetricsText m_Metrics;
  PageMaker m_Pages;
  std::mutex m_ReadyMutex;
  bool m_Ready = false;
  std::string m_Reason = "starting";
  net::LoopThread m_Thread;
  pistache::HttpServer m_Server;
};

} // namespace bronzepass::core::adapters::operators

#endif // BRONZEPASS_CORE_ADAPTERS_OPERATOR_OPERATORSERVER_H
