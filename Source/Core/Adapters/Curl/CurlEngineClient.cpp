#include "Core/Adapters/Curl/CurlEngineClient.h"

#include "Core/Adapters/Curl/AnswerCollector.h"
#include "Core/Adapters/Curl/CurlMulti.h"
#include "Core/Adapters/Json/ControlJson.h"
#include "Core/Adapters/Net/LoopThread.h"

#include <map>
#include <nlohmann/json.hpp>

namespace bronzepass::core::adapters::curl {

namespace {

constexpr int StatusAccepted = 202;
constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;
constexpr int StatusInsufficientStorage = 507;

std::chrono::milliseconds toMillis(model::Duration Value) {
  return std::chrono::ceil<std::chrono::milliseconds>(Value);
}

model::FencingToken highestToken(const std::string &Body) {
  const nlohmann::json Json = nlohmann::json::parse(Body, nullptr, false);
  if (!Json.is_object() || !Json.contains("highest_token") ||
      !Json["highest_token"].is_number_unsigned())
    return {};
  return {Json["highest_token"].get<uint64_t>()};
}

model::OrderStatus orderStatus(const TransferResult &Result, int Status) {
  if (Status == 0 && Result.m_BytesSent == 0)
    return model::OrderStatus::NotSent;
  if (!Result.m_Complete)
    return model::OrderStatus::Unknown;
  switch (Status) {
  case StatusOk:
  case StatusAccepted:
    return model::OrderStatus::Accepted;
  case StatusConflict:
    return model::OrderStatus::StaleToken;
  case StatusInsufficientStorage:
    return model::OrderStatus::NoMemory;
  default:
    return model::OrderStatus::Unknown;
  }
}

} // namespace

class CurlEngineClient::Impl {
public:
  Impl(EngineClientOptions Options, const ports::Clock &Clock,
       ports::EventSink &Control, TrafficSink Traffic)
      : m_Options(Options), m_Clock(Clock), m_Control(Control),
        m_Traffic(std::move(Traffic)),
        m_Curl(m_Thread.loop(), Options.m_MaxIdleConnections) {
    m_Thread.start();
  }

  ~Impl() { m_Thread.stop(); }

  void send(const model::EngineOrder &Order, const model::Address &To) {
    m_Thread.loop().post([this, Order, To] { startOrder(Order, To); });
  }

  void requestReport(const model::EndpointId &Endpoint,
                     const model::Address &From) {
    m_Thread.loop().post(
        [this, Endpoint, From] { startReport(Endpoint, From); });
  }

private:
  TransferRequest makeRequest(const model::Address &To) const {
    TransferRequest Request;
    Request.m_Address = To;
    Request.m_ConnectTimeout = toMillis(m_Options.m_ConnectTimeout);
    Request.m_Timeout = toMillis(m_Options.m_AnswerTimeout);
    // On a kept connection, a second copy of an answer would be taken for the
    // answer to the next call, and libcurl might resend an order after it was
    // given up.
    Request.m_FreshConnection = true;
    return Request;
  }

  void startOrder(const model::EngineOrder &Order, const model::Address &To) {
    TransferRequest Request = makeRequest(To);
    Request.m_Method = "POST";
    Request.m_Path = json::orderPath(Order.m_Kind);
    Request.m_Headers = {"Content-Type: application/json"};
    Request.m_Body = json::orderToJson(Order);
    const model::OrderId Id = Order.m_Id;
    const model::EndpointId Endpoint = Order.m_Endpoint;
    m_Curl.start(std::move(Request),
                 std::make_shared<AnswerCollector>(
                     [this, Id, Endpoint](const TransferResult &Result,
                                          const TransferHead &Head,
                                          const std::string &Body) {
                       m_Control.post(model::OrderAnswer{
                           Id, Endpoint, orderStatus(Result, Head.m_Status),
                           highestToken(Body)});
                     }));
  }

  void startReport(const model::EndpointId &Endpoint,
                   const model::Address &From) {
    TransferRequest Request = makeRequest(From);
    Request.m_Path = "/control/report?cache_since=" +
                     std::to_string(m_CacheSequences[Endpoint]);
    // The engine creates the report between request and answer. The earlier
    // time never makes a report look newer than it is.
    const model::TimePoint RequestedAt = m_Clock.now();
    m_Curl.start(std::move(Request),
                 std::make_shared<AnswerCollector>(
                     [this, Endpoint, RequestedAt](const TransferResult &Result,
                                                   const TransferHead &Head,
                                                   const std::string &Body) {
                       handleReport(Endpoint, RequestedAt, Result,
                                    Head.m_Status, Body);
                     }));
  }

  void handleReport(const model::EndpointId &Endpoint,
                    model::TimePoint RequestedAt, const TransferResult &Result,
                    int Status, const std::string &Body) {
    std::optional<json::ReportReadResult> Reading;
    if (Result.m_Complete && Status == StatusOk)
      Reading = json::reportFromJson(Body);
    // Ignores the report of another engine that has taken over the address.
    if (!Reading || Reading->m_Report.m_Endpoint != Endpoint) {
      m_Control.post(ports::ReportFailed{Endpoint, Result.m_Refused});
      return;
    }
    Reading->m_Report.m_MadeAt = RequestedAt;
    m_CacheSequences[Endpoint] = Reading->m_Cache.m_Sequence;
    if (m_Traffic) {
      m_Traffic(routing::LoadReported{
          Endpoint,
          {Reading->m_Report.m_Running, Reading->m_Report.m_Waiting},
          RequestedAt});
      m_Traffic(Reading->m_Cache);
    }
    m_Control.post(Reading->m_Report);
  }

  EngineClientOptions m_Options;
  const ports::Clock &m_Clock;
  ports::EventSink &m_Control;
  TrafficSink m_Traffic;
  /// Sequence number of the last cache event received from each engine.
  std::map<model::EndpointId, uint64_t> m_CacheSequences;
  net::LoopThread m_Thread;
  CurlMulti m_Curl;
};

CurlEngineClient::CurlEngineClient(EngineClientOptions Options,
                                   const ports::Clock &Clock,
                                   ports::EventSink &Control,
                                   TrafficSink Traffic)
    : m_Impl(std::make_unique<Impl>(Options, Clock, Control,
                                    std::move(Traffic))) {}

CurlEngineClient::~CurlEngineClient() = default;

void CurlEngineClient::send(const model::EngineOrder &Order,
                            const model::Address &To) {
  m_Impl->send(Order, To);
}

void CurlEngineClient::requestReport(const model::EndpointId &Endpoint,
                                     const model::Address &From) {
  m_Impl->requestReport(Endpoint, From);
}

} // namespace bronzepass::core::adapters::curl
