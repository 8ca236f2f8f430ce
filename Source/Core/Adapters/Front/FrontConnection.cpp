#include "Core/Adapters/Front/FrontConnection.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <utility>

namespace bronzepass::core::adapters::front {

namespace {

constexpr int RequestTimeout = 408;
constexpr int ServiceUnavailable = 503;
/// Read behind a refusal, so that a caller that is still sending sees it.
constexpr size_t MaxDiscardedBytes = 256 << 10;
/// Time for which requests that stopped moving keep memory and places.
constexpr model::Duration RetryAfterShortage = std::chrono::seconds(1);
constexpr size_t ReadBufferBytes = 16 << 10;
constexpr std::string_view ContinueHead = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

FrontConnection::FrontConnection(FrontServer &Server, net::FileDescriptor Fd,
                                 uint32_t Address)
    : m_Server(&Server), m_Loop(Server.m_Loop), m_Fd(std::move(Fd)),
      m_Writer(std::make_shared<pistache::HttpConnection>(
          m_Loop, m_Fd.get(),
          pistache::ConnectionLimits{
              .m_BufferBytes = Server.m_Limits.m_MaxUnsentBytes,
              .m_KeepAlive = Server.m_Limits.m_IdleTimeout})),
      m_Parser(Server.m_Limits.m_Parser), m_Address(Address),
      m_MovedAt(FrontServer::now()), m_IdleSince(m_MovedAt) {}

bool FrontConnection::start() {
  if (!m_Writer->hasDescriptor())
    return false;
  const std::weak_ptr<FrontConnection> Weak = weak_from_this();
  m_Writer->setOnIdle([Weak] {
    if (const std::shared_ptr<FrontConnection> Self = Weak.lock())
      Self->onAnswerSent();
  });
  m_Writer->setOnPending([Weak](size_t Bytes) {
    const std::shared_ptr<FrontConnection> Self = Weak.lock();
    return !Self || !Self->m_Server || !Self->m_Server->m_Memory ||
           Self->m_Server->m_Memory->holdAnswer(*Self, Bytes);
  });
  m_Writer->setOnKeepAliveEnd([Weak] {
    if (const std::shared_ptr<FrontConnection> Self = Weak.lock())
      Self->onIdleLimit();
  });
  awaitNextRequest(m_Server->m_Limits.m_IdleTimeout);
  return m_Loop.watch(m_Fd.get(), EPOLLIN, [Weak](uint32_t Events) {
    if (const std::shared_ptr<FrontConnection> Self = Weak.lock())
      Self->onReadable(Events);
  });
}

bool FrontConnection::isIdle() const {
  return !m_Answering && !m_Writer->hasUnsentBytes() &&
         m_Parser.state() == ParserState::Idle && !hasUnreadInput();
}

bool FrontConnection::hasUnreadInput() const {
  char Byte = 0;
  return ::recv(m_Fd.get(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void FrontConnection::close(pistache::ConnectionEnd End) {
  const std::shared_ptr<FrontConnection> Self = shared_from_this();
  if (!m_Fd.valid())
    return;
  m_Loop.unwatch(m_Fd.get());
  m_Writer->abort(End);
  m_Fd.reset();
  if (!m_Server)
    return;
  if (m_Server->m_Memory)
    m_Server->m_Memory->remove(*this);
  m_Server->removeConnection(Self);
}

void FrontConnection::detach() {
  if (m_Server->m_Memory)
    m_Server->m_Memory->remove(*this);
  m_Server = nullptr;
  close();
}

resources::CallerPlace FrontConnection::place() const {
  using resources::PlaceState;
  PlaceState State = PlaceState::Idle;
  if (m_Answering || m_Writer->hasUnsentBytes())
    State = PlaceState::Answering;
  else if (m_Parser.state() != ParserState::Idle || m_Writer->isDiscarding())
    State = PlaceState::Reading;
  return {m_Address, State, m_MovedAt};
}

bool FrontConnection::giveUpPlace() {
  if (m_Parser.state() == ParserState::Idle && !m_Writer->isDiscarding() &&
      !isIdle())
    return false;
  if (m_Parser.state() != ParserState::Idle && !m_Writer->isDiscarding())
    refuse(ServiceUnavailable, "no place for this connection",
           RetryAfterShortage);
  close();
  return true;
}

void FrontConnection::onRoom() {
  if (m_Fd.valid())
    m_Loop.setWatchedEvents(m_Fd.get(), EPOLLIN);
}

void FrontConnection::onRequestLost() {
  m_IsCharged = false;
  refuse(ServiceUnavailable, "memory is short", RetryAfterShortage);
}

void FrontConnection::onAnswerLost() {
  m_Writer->abort(pistache::ConnectionEnd::MemoryShort);
}

bool FrontConnection::mayRead() {
  resources::CallerMemory *const Memory = m_Server->m_Memory;
  if (!Memory)
    return true;
  const model::TimePoint Now = FrontServer::now();
  if (!m_IsCharged)
    Memory->begin(*this, Now);
  m_IsCharged = true;
  if (Memory->hold(*this, m_Parser.bytesHeldAfter(ReadBufferBytes), Now))
    return true;
  // Unless the request was lost just now, it waits.
  if (m_IsCharged && m_Fd.valid())
    m_Loop.setWatchedEvents(m_Fd.get(), 0);
  return false;
}

void FrontConnection::settleMemory() {
  const ParserState State = m_Parser.state();
  m_MovedAt = FrontServer::now();
  if (!m_Server->m_Memory)
    return;
  if (State == ParserState::Idle || State == ParserState::Failed) {
    releaseMemory();
    return;
  }
  resources::CallerMemory &Memory = *m_Server->m_Memory;
  if (!m_IsCharged)
    Memory.begin(*this, m_MovedAt);
  m_IsCharged = true;
  Memory.settle(*this, m_Parser.bytesHeldAfter(0));
  Memory.onReceived(*this, m_Parser.receivedBytes(), m_MovedAt);
  if (State == ParserState::Complete)
    m_HeldRequest = Memory.setComplete(*this);
}

void FrontConnection::releaseMemory() {
  if (m_IsCharged && m_Server && m_Server->m_Memory)
    m_Server->m_Memory->end(*this);
  m_IsCharged = false;
}

void FrontConnection::discardInput() {
  std::array<char, ReadBufferBytes> Bytes; // NOLINT: filled by recv().
  const ssize_t Count = ::recv(m_Fd.get(), Bytes.data(), Bytes.size(), 0);
  if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return;
  if (Count <= 0) {
    close(pistache::ConnectionEnd::ByCaller);
    return;
  }
  m_DiscardedBytes += static_cast<size_t>(Count);
  // What else the caller sends stays with it until the writer's timer ends the
  // connection.
  if (m_DiscardedBytes > MaxDiscardedBytes)
    m_Loop.setWatchedEvents(m_Fd.get(), 0);
}

void FrontConnection::onReadable(uint32_t Events) {
  if (m_Answering) {
    // While an answer is being sent, only hang-ups and errors are reported
    // here; the writer has seen them already.
    if ((Events & (EPOLLHUP | EPOLLERR)) != 0)
      close(pistache::ConnectionEnd::ByCaller);
    return;
  }
  if ((Events & EPOLLIN) == 0 && (Events & (EPOLLHUP | EPOLLERR)) != 0) {
    close(pistache::ConnectionEnd::ByCaller);
    return;
  }
  if (m_Writer->isDiscarding()) {
    discardInput();
    return;
  }
  if (!mayRead())
    return;
  std::array<char, ReadBufferBytes> Bytes; // NOLINT: filled by recv().
  const ssize_t Count = ::recv(m_Fd.get(), Bytes.data(), Bytes.size(), 0);
  if (Count < 0 &&
      (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
    settleMemory();
    return;
  }
  if (Count <= 0) {
    close(pistache::ConnectionEnd::ByCaller);
    return;
  }
  parseInput({Bytes.data(), static_cast<size_t>(Count)});
}

void FrontConnection::parseInput(std::string_view Bytes) {
  // They may have changed while the connection rested.
  if (m_Parser.state() == ParserState::Idle)
    m_Parser.setLimits(m_Server->m_Limits.m_Parser);
  const ParserState State = m_Parser.feed(Bytes);
  settleMemory();
  switch (State) {
  case ParserState::Idle:
    return;
  case ParserState::Headers:
  case ParserState::Body:
    awaitMoreInput();
    return;
  case ParserState::Complete:
    dispatchRequest();
    return;
  case ParserState::Failed:
    rejectRequest();
    return;
  }
}

void FrontConnection::awaitMoreInput() {
  const ParserState State = m_Parser.state();
  if (State == ParserState::Body && m_Parser.expectsContinue() &&
      m_AwaitedState != ParserState::Body)
    m_Writer->write(ContinueHead);
  // The header timeout starts once per request; the body timeout restarts with
  // each received piece.
  if (m_AwaitedState == State && State == ParserState::Headers)
    return;
  const FrontLimits &Limits = m_Server->m_Limits;
  const std::chrono::steady_clock::time_point Now =
      std::chrono::steady_clock::now();
  if (m_AwaitedState != State)
    m_BodyDeadline = Now + Limits.m_WholeBodyTimeout;
  m_AwaitedState = State;
  const std::chrono::milliseconds BodyTime = std::min(
      Limits.m_BodyTimeout,
      std::chrono::ceil<std::chrono::milliseconds>(m_BodyDeadline - Now));
  const std::weak_ptr<FrontConnection> Weak = weak_from_this();
  m_Writer->expectInput(
      State == ParserState::Headers ? Limits.m_HeaderTimeout : BodyTime,
      [Weak] {
        if (const std::shared_ptr<FrontConnection> Self = Weak.lock())
          Self->onInputLimit();
      });
}

void FrontConnection::awaitNextRequest(std::chrono::milliseconds Limit) {
  const std::weak_ptr<FrontConnection> Weak = weak_from_this();
  m_Writer->expectInput(Limit, [Weak] {
    if (const std::shared_ptr<FrontConnection> Self = Weak.lock())
      Self->onIdleLimit();
  });
}

void FrontConnection::onIdleLimit() {
  // The writer's timer has marked the connection busy.
  m_Writer->clearBusy();
  if (!m_Fd.valid() || !m_Server)
    return;
  // The limit may have been raised meanwhile.
  const std::chrono::milliseconds Left =
      m_Server->m_Limits.m_IdleTimeout -
      std::chrono::floor<std::chrono::milliseconds>(FrontServer::now() -
                                                    m_IdleSince);
  if (Left.count() > 0) {
    awaitNextRequest(Left);
    return;
  }
  // The loop may have been busy while a request arrived.
  if (hasUnreadInput())
    onReadable(EPOLLIN);
  const bool HasBegun = m_Answering || m_Parser.state() != ParserState::Idle ||
                        m_Writer->isDiscarding();
  if (m_Fd.valid() && !HasBegun && !m_IsCharged)
    close();
}

void FrontConnection::onInputLimit() {
  m_Writer->clearBusy();
  if (!m_Fd.valid())
    return;
  const ParserState Awaited = m_Parser.state();
  const bool HasMore = hasUnreadInput();
  if (HasMore)
    onReadable(EPOLLIN);
  if (!m_Fd.valid() || m_Answering || m_Writer->isDiscarding() ||
      m_Parser.state() != Awaited)
    return;
  // Each piece of a body extends its limit, up to that of the whole body.
  if (Awaited == ParserState::Body && HasMore &&
      std::chrono::steady_clock::now() < m_BodyDeadline)
    return;
  refuse(RequestTimeout, "the request did not come in time", std::nullopt);
}

void FrontConnection::dispatchRequest() {
  FrontRequest Request = m_Parser.take();
  Request.m_Memory = std::move(m_HeldRequest);
  // Fails if the connection's timeout has just expired.
  if (!m_Writer->tryMarkBusy()) {
    m_Server->m_Handler.onRequestDropped(Request, m_Writer->end());
    return;
  }
  m_Answering = true;
  m_AwaitedState = ParserState::Idle;
  m_Loop.setWatchedEvents(m_Fd.get(), 0);
  std::shared_ptr<pistache::HttpResponseWriter> Answer =
      std::make_shared<pistache::HttpResponseWriter>(
          m_Writer, Request.m_Http11, Request.m_KeepAlive,
          Request.m_Method == "HEAD");
  m_Server->m_Handler.onRequest(std::move(Request), std::move(Answer));
}

void FrontConnection::rejectRequest() {
  const ParseError Error = m_Parser.error();
  refuse(Error.m_Status, Error.m_Reason, std::nullopt);
}

void FrontConnection::refuse(int Status, const std::string &Reason,
                             std::optional<model::Duration> RetryAfter) {
  if (!m_Writer->tryMarkBusy())
    return;
  const std::vector<pistache::HttpHeader> Headers =
      m_Server->m_Handler.refusalHeaders(m_Parser.receivedHeaders(),
                                         RetryAfter);
  m_Parser.drop();
  releaseMemory();
  m_MovedAt = FrontServer::now();
  m_Writer->setDiscarding();
  pistache::HttpResponseWriter(m_Writer, true, false, false)
      .send({.m_Status = Status,
             .m_Body = Reason + "\n",
             .m_ContentType = "text/plain",
             .m_Headers = Headers,
             .m_Close = true});
}

void FrontConnection::onAnswerSent() {
  m_Answering = false;
  if (!m_Fd.valid() || !m_Server)
    return;
  releaseMemory();
  m_MovedAt = FrontServer::now();
  m_IdleSince = m_MovedAt;
  m_Loop.setWatchedEvents(m_Fd.get(), EPOLLIN);
  if (m_Writer->isDiscarding())
    return;
  m_Writer->setKeepAlive(m_Server->m_Limits.m_IdleTimeout);
  // The next request may already be buffered completely. Posted, so that it is
  // not parsed inside the call that ended the answer.
  const std::weak_ptr<FrontConnection> Weak = weak_from_this();
  m_Loop.post([Weak] {
    const std::shared_ptr<FrontConnection> Self = Weak.lock();
    if (Self && Self->m_Server && !Self->m_Answering)
      Self->parseInput({});
  });
}

} // namespace bronzepass::core::adapters::front
