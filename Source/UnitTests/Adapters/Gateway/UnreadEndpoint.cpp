#include "UnitTests/Adapters/Gateway/UnreadEndpoint.h"

#include <array>
#include <cerrno>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace bronzepass::unit_tests::adapters::gateway {

namespace {

constexpr int WaitMillis = 10000;
constexpr int ReceiveBytes = 4096;

bool isReadable(int Fd) {
  pollfd Poll{.fd = Fd, .events = POLLIN, .revents = 0};
  return ::poll(&Poll, 1, WaitMillis) > 0;
}

} // namespace

UnreadEndpoint::UnreadEndpoint()
    : m_Listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  ::setsockopt(m_Listener.get(), SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
               sizeof(ReceiveBytes));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Address);
  REQUIRE(::bind(m_Listener.get(), reinterpret_cast<sockaddr *>(&Address),
                 Size) == 0);
  REQUIRE(::listen(m_Listener.get(), 8) == 0);
  ::getsockname(m_Listener.get(), reinterpret_cast<sockaddr *>(&Address),
                &Size);
  m_Port = ntohs(Address.sin_port);
}

bool UnreadEndpoint::waitForRequest() {
  if (!isReadable(m_Listener.get()))
    return false;
  m_Connection = core::adapters::net::FileDescriptor(
      ::accept4(m_Listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
  return m_Connection.valid() && isReadable(m_Connection.get());
}

size_t UnreadEndpoint::readToEnd() {
  std::array<char, 65536> Bytes{};
  size_t Sum = 0;
  while (isReadable(m_Connection.get())) {
    const ssize_t Count =
        ::recv(m_Connection.get(), Bytes.data(), Bytes.size(), 0);
    if (Count <= 0) {
      m_WasReset = Count < 0 && errno == ECONNRESET;
      return Sum;
    }
    Sum += static_cast<size_t>(Count);
  }
  return Sum;
}

} // namespace bronzepass::unit_tests::adapters::gateway
