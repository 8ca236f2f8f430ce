#include "Core/Adapters/Front/FrontConnection.h"

#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <utility>

namespace bronzepass::core::adapters::front {

namespace {

constexpr int RequestTimeout = 408;
constexpr size_t ReadBytes = 16 << 10;
constexpr std::string_view ContinueHead = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

FrontConnection::FrontConnection(FrontServer &Server, net::FileDescriptor Fd)
    : m_Server(&Server), m_Loop(Server.m_Loop), m_Fd(std::move(Fd)),
      m_Writer(std::make_shared<pistache::HttpConnection>(
          m_Loop, m_Fd.get(),
          pistache::ConnectionLimits{
              .m_BufferBytes = Server.m_Limits.m_AnswerBytes,
              .m_KeepAlive = Server.m_Limits.m_IdleTimeout})),
      m_Reading(Server.m_Limits.m_Reading) {}

bool FrontConnection::start() {
  if (!m_Writer->hasDescriptor())
    return false;
  const std::weak_ptr<FrontConnection> Weak = weak_from_this();
  m_Writer->setOnIdle([Weak] {
    if (const std::shared_ptr<FrontConnection> Self = Weak.lock())
      Self->goOn();
  });
  m_Writer->expectInput(m_Server->m_Limits.m_IdleTimeout, nullptr);
  m_Loop.watch(m_Fd.get(), EPOLLIN, [Weak](uint32_t Events) {
    if (const std::shared_ptr<FrontConnection> Self = Weak.lock())
      Self->onReadable(Events);
  });
  return true;
}

bool FrontConnection::isIdle() const {
  return !m_Answering && m_Reading.phase() == ReadingPhase::Nothing;
}

void FrontConnection::close() {
  const std::shared_ptr<FrontConnection> Self = shared_from_this();
  if (!m_Fd.valid())
    return;
  m_Loop.unwatch(m_Fd.get());
  m_Writer->abort();
  m_Fd.reset();
  if (m_Server)
    m_Server->forget(Self);
}

void FrontConnection::detach() {
  m_Server = nullptr;
  close();
}

void FrontConnection::onReadable(uint32_t Events) {
  if (m_Answering) {
    // Only an end is told while an answer is under way; the writer has seen it.
    if ((Events & (EPOLLHUP | EPOLLERR)) != 0)
      close();
    return;
  }
  std::array<char, ReadBytes> Bytes; // NOLINT: filled by recv().
  const ssize_t Count = ::recv(m_Fd.get(), Bytes.data(), Bytes.size(), 0);
  if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return;
  if (Count <= 0) {
    close();
    return;
  }
  if (!m_Writer->isDiscarding())
    readOn({Bytes.data(), static_cast<size_t>(Count)});
}

void FrontConnection::readOn(std::string_view Bytes) {
  switch (m_Reading.feed(Bytes)) {
  case ReadingPhase::Nothing:
    return;
  case ReadingPhase::Headers:
  case ReadingPhase::Body:
    awaitRest();
    return;
  case ReadingPhase::Complete:
    handOver();
    return;
  case ReadingPhase::Faulty:
    refuse();
    return;
  }
}

void FrontConnection::awaitRest() {
  const ReadingPhase Phase = m_Reading.phase();
  if (Phase == ReadingPhase::Body && m_Reading.wantsContinue() &&
      m_Awaited != ReadingPhase::Body)
    m_Writer->write(ContinueHead);
  // The headers get their time once, a body each time that some of it comes.
  if (m_Awaited == Phase && Phase == ReadingPhase::Headers)
    return;
  m_Awaited = Phase;
  const FrontLimits &Limits = m_Server->m_Limits;
  const std::weak_ptr<FrontConnection> Weak = weak_from_this();
  m_Writer->expectInput(
      Phase == ReadingPhase::Headers ? Limits.m_HeaderTimeout
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

void FrontConnection::handOver() {
  // Not so where its time has just run out.
  if (!m_Writer->tryMarkBusy())
    return;
  m_Answering = true;
  m_Awaited = ReadingPhase::Nothing;
  m_Loop.rewatch(m_Fd.get(), 0);
  FrontRequest Request = m_Reading.take();
  std::shared_ptr<pistache::HttpResponseWriter> Answer =
      std::make_shared<pistache::HttpResponseWriter>(
          m_Writer, Request.m_Http11, Request.m_KeepAlive,
          Request.m_Method == "HEAD");
  m_Server->m_Handler.onRequest(std::move(Request), std::move(Answer));
}

void FrontConnection::refuse() {
  if (!m_Writer->tryMarkBusy())
    return;
  m_Writer->setDiscarding();
  pistache::HttpResponseWriter(m_Writer, true, false, false)
      .send({.m_Status = m_Reading.fault().m_Status,
             .m_Body = m_Reading.fault().m_Reason + "\n",
             .m_ContentType = "text/plain",
             .m_Close = true});
}

void FrontConnection::goOn() {
  m_Answering = false;
  if (!m_Fd.valid() || !m_Server)
    return;
  m_Loop.rewatch(m_Fd.get(), EPOLLIN);
  if (m_Writer->isDiscarding())
    return;
  m_Reading.setLimits(m_Server->m_Limits.m_Reading);
  m_Writer->setKeepAlive(m_Server->m_Limits.m_IdleTimeout);
  // A request may have come whole behind the last one. Not from inside the
  // call that ended the answer.
  const std::weak_ptr<FrontConnection> Weak = weak_from_this();
  m_Loop.post([Weak] {
    const std::shared_ptr<FrontConnection> Self = Weak.lock();
    if (Self && Self->m_Server && !Self->m_Answering)
      Self->readOn({});
  });
}

} // namespace bronzepass::core::adapters::front
