#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_RELAYDRIVER_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_RELAYDRIVER_H

#include "Core/Adapters/Curl/AttemptListener.h"
#include "Core/Adapters/Curl/CurlMulti.h"
#include "Core/Adapters/Front/FrontServer.h"
#include "Core/Adapters/Gateway/ForwardingHeaders.h"
#include "Core/Adapters/Gateway/GatewayLog.h"
#include "Core/Adapters/Gateway/GatewayMetrics.h"
#include "Core/Adapters/Net/EventLoop.h"
#include "Core/Gateway/AnswerOutcome.h"
#include "Core/Gateway/Dialect.h"
#include "Core/Gateway/RelayCore.h"
#include "Core/Gateway/SentRequestIds.h"
#include "Core/Gateway/StreamSplicer.h"
#include "Core/Ports/Ports.h"
#include "Core/Resources/AnswerMemory.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace bronzepass::core::adapters::gateway {

/// Executes the effects of a RelayCore: sends callers' requests to endpoints
/// and forwards the answers. Runs on the thread of one event loop.
class RelayDriver : public front::FrontHandler,
                    private curl::AttemptEventHandler {
public:
  /// Called when the core requests that a copy of a model be loaded.
  using CopyRequestHandler =
      std::function<void(const core::gateway::CopyRequest &)>;

  /// Called when an endpoint says something new of itself.
  using StatementHandler =
      std::function<void(const core::gateway::StatementChange &)>;

  /// Called when an endpoint wants nothing from this node for a while.
  using PauseHandler = std::function<void(const core::gateway::PauseBegun &)>;

  /// Called when the store has to be asked for the endpoints.
  using ConfirmationHandler = std::function<void()>;

  /// All references must outlive the driver.
  RelayDriver(net::EventLoop &Loop, const core::gateway::Dialect &Dialect,
              core::gateway::RelayCore &Core, const ports::Clock &Clock,
              GatewayLog &Log, GatewayMetrics &Metrics,
              CopyRequestHandler OnCopyRequest);
  ~RelayDriver() override;

  void onRequest(front::FrontRequest Request,
                 std::shared_ptr<pistache::HttpResponseWriter> Answer) override;
  void onRequestDropped(const front::FrontRequest &Request,
                        pistache::ConnectionEnd End) override;
  std::vector<pistache::HttpHeader>
  refusalHeaders(const std::vector<pistache::HttpHeader> &Received,
                 std::optional<model::Duration> RetryAfter) const override;
  /// Handles the requests that other nodes forward.
  front::FrontHandler &forwardedRequestHandler() { return m_ForwardedHandler; }

  /// Runs \p Decide on the core and executes the resulting effects.
  void
  decide(const std::function<void(core::gateway::RelayCore &, model::TimePoint,
                                  core::gateway::RelayEffectList &)> &Decide);
  void setStatementHandler(StatementHandler Handler) {
    m_OnStatementChange = std::move(Handler);
  }
  void setPauseHandler(PauseHandler Handler) {
    m_OnPauseBegun = std::move(Handler);
  }
  /// Called when the holder of quotas is to be asked.
  void setQuotaHandler(std::function<void()> Handler) {
    m_OnAskQuotas = std::move(Handler);
  }
  void setConfirmationHandler(ConfirmationHandler Handler) {
    m_OnConfirmEndpoints = std::move(Handler);
  }
  /// For what endpoints' answers hold together until they are passed on; none
  /// at first.
  void setAnswerMemoryLimit(uint64_t Bytes) { m_AnswerMemory.setLimit(Bytes); }
  const resources::AnswerMemory &answerMemory() const { return m_AnswerMemory; }
  /// From now on, connections are closed after their current answer.
  void closeConnectionsAfterAnswers() { m_Closing = true; }
  /// Number of finished answers that have not been sent completely.
  size_t unsentAnswerCount() const { return m_UnsentAnswers; }

private:
  class ForwardedHandler : public front::FrontHandler {
  public:
    explicit ForwardedHandler(RelayDriver &Driver) : m_Driver(Driver) {}
    void
    onRequest(front::FrontRequest Request,
              std::shared_ptr<pistache::HttpResponseWriter> Answer) override;
    void onRequestDropped(const front::FrontRequest &Request,
                          pistache::ConnectionEnd End) override {
      m_Driver.onRequestDropped(Request, End);
    }

  private:
    RelayDriver &m_Driver;
  };

  /// A caller's request and its answer.
  struct Exchange {
    front::FrontRequest m_Request;
    /// The body of m_Request, which keeps none.
    std::shared_ptr<const std::string> m_RequestBody;
    core::gateway::HeaderLines m_Headers;
    std::string m_CallerRequestId;
    std::shared_ptr<pistache::HttpResponseWriter> m_Answer;
    core::gateway::StreamSplicer m_Splicer;
    /// Another node forwarded the request.
    bool m_IsForwarded = false;
    /// The caller takes up a stream that broke off.
    bool m_IsResumption = false;
    bool m_AnswerStarted = false;
    /// Status and media type of the answer that has started.
    int m_StartedStatus = 0;
    std::string m_StartedMediaType;
    /// The collected answer that ForwardAnswer sends to the caller.
    int m_Status = 0;
    core::gateway::HeaderLines m_AnswerHeaders;
    std::string m_Body;
    /// The length that the endpoint declares; for the answer to HEAD, which has
    /// no body.
    std::optional<uint64_t> m_HeadLength;
  };
  /// One send to an endpoint.
  struct Send {
    model::RequestId m_Request;
    std::string m_CallerRequestId;
    std::string m_Service;
    AnsweringEndpoint m_Endpoint;
    /// To another node, which chooses the endpoint.
    bool m_IsForwarded = false;
    uint64_t m_Transfer = 0;
    /// Its caller had left when it was about to be sent.
    bool m_IsWithdrawn = false;
    bool m_IsStream = false;
    /// Goes on with a stream of which the caller has the beginning.
    bool m_IsContinuation = false;
    /// Events of the stream when it was sent.
    uint64_t m_EventsBefore = 0;
    int m_Status = 0;
    /// nullopt until it has been received.
    std::optional<core::gateway::AnswerHead> m_Head;
    core::gateway::HeaderLines m_Headers;
    /// What the head takes.
    uint64_t m_HeadBytes = 0;
    std::string m_Body;
    curl::BodyFormat m_BodyFormat;
    uint64_t m_ReceivedBytes = 0;
    /// Why this driver ends the transfer; empty if it does not.
    std::string m_Fault;
    /// Chunks are forwarded to the caller as they arrive.
    bool m_Forwarding = false;
    /// Chunks are forwarded without being split into events.
    bool m_BypassesSplicer = false;

    bool isSplicedStream() const { return m_Forwarding && !m_BypassesSplicer; }
  };
  using SendMap = std::unordered_map<model::AttemptId, Send>;

  void accept(front::FrontRequest Request,
              const std::shared_ptr<pistache::HttpResponseWriter> &Answer,
              core::gateway::HeaderLines Headers,
              std::optional<core::gateway::ForwardingTerms> Terms);
  /// Logs the first request that a configuration decides.
  void noteTableUse();
  void carryOut(const core::gateway::RelayEffectList &Effects);
  void on(const core::gateway::SendRequest &Effect);
  void on(const core::gateway::CancelSend &Effect);
  void on(const core::gateway::WithdrawSend &Effect);
  void on(const core::gateway::ForwardAnswer &Effect);
  void on(const core::gateway::RejectRequest &Effect);
  void on(const core::gateway::AbortAnswer &Effect);
  void on(const core::gateway::CopyRequest &Effect);
  void on(const core::gateway::RelayLogEntry &Effect);
  void on(const core::gateway::QuarantineChange &Effect);
  void on(const core::gateway::StatementChange &Effect);
  void on(const core::gateway::PauseBegun &Effect);
  void on(const core::gateway::LinksChange &Effect);
  void on(const core::gateway::PaceChange &Effect);
  void on(const core::gateway::ConfirmEndpoints &Effect);
  void on(const core::gateway::AskQuotas &Effect);
  void on(const core::gateway::ProofChange &Effect);

  void onHeadBytes(model::AttemptId Attempt, uint64_t Bytes) override;
  void onHead(model::AttemptId Attempt,
              const curl::TransferHead &Head) override;
  bool onChunk(model::AttemptId Attempt, std::string_view Chunk) override;
  void onDone(model::AttemptId Attempt,
              const curl::TransferResult &Result) override;
  /// Collects or forwards the chunk. Returns why the answer can't be accepted
  /// any further; nullptr if it can.
  const char *acceptChunk(Send &From, Exchange &To, std::string_view Chunk);
  /// Begins to forward an answer that was to be collected.
  void passOnCollected(Send &From, Exchange &To);
  void forwardChunk(Send &From, Exchange &To, std::string_view Chunk);
  void beginAnswer(Exchange &To, int Status,
                   const core::gateway::HeaderLines &Headers,
                   std::optional<uint64_t> Length);
  /// Whether somebody still waits for the answer; called just before the first
  /// byte is sent.
  bool mayStillSend(model::AttemptId Attempt);
  void endExchange(model::RequestId Request);
  void eraseExchange(model::RequestId Request);
  // RelayDriverMemory.cpp
  /// Counts what the answer holds. If there is no room for it, answers are
  /// passed on early or given up, maybe this one.
  void countHeld(model::AttemptId Attempt);
  /// The same of the answer that the caller gets if no other comes.
  void countKept(model::RequestId Request, const AnsweringEndpoint &From,
                 uint64_t HeadBytes);
  void makeRoomForAnswers();
  void reduce(model::AttemptId Attempt);
  void replaceKept(model::RequestId Request);
  /// Why the answer can't be used, by its head; nullptr if it can.
  static const char *headFault(const Send &From, const Exchange *To);
  /// Takes what another node added to the head of an answer.
  void readForwardedHead(model::AttemptId Attempt, Send &From);
  void rejectAnswer(model::AttemptId Attempt, const std::string &Reason);
  void logUnreadableStatement(const std::string &Line);

  ForwardedHandler m_ForwardedHandler{*this};
  net::EventLoop &m_Loop;
  const core::gateway::Dialect &m_Dialect;
  core::gateway::RelayCore &m_Core;
  const ports::Clock &m_Clock;
  GatewayLog &m_Log;
  GatewayMetrics &m_Metrics;
  CopyRequestHandler m_OnCopyRequest;
  StatementHandler m_OnStatementChange;
  PauseHandler m_OnPauseBegun;
  ConfirmationHandler m_OnConfirmEndpoints;
  std::function<void()> m_OnAskQuotas;
  std::unordered_map<model::RequestId, Exchange> m_Exchanges;
  SendMap m_Sends;
  resources::AnswerMemory m_AnswerMemory{~0ULL};
  bool m_IsMakingRoom = false;
  core::gateway::SentRequestIds m_SentIds;
  /// Shortest time for which a service's endpoints keep idle connections.
  std::map<std::string, std::chrono::seconds> m_KeepAlive;
  uint64_t m_LastRequestNumber = 0;
  /// The configuration that decided the last request.
  uint64_t m_UsedVersion = 0;
  std::optional<model::TimePoint> m_UnreadableLoggedAt;
  bool m_Closing = false;
  size_t m_UnsentAnswers = 0;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
  curl::CurlMulti m_Curl;
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_RELAYDRIVER_H
