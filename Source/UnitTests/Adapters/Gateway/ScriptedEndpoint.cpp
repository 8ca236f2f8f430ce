#include "UnitTests/Adapters/Gateway/ScriptedEndpoint.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace bronzepass::unit_tests::adapters::gateway {

namespace {

constexpr int PollMillis = 20;
/// The kernel accepts this many connections before the script is ready; beyond
/// it a connection attempt is repeated after a second.
constexpr int ListenBacklog = 1024;

bool readable(int Fd, int Millis) {
  pollfd Poll{.fd = Fd, .events = POLLIN, .revents = 0};
  return ::poll(&Poll, 1, Millis) > 0;
}

/// Returns the length of the first request in \p Bytes, or 0 if it is not
/// complete.
size_t requestLength(const std::string &Bytes) {
  const size_t HeadEnd = Bytes.find("\r\n\r\n");
  if (HeadEnd == std::string::npos)
    return 0;
  size_t Body = 0;
  const size_t Length = Bytes.find("Content-Length: ");
  if (Length < HeadEnd)
    Body = std::stoul(Bytes.substr(Length + 16));
  const size_t Whole = HeadEnd + 4 + Body;
  return Bytes.size() >= Whole ? Whole : 0;
}

} // namespace

bool ScriptConnection::write(const std::string &Bytes) {
  const ssize_t Sent =
      ::send(m_Fd.get(), Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  return Sent == static_cast<ssize_t>(Bytes.size());
}

void ScriptConnection::reset() {
  const linger ResetOnClose{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(m_Fd.get(), SOL_SOCKET, SO_LINGER, &ResetOnClose,
               sizeof(ResetOnClose));
  m_Fd.reset();
}

void ScriptConnection::close() { m_Fd.reset(); }

bool ScriptConnection::waitForClose(int Millis) {
  std::array<char, 64> Bytes{};
  return readable(m_Fd.get(), Millis) &&
         ::recv(m_Fd.get(), Bytes.data(), Bytes.size(), 0) <= 0;
}

ScriptedEndpoint::ScriptedEndpoint(Script OnRequest)
    : m_OnRequest(std::move(OnRequest)),
      m_Listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Address);
  static_cast<void>(
      ::bind(m_Listener.get(), reinterpret_cast<sockaddr *>(&Address), Size));
  static_cast<void>(::listen(m_Listener.get(), ListenBacklog));
  ::getsockname(m_Listener.get(), reinterpret_cast<sockaddr *>(&Address),
                &Size);
  m_Port = ntohs(Address.sin_port);
  m_Acceptor = std::thread([this] { acceptAll(); });
}

ScriptedEndpoint::~ScriptedEndpoint() {
  m_Stopping = true;
  m_Acceptor.join();
  for (std::thread &Each : m_Servers)
    Each.join();
}

std::vector<std::string> ScriptedEndpoint::requests() const {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Requests;
}

void ScriptedEndpoint::acceptAll() {
  while (!m_Stopping) {
    if (!readable(m_Listener.get(), PollMillis))
      continue;
    const int Fd = ::accept4(m_Listener.get(), nullptr, nullptr, SOCK_CLOEXEC);
    if (Fd < 0)
      continue;
    ++m_Connections;
    m_Servers.emplace_back([this, Fd] { serve(Fd); });
  }
}

void ScriptedEndpoint::serve(int Fd) {
  ScriptConnection Connection(Fd);
  std::string Bytes;
  std::array<char, 4096> Buffer{};
  while (!m_Stopping && Connection.m_Fd.valid()) {
    const size_t Length = requestLength(Bytes);
    if (Length > 0) {
      const std::string Request = Bytes.substr(0, Length);
      Bytes.erase(0, Length);
      int Number = 0;
      {
        const std::lock_guard<std::mutex> Lock(m_Mutex);
        m_Requests.push_back(Request);
        Number = static_cast<int>(m_Requests.size());
      }
      m_OnRequest(Connection, Request, Number);
      continue;
    }
    if (!readable(Fd, PollMillis))
      continue;
    const ssize_t Count = ::recv(Fd, Buffer.data(), Buffer.size(), 0);
    if (Count <= 0)
      return;
    Bytes.append(Buffer.data(), static_cast<size_t>(Count));
  }
}

} // namespace bronzepass::unit_tests::adapters::gateway
