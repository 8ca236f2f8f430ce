#ifndef BRONZEPASS_CORE_ADAPTERS_CALLERS_CALLERSERVER_H
#define BRONZEPASS_CORE_ADAPTERS_CALLERS_CALLERSERVER_H

#include "Core/Adapters/Callers/CallerHeaders.h"
#include "Core/Adapters/Pistache/HttpServer.h"
#include "Core/Adapters/Traffic/TrafficDriver.h"
#include "Core/Ports/Ports.h"
#include "Core/Routing/RoutingTable.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>

namespace bronzepass::core::adapters::callers {

struct CallerServerOptions {
  pistache::HttpServerOptions m_Server;
  WindowLimits m_Windows;
};

/// HTTP server for callers. Reads each request completely on Pistache's threads
/// and passes it to the traffic thread. Other nodes forward requests to it as
/// well.
class CallerServer : private pistache::HttpHandler {
public:
  /// \p Driver and \p Clock must outlive it.
  CallerServer(const CallerServerOptions &Options,
               traffic::TrafficDriver &Driver, const ports::Clock &Clock);
  ~CallerServer() override;

  /// Starts listening. Returns an error message if that fails.
  std::optional<std::string> start();
  /// Closes the listening socket and all connections immediately.
  void stop();
  uint16_t port() const;

  /// May be called from any thread. Every request is refused until the first
  /// table is set.
  void setTable(std::shared_ptr<const routing::RoutingTable> Table);

private:
  void onRequest(pistache::HttpRequest Request,
                 std::shared_ptr<pistache::HttpResponseWriter> Answer) override;
  pistache::HttpReply onRequestError(pistache::HttpRequestError Error,
                                     const std::string &Message) override;

  pistache::HttpReply listModels(const pistache::HttpRequest &Request,
                                 const routing::RoutingTable &Table) const;
  static void reply(const std::shared_ptr<pistache::HttpResponseWriter> &Answer,
                    pistache::HttpReply Reply);

  WindowLimits m_Windows;
  traffic::TrafficDriver &m_Driver;
  const ports::Clock &m_Clock;
  std::atomic<std::shared_ptr<const routing::RoutingTable>> m_Table;
  pistache::HttpServer m_Server;
};

} // namespace bronzepass::core::adapters::callers

#endif // BRONZEPASS_CORE_ADAPTERS_CALLERS_CALLERSERVER_H
