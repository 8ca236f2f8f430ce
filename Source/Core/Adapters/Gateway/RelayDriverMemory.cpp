#include "Core/Adapters/Gateway/RelayDriver.h"

#include <variant>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;

namespace {

constexpr int BadGateway = 502;

/// Is set for as long as a scope runs.
class ScopedFlag {
public:
  explicit ScopedFlag(bool &Flag) : m_Flag(Flag) { m_Flag = true; }
  ~ScopedFlag() { m_Flag = false; }
  ScopedFlag(const ScopedFlag &) = delete;
  ScopedFlag &operator=(const ScopedFlag &) = delete;

private:
  bool &m_Flag;
};

} // namespace

void RelayDriver::onHeadBytes(model::AttemptId Attempt, uint64_t Bytes) {
  const auto Found = m_Sends.find(Attempt);
  if (Found == m_Sends.end())
    return;
  Found->second.m_HeadBytes = Bytes;
  countHeld(Attempt);
}

void RelayDriver::countHeld(model::AttemptId Attempt) {
  const Send &From = m_Sends.at(Attempt);
  uint64_t Bytes = From.m_HeadBytes + From.m_Body.capacity();
  const auto To = m_Exchanges.find(From.m_Request);
  if (From.isSplicedStream() && To != m_Exchanges.end())
    Bytes += To->second.m_Splicer.heldBytes();
  m_AnswerMemory.hold(Attempt, From.m_Endpoint.m_Endpoint.str(), Bytes);
  makeRoomForAnswers();
}

void RelayDriver::countKept(model::RequestId Request,
                            const AnsweringEndpoint &From, uint64_t HeadBytes) {
  const auto Found = m_Exchanges.find(Request);
  if (Found == m_Exchanges.end())
    return;
  m_AnswerMemory.hold(Request, From.m_Endpoint.str(),
                      HeadBytes + Found->second.m_Body.capacity());
  makeRoomForAnswers();
}

void RelayDriver::makeRoomForAnswers() {
  // An answer that is given up may let another request be sent or answered.
  if (m_IsMakingRoom)
    return;
  const ScopedFlag MakingRoom(m_IsMakingRoom);
  while (const std::optional<resources::HeldAnswer> Excess =
             m_AnswerMemory.excess()) {
    if (const auto *const Attempt = std::get_if<model::AttemptId>(&*Excess))
      reduce(*Attempt);
    else
      replaceKept(std::get<model::RequestId>(*Excess));
  }
}

void RelayDriver::reduce(model::AttemptId Attempt) {
  Send &From = m_Sends.at(Attempt);
  const auto To = m_Exchanges.find(From.m_Request);
  const bool IsCollected = From.m_Head && !From.m_Forwarding &&
                           gateway::isSuccess(From.m_Status) &&
                           !From.m_Body.empty();
  if (IsCollected && To != m_Exchanges.end()) {
    passOnCollected(From, To->second);
    m_AnswerMemory.hold(Attempt, From.m_Endpoint.m_Endpoint.str(),
                        From.m_HeadBytes);
    return;
  }
  m_AnswerMemory.countLost();
  m_Curl.cancel(From.m_Transfer);
  curl::TransferResult Result;
  // It is being answered, so that it was sent.
  Result.m_BytesSent = 1;
  Result.m_Error =
      "memory for endpoints' answers is short, and this endpoint's "
      "hold the most";
  onDone(Attempt, Result);
}

void RelayDriver::replaceKept(model::RequestId Request) {
  m_AnswerMemory.countLost();
  m_AnswerMemory.remove(Request);
  Exchange &To = m_Exchanges.at(Request);
  To.m_Status = BadGateway;
  To.m_AnswerHeaders =
      m_Dialect.refusalHeaders(To.m_CallerRequestId, std::nullopt);
  To.m_HeadLength.reset();
  std::string().swap(To.m_Body);
}

} // namespace bronzepass::core::adapters::gateway
