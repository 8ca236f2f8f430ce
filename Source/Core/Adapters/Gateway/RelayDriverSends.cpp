#include "Core/Adapters/Gateway/RelayDriver.h"

#include "Core/Model/HeaderName.h"

#include <optional>
#include <string>
#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;
using gateway::HeaderLine;
using gateway::HeaderLines;

namespace {

/// Two round trips between failure domains, the endpoint's processing time and
/// one retransmitted packet.
constexpr std::chrono::milliseconds ConnectTimeout(450);
/// A packet that is lost twice in a row is acknowledged within this time; an
/// endpoint that lost power never acknowledges.
constexpr std::chrono::milliseconds PeerLostAfter(2000);
/// The core enforces request deadlines; this only bounds transfers that it
/// failed to cancel.
constexpr std::chrono::milliseconds TimeoutSlack(2000);
/// The same without the retransmission: while links are lost, another node is
/// the better way.
constexpr std::chrono::milliseconds TrialConnectTimeout(100);
/// Less than the time for which a node keeps an idle connection.
constexpr std::chrono::seconds NodeKeepAlive(5);
/// Used until an endpoint announces how long it keeps idle connections.
constexpr std::chrono::seconds UnknownKeepAlive(2);

} // namespace

void RelayDriver::on(const gateway::SendRequest &Effect) {
  const auto Found = m_Exchanges.find(Effect.m_Request);
  if (Found == m_Exchanges.end())
    return;
  Exchange &From = Found->second;
  std::optional<std::string> LastEvent;
  if (Effect.m_Resume)
    LastEvent = From.m_Splicer.lastId();
  HeaderLines Lines =
      m_Dialect.headersToSend(From.m_Headers, Effect, LastEvent);
  if (Effect.m_Forwarding) {
    removeForwardingHeaders(Lines);
    addTerms(*Effect.m_Forwarding, Lines);
  }
  curl::TransferRequest Request;
  Request.m_Method = From.m_Request.m_Method;
  Request.m_Address = Effect.m_Address;
  Request.m_Path = From.m_Request.m_Target;
  Request.m_SharedBody = From.m_RequestBody;
  // libcurl adds these by itself unless they are emptied.
  bool HasAccept = false;
  bool HasType = false;
  for (const HeaderLine &Each : Lines) {
    HasAccept |= model::isSameHeader(Each.first, "Accept");
    HasType |= model::isSameHeader(Each.first, "Content-Type");
    // An empty value is written with a semicolon.
    Request.m_Headers.push_back(Each.second.empty()
                                    ? Each.first + ";"
                                    : Each.first + ": " + Each.second);
  }
  if (!HasAccept)
    Request.m_Headers.emplace_back("Accept:");
  if (!HasType)
    Request.m_Headers.emplace_back("Content-Type:");
  const auto KeepAlive = m_KeepAlive.find(Effect.m_Service);
  if (Effect.m_Forwarding)
    Request.m_MaxIdleAge = NodeKeepAlive;
  else
    Request.m_MaxIdleAge =
        KeepAlive == m_KeepAlive.end() ? UnknownKeepAlive : KeepAlive->second;
  Request.m_TcpUserTimeout = PeerLostAfter;
  Request.m_ConnectTimeout =
      Effect.m_IsTrial ? TrialConnectTimeout : ConnectTimeout;
  // On a connection of its own, an answer needs no id to be told from others.
  const bool IsToldById =
      !From.m_CallerRequestId.empty() &&
      m_SentIds.add(Effect.m_Address, From.m_CallerRequestId);
  Request.m_FreshConnection = Effect.m_IsTrial || !IsToldById;
  Request.m_Timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
                          Effect.m_Remaining) +
                      TimeoutSlack;
  Request.m_MaySend = [this, Attempt = Effect.m_Attempt] {
    return mayStillSend(Attempt);
  };
  Send &Added = m_Sends[Effect.m_Attempt];
  Added.m_Request = Effect.m_Request;
  Added.m_CallerRequestId = From.m_CallerRequestId;
  Added.m_Service = Effect.m_Service;
  Added.m_IsStream = Effect.m_Stream;
  Added.m_IsContinuation = Effect.m_Resume || From.m_IsResumption;
  Added.m_EventsBefore = From.m_Splicer.eventCount();
  Added.m_Endpoint = {Effect.m_Endpoint, Effect.m_SoftwareVersion};
  Added.m_IsForwarded = Effect.m_Forwarding.has_value();
  const uint64_t Transfer = m_Curl.start(
      std::move(Request),
      std::make_shared<curl::AttemptListener>(
          static_cast<curl::AttemptEventHandler &>(*this), Effect.m_Attempt));
  // The transfer may have ended by now.
  const auto Started = m_Sends.find(Effect.m_Attempt);
  if (Started != m_Sends.end())
    Started->second.m_Transfer = Transfer;
}

void RelayDriver::on(const gateway::CancelSend &Effect) {
  const auto Found = m_Sends.find(Effect.m_Attempt);
  if (Found == m_Sends.end())
    return;
  const uint64_t Transfer = Found->second.m_Transfer;
  m_Sends.erase(Found);
  m_AnswerMemory.remove(Effect.m_Attempt);
  m_Curl.cancel(Transfer);
}

void RelayDriver::on(const gateway::WithdrawSend &Effect) {
  const auto Found = m_Sends.find(Effect.m_Attempt);
  if (Found == m_Sends.end())
    return;
  const uint64_t Transfer = Found->second.m_Transfer;
  if (m_Curl.hasArrived(Transfer))
    return;
  const bool HasBegun = m_Curl.hasBegun(Transfer);
  m_Sends.erase(Found);
  m_AnswerMemory.remove(Effect.m_Attempt);
  m_Curl.cancel(Transfer);
  decide([&](gateway::RelayCore &Core, model::TimePoint Now,
             gateway::RelayEffectList &Out) {
    Core.onSendWithdrawn(Effect.m_Attempt, HasBegun, Now, Out);
  });
}

bool RelayDriver::mayStillSend(model::AttemptId Attempt) {
  const auto Found = m_Sends.find(Attempt);
  if (Found == m_Sends.end())
    return false;
  const auto To = m_Exchanges.find(Found->second.m_Request);
  Found->second.m_IsWithdrawn =
      To == m_Exchanges.end() || To->second.m_Answer->hasCallerLeft();
  return !Found->second.m_IsWithdrawn;
}

} // namespace bronzepass::core::adapters::gateway
