#include "Core/Adapters/Front/FrontConnection.h"

#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <utility>

namespace bronzepass::core::adapters::front {

namespace {

constexpr int RequestTimeout = 408;
constexpr size_t ReadBufferBytes = 16 << 10;
constexpr std::string_view ContinueHead = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

FrontConnection::FrontConnection(FrontServer &Server, net::FileDescriptor Fd)
    : m_Server(&Server), m_Loop(Server.m_Loop), m_Fd(std::move(Fd)),
      m_Writer(std::make_shared<pistache::HttpConnection>(
          m_Loop, m_Fd.get(),
          pistache::ConnectionLimits{
              .m_BufferBytes = Server.m_Limits.m_MaxUnsentBytes,
              .m_KeepAlive = Server.m_Limits.m_IdleTimeout})),
      m_Parser(Server.m_Limits.m_Parser) {}

bool FrontConnection::start() {
  if (!m_Writer->hasDescriptor())
    return false;
  const std::weak_ptr<FrontConnection> Weak = weak_from_this();
  m_Writer->setOnIdle([Weak] {
    if (const std::shared_ptr<FrontConnection> Self = Weak.lock())
      Self->onAnswerSent();
  });
  m_Writer->expectInput(m_Server->m_Limits.m_IdleTimeout, nullptr);
  return m_Loop.watch(m_Fd.get(), EPOLLIN, [Weak](uint32_t Events) {
    if (const std::shared_ptr<FrontConnection> Self = Weak.lock())
      Self->onReadable(Events);
  });
}

bool FrontConnection::isIdle() const {
  if (m_Answering || m_Parser.state() != ParserState::Idle)
    return false;
  char Byte = 0;
  return ::recv(m_Fd.get(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

void FrontConnection::close() {
  const std::shared_ptr<FrontConnection> Self = shared_from_this();
  if (!m_Fd.valid())
    return;
  m_Loop.unwatch(m_Fd.get());
  m_Writer->abort();
  m_Fd.reset();
  if (m_Server)
    m_Server->removeConnection(Self);
}

void FrontConnection::detach() {
  m_Server = nullptr;
  close();
}

void FrontConnection::onReadable(uint32_t Events) {
  if (m_Answering) {
    // While an answer is being sent, only hang-ups and errors are reported
    // here; the writer has seen them already.
    if ((Events & (EPOLLHUP | EPOLLERR)) != 0)
      close();
    return;
  }
  std::array<char, ReadBufferBytes> Bytes; // NOLINT: filled by recv().
  const ssize_t Count = ::recv(m_Fd.get(), Bytes.data(), Bytes.size(), 0);
  if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return;
  if (Count <= 0) {
    close();
    return;
  }
  if (!m_Writer->isDiscarding())
    parseInput({Bytes.data(), static_cast<size_t>(Count)});
}

void FrontConnection::parseInput(std::string_view Bytes) {
  switch (m_Parser.feed(Bytes)) {
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
  m_AwaitedState = State;
  const FrontLimits &Limits = m_Server->m_Limits;
  const std::weak_ptr<FrontConnection> Weak = weak_from_this();
  m_Writer->expectInput(
      State == ParserState::Headers ? Limits.m_HeaderTimeout
                                    : Limits.m_BodyTimeout,
      [Weak] {
        const std::shared_ptr<FrontConnection> Self = Weak.lock();
        if (!Self)
          return;
        Self->m_Writer->setDiscarding();
        pistache::HttpResponseWriter(Self->m_Writer, true, false, false)
            .send({.m_Status = RequestTimeout, .m_Close = true});
      });
}

void FrontConnection::dispatchRequest() {
  // Fails if the connection's timeout has just expired.
  if (!m_Writer->tryMarkBusy())
    return;
  m_Answering = true;
  m_AwaitedState = ParserState::Idle;
  m_Loop.setWatchedEvents(m_Fd.get(), 0);
  FrontRequest Request = m_Parser.take();
  std::shared_ptr<pistache::HttpResponseWriter> Answer =
      std::make_shared<pistache::HttpResponseWriter>(
          m_Writer, Request.m_Http11, Request.m_KeepAlive,
          Request.m_Method == "HEAD");
  m_Server->m_Handler.onRequest(std::move(Request), std::move(Answer));
}

void FrontConnection::rejectRequest() {
  if (!m_Writer->tryMarkBusy())
    return;
  m_Writer->setDiscarding();
  pistache::HttpResponseWriter(m_Writer, true, false, false)
      .send({.m_Status = m_Parser.error().m_Status,
             .m_Body = m_Parser.error().m_Reason + "\n",
             .m_ContentType = "text/plain",
             .m_Close = true});
}

void FrontConnection::onAnswerSent() {
  m_Answering = false;
  if (!m_Fd.valid() || !m_Server)
    return;
  m_Loop.setWatchedEvents(m_Fd.get(), EPOLLIN);
  if (m_Writer->isDiscarding())
    return;
  m_Parser.setLimits(m_Server->m_Limits.m_Parser);
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
