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

/// The operators' HTTP address: GET /live, /ready and /metrics, and whatever
/// pages it is given.
class OperatorServer : private pistache::HttpHandler {
public:
  /// Ends one page; callable from any thread, once.
  using PageDone = std::function<void(pistache::HttpReply Reply)>;
  /// Makes the page for a request, at once or later, on any thread. Called on
  /// a thread of the server's: hand the work to the control thread and return.
  using PageMaker =
      std::function<void(pistache::HttpRequest Request, PageDone Done)>;
  /// The text of /metrics.
  using MetricsText = std::function<std::string()>;

  OperatorServer(const pistache::HttpServerOptions &Options,
                 MetricsText Metrics, PageMaker Pages);
  ~OperatorServer() override;

  /// The reason where it can't listen.
  std::optional<std::string> start();
  void stop();
  uint16_t port() const;

  /// Readiness as the balancer sees it; not ready until the first call.
  void setReady(bool Ready, const std::string &Reason);

private:
  void onRequest(pistache::HttpRequest Request,
                 std::shared_ptr<pistache::HttpResponseWriter> Answer) override;
  pistache::HttpReply onRequestError(pistache::HttpRequestError Fault,
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
