#include "Core/Adapters/Pistache/HttpConnection.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>

namespace bronzepass::core::adapters::pistache {

namespace {

/// How long a caller may take to close its side after the last response.
constexpr std::chrono::milliseconds LingerTime = std::chrono::seconds(2);

} // namespace

const char *toString(ConnectionEnd Value) {
  switch (Value) {
  case ConnectionEnd::ByCaller:
    return "the caller disconnected";
  case ConnectionEnd::UnreadAnswer:
    return "the caller reads its answer too slowly";
  case ConnectionEnd::MemoryShort:
    return "memory for unread answers is short";
  case ConnectionEnd::Aborted:
    return "this node closed the connection";
  case ConnectionEnd::TimedOut:
    return "the connection's time is up";
  }
  return "";
}

HttpConnection::HttpConnection(net::EventLoop &Loop, int PeerFd,
                               ConnectionLimits Limits)
    : m_Loop(Loop), m_Fd(::fcntl(PeerFd, F_DUPFD_CLOEXEC, 0)),
      m_Limits(Limits) {
  const int On = 1;
  ::setsockopt(m_Fd.get(), IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

HttpConnection::~HttpConnection() = default;

void HttpConnection::expectInput(std::chrono::milliseconds Limit,
                                 std::function<void()> OnTimeout) {
  open();
  if (m_Open)
    startTimer(Limit, std::move(OnTimeout));
}

void HttpConnection::startAnswer(std::function<void()> OnDisconnect) {
  open();
  stopTimer();
  if (!m_Open) {
    if (OnDisconnect)
      OnDisconnect();
    return;
  }
  m_OnDisconnect = std::move(OnDisconnect);
}

void HttpConnection::open() {
  if (m_WasOpened || !m_Fd.valid())
    return;
  m_WasOpened = true;
  m_Open = true;
  const std::shared_ptr<HttpConnection> Self = shared_from_this();
  m_Loop.watch(m_Fd.get(), EPOLLRDHUP,
               [Self](uint32_t Events) { Self->onEvents(Events); });
}

void HttpConnection::close(ConnectionEnd End) {
  if (!m_Open)
    return;
  m_Open = false;
  m_End = End;
  m_LostBytes = m_Pending.size();
  stopTimer();
  m_Pending.clear();
  m_Loop.unwatch(m_Fd.get());
  // The server owns the original descriptor: it sees the end of the connection
  // and closes it.
  if (m_ResetOnClose)
    reset();
  else
    ::shutdown(m_Fd.get(), SHUT_RDWR);
  m_Fd.reset();
  const std::function<void()> OnDisconnect = std::move(m_OnDisconnect);
  m_OnDisconnect = nullptr;
  if (OnDisconnect)
    OnDisconnect();
  notifySent();
}

void HttpConnection::onEvents(uint32_t Events) {
  if ((Events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
    close(ConnectionEnd::ByCaller);
    return;
  }
  if ((Events & EPOLLOUT) != 0)
    flush();
}

bool HttpConnection::write(std::string_view Bytes) {
  if (!m_Open)
    return false;
  if (m_Pending.empty()) {
    const ssize_t Sent = ::send(m_Fd.get(), Bytes.data(), Bytes.size(),
                                MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
      close(ConnectionEnd::ByCaller);
      return false;
    }
    Bytes.remove_prefix(Sent > 0 ? static_cast<size_t>(Sent) : 0);
    if (Bytes.empty())
      return true;
  }
  if (m_Pending.size() + Bytes.size() > m_Limits.m_BufferBytes) {
    close(ConnectionEnd::UnreadAnswer);
    return false;
  }
  m_Pending.append(Bytes);
  if (m_OnPending && !m_OnPending(m_Pending.size())) {
    close(ConnectionEnd::MemoryShort);
    return false;
  }
  updateWatch();
  return true;
}

void HttpConnection::flush() {
  const ssize_t Sent = ::send(m_Fd.get(), m_Pending.data(), m_Pending.size(),
                              MSG_NOSIGNAL | MSG_DONTWAIT);
  if (Sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
    close(ConnectionEnd::ByCaller);
    return;
  }
  m_Pending.erase(0, Sent > 0 ? static_cast<size_t>(Sent) : 0);
  // An assignment would keep the memory.
  if (m_Pending.empty())
    std::string().swap(m_Pending);
  if (m_OnPending)
    m_OnPending(m_Pending.size());
  updateWatch();
  if (!m_Pending.empty()) {
    if (m_TimesSending && Sent > 0)
      startSendingTimer();
    return;
  }
  if (m_CloseWhenSent || m_TimesSending)
    awaitNextRequest();
  notifySent();
}

void HttpConnection::whenSent(std::function<void()> OnSent) {
  if (!m_Open || m_Pending.empty())
    OnSent();
  else
    m_OnSent.push_back(std::move(OnSent));
}

void HttpConnection::notifySent() {
  const std::vector<std::function<void()>> OnSent = std::move(m_OnSent);
  m_OnSent.clear();
  for (const std::function<void()> &Each : OnSent)
    Each();
}

void HttpConnection::updateWatch() {
  const uint32_t Events =
      m_Pending.empty() ? EPOLLRDHUP : (EPOLLRDHUP | EPOLLOUT);
  m_Loop.setWatchedEvents(m_Fd.get(), Events);
}

void HttpConnection::endAnswer(bool Close) {
  m_OnDisconnect = nullptr;
  if (!m_Open)
    return;
  m_CloseWhenSent = Close;
  if (m_Pending.empty())
    awaitNextRequest();
  else
    startSendingTimer();
  if (m_OnIdle)
    m_OnIdle();
}

void HttpConnection::startSendingTimer() {
  startTimer(std::max(LingerTime, m_Limits.m_KeepAlive), nullptr);
  m_TimesSending = true;
}

void HttpConnection::awaitNextRequest() {
  if (!m_CloseWhenSent) {
    startTimer(m_Limits.m_KeepAlive, m_OnKeepAliveEnd);
    return;
  }
  startTimer(LingerTime, nullptr);
  shutdownWrites();
}

void HttpConnection::setResetOnClose() {
  m_ResetOnClose = true;
  setLingerReset(true);
}

void HttpConnection::setLingerReset(bool Enabled) {
  const linger Linger{.l_onoff = Enabled ? 1 : 0, .l_linger = 0};
  ::setsockopt(m_Fd.get(), SOL_SOCKET, SO_LINGER, &Linger, sizeof(Linger));
}

void HttpConnection::reset() {
  // Closing would not reset the connection while the server's descriptor is
  // open; dissolving the association does.
  sockaddr Unspecified{};
  Unspecified.sa_family = AF_UNSPEC;
  if (::connect(m_Fd.get(), &Unspecified, sizeof(Unspecified)) != 0)
    ::shutdown(m_Fd.get(), SHUT_RDWR);
}

void HttpConnection::shutdownWrites() {
  if (m_ResetOnClose)
    setLingerReset(false);
  m_ResetOnClose = false;
  // Closing with unread input would reset the connection, and the response
  // could be lost. Shut down only our side, and wait for the caller or the
  // timer.
  ::shutdown(m_Fd.get(), SHUT_WR);
}

void HttpConnection::abort(ConnectionEnd End) { close(End); }

bool HttpConnection::hasCallerLeft() const {
  if (!m_Open)
    return m_WasOpened;
  pollfd State{.fd = m_Fd.get(), .events = POLLRDHUP, .revents = 0};
  return ::poll(&State, 1, 0) > 0 &&
         (State.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void HttpConnection::startTimer(std::chrono::milliseconds Delay,
                                std::function<void()> OnTimeout) {
  stopTimer();
  m_TimerRuns = true;
  const std::weak_ptr<HttpConnection> Weak = weak_from_this();
  m_Timer = m_Loop.runAfter(Delay, [Weak, OnTimeout = std::move(OnTimeout)] {
    const std::shared_ptr<HttpConnection> Self = Weak.lock();
    if (!Self)
      return;
    Self->m_TimerRuns = false;
    Self->m_TimesSending = false;
    // A request that was received at the same time keeps the connection open.
    if (!Self->tryMarkBusy())
      return;
    if (OnTimeout)
      OnTimeout();
    else
      Self->close(ConnectionEnd::TimedOut);
  });
}

void HttpConnection::stopTimer() {
  m_TimesSending = false;
  if (m_TimerRuns)
    m_Loop.cancel(m_Timer);
  m_TimerRuns = false;
}

} // namespace bronzepass::core::adapters::pistache
