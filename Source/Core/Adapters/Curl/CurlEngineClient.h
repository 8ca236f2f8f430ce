#ifndef BRONZEPASS_CORE_ADAPTERS_CURL_CURLENGINECLIENT_H
#define BRONZEPASS_CORE_ADAPTERS_CURL_CURLENGINECLIENT_H

#include "Core/Model/Time.h"
#include "Core/Ports/Event.h"
#include "Core/Ports/Ports.h"
#include "Core/Routing/TrafficEvent.h"

#include <functional>
#include <memory>

namespace bronzepass::core::adapters::curl {

struct EngineClientOptions {
  model::Duration m_ConnectTimeout = std::chrono::seconds(1);
  /// For the complete answer to a report request or an order.
  model::Duration m_AnswerTimeout = std::chrono::seconds(2);
  /// Idle connections to engines that are kept for reuse.
  long m_MaxIdleConnections = 256;
};

/// Sends orders and report requests to engines over HTTP, on a thread of its
/// own. Results are posted as OrderAnswer, EngineReport and ReportFailed. The
/// load and the prompt cache changes in a report are also passed to the
/// TrafficSink.
class CurlEngineClient : public ports::EngineClient {
public:
  /// Called on the client's thread with LoadReported and CacheChanged.
  using TrafficSink = std::function<void(routing::TrafficEvent)>;

  /// \p Clock and \p Control must outlive it. \p Traffic may be empty.
  CurlEngineClient(EngineClientOptions Options, const ports::Clock &Clock,
                   ports::EventSink &Control, TrafficSink Traffic);
  /// Abandons the transfers that are still running.
  ~CurlEngineClient() override;
  CurlEngineClient(const CurlEngineClient &) = delete;
  CurlEngineClient &operator=(const CurlEngineClient &) = delete;

  /// Both may be called from any thread and return at once.
  void send(const model::EngineOrder &Order, const model::Address &To) override;
  void requestReport(const model::EndpointId &Endpoint,
                     const model::Address &From) override;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace bronzepass::core::adapters::curl

#endif // BRONZEPASS_CORE_ADAPTERS_CURL_CURLENGINECLIENT_H
