#include "UnitTests/Soak/ThreadServer.h"

#include "Core/Model/LowerCase.h"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace bronzepass::unit_tests::soak {

namespace {

constexpr int ListenBacklog = 256;

ServerRequest parseRequest(const std::string &Text) {
  ServerRequest Request;
  const size_t HeadEnd = Text.find("\r\n\r\n");
  const size_t MethodEnd = Text.find(' ');
  const size_t TargetEnd = Text.find(' ', MethodEnd + 1);
  Request.m_Method = Text.substr(0, MethodEnd);
  Request.m_Target = Text.substr(MethodEnd + 1, TargetEnd - MethodEnd - 1);
  size_t Line = Text.find("\r\n") + 2;
  while (Line < HeadEnd + 2) {
    const size_t End = Text.find("\r\n", Line);
    const size_t Colon = Text.find(':', Line);
    if (Colon < End)
      Request
          .m_Headers[core::model::lowerCase(Text.substr(Line, Colon - Line))] =
          Text.substr(std::min(Colon + 2, End), End - std::min(Colon + 2, End));
    Line = End + 2;
  }
  Request.m_Body = Text.substr(HeadEnd + 4);
  return Request;
}

void resetOnClose(int Fd) {
  const linger Linger{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Linger, sizeof(Linger));
}

} // namespace

std::string ServerRequest::query(const std::string &Name) const {
  const std::string Key = Name + "=";
  size_t At = m_Target.find('?');
  while (At != std::string::npos) {
    const size_t End = m_Target.find('&', At + 1);
    const std::string Pair =
        m_Target.substr(At + 1, End == std::string::npos ? End : End - At - 1);
    if (Pair.rfind(Key, 0) == 0)
      return Pair.substr(Key.size());
    At = End;
  }
  return {};
}

bool ServerConnection::write(std::string_view Bytes) {
  while (!Bytes.empty() && m_Fd.valid()) {
    const ssize_t Sent =
        ::send(m_Fd.get(), Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0) {
      m_Fd.reset();
      return false;
    }
    Bytes.remove_prefix(static_cast<size_t>(Sent));
  }
  return m_Fd.valid();
}

bool ServerConnection::answer(int Status, const std::string &Body,
                              const std::string &ExtraHeaders) {
  return write("HTTP/1.1 " + std::to_string(Status) + " Status\r\n" +
               ExtraHeaders + "Content-Length: " + std::to_string(Body.size()) +
               "\r\n\r\n" + Body);
}

void ServerConnection::reset() {
  resetOnClose(m_Fd.get());
  m_Fd.reset();
}

bool ServerConnection::hasPeerClosed() const {
  pollfd Poll{.fd = m_Fd.get(), .events = POLLRDHUP, .revents = 0};
  return !m_Fd.valid() ||
         (::poll(&Poll, 1, 0) > 0 &&
          (Poll.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0);
}

ThreadServer::ThreadServer(Handler OnRequest, OpenHandler OnOpen)
    : m_OnRequest(std::move(OnRequest)), m_OnOpen(std::move(OnOpen)) {
  listen();
  m_Acceptor = std::thread([this] { acceptAll(); });
}

ThreadServer::~ThreadServer() {
  {
    const std::scoped_lock Lock(m_Mutex);
    m_Stopping = true;
  }
  m_Acceptor.join();
  crash();
  std::unique_lock Lock(m_Mutex);
  m_AllEnded.wait(Lock, [this] { return m_Connections.empty(); });
}

bool ThreadServer::listen() {
  core::adapters::net::FileDescriptor Listener(
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const int On = 1;
  ::setsockopt(Listener.get(), SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(m_Port);
  socklen_t Size = sizeof(Address);
  if (::bind(Listener.get(), reinterpret_cast<sockaddr *>(&Address), Size) !=
          0 ||
      ::listen(Listener.get(), ListenBacklog) != 0)
    return false;
  ::getsockname(Listener.get(), reinterpret_cast<sockaddr *>(&Address), &Size);
  m_Port = ntohs(Address.sin_port);
  m_Listener = std::move(Listener);
  return true;
}

void ThreadServer::crash() {
  const std::scoped_lock Lock(m_Mutex);
  m_Listener = core::adapters::net::FileDescriptor();
  for (const int Fd : m_Connections) {
    sockaddr Unspecified{};
    Unspecified.sa_family = AF_UNSPEC;
    // Resets the connection although its thread still has the descriptor.
    static_cast<void>(::connect(Fd, &Unspecified, sizeof(Unspecified)));
  }
}

void ThreadServer::open() {
  const std::scoped_lock Lock(m_Mutex);
  if (!m_Listener.valid())
    listen();
}

void ThreadServer::acceptAll() {
  for (;;) {
    int Accepted = -1;
    {
      const std::scoped_lock Lock(m_Mutex);
      if (m_Stopping)
        return;
      if (m_Listener.valid())
        Accepted = ::accept4(m_Listener.get(), nullptr, nullptr, SOCK_CLOEXEC);
      if (Accepted >= 0)
        m_Connections.insert(Accepted);
    }
    if (Accepted < 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
      continue;
    }
    std::thread([this, Accepted] { serve(Accepted); }).detach();
  }
}

size_t ThreadServer::receiveRequest(int Fd, std::string &Bytes) {
  std::array<char, 8192> Buffer; // NOLINT: filled by recv().
  for (;;) {
    const size_t HeadEnd = Bytes.find("\r\n\r\n");
    if (HeadEnd != std::string::npos) {
      const std::string Length = parseRequest(Bytes).header("content-length");
      const size_t Whole =
          HeadEnd + 4 + (Length.empty() ? 0 : std::stoul(Length));
      if (Bytes.size() >= Whole)
        return Whole;
    }
    const ssize_t Count = ::recv(Fd, Buffer.data(), Buffer.size(), 0);
    if (Count <= 0)
      return 0;
    Bytes.append(Buffer.data(), static_cast<size_t>(Count));
  }
}

void ThreadServer::serve(int Fd) {
  const int On = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  {
    // A duplicate, so that crash() can use the number until it is erased.
    ServerConnection Connection(::fcntl(Fd, F_DUPFD_CLOEXEC, 0));
    if (m_OnOpen)
      m_OnOpen(Connection);
    std::string Bytes;
    while (Connection.isOpen()) {
      const size_t Length = receiveRequest(Connection.m_Fd.get(), Bytes);
      if (Length == 0)
        break;
      const ServerRequest Request = parseRequest(Bytes.substr(0, Length));
      Bytes.erase(0, Length);
      m_OnRequest(Connection, Request);
    }
  }
  const std::scoped_lock Lock(m_Mutex);
  m_Connections.erase(Fd);
  ::close(Fd);
  m_AllEnded.notify_all();
}

} // namespace bronzepass::unit_tests::soak
