#include "Core/Adapters/Gateway/PeerDatagrams.h"

#include "Core/Adapters/Gateway/PeerNoticeCodec.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace {

std::optional<sockaddr_in> toSockaddr(const model::Address &Address) {
  sockaddr_in Sockaddr{};
  Sockaddr.sin_family = AF_INET;
  Sockaddr.sin_port = htons(Address.m_Port);
  if (::inet_pton(AF_INET, Address.m_Ip.c_str(), &Sockaddr.sin_addr) != 1)
    return std::nullopt;
  return Sockaddr;
}

} // namespace

PeerDatagrams::PeerDatagrams(net::EventLoop &Loop, Receiver OnNotice)
    : m_Loop(Loop), m_OnNotice(std::move(OnNotice)) {}

PeerDatagrams::~PeerDatagrams() {
  if (m_Socket.valid())
    m_Loop.unwatch(m_Socket.get());
}

std::optional<std::string>
PeerDatagrams::listen(const model::Address &Address) {
  const std::optional<sockaddr_in> Sockaddr = toSockaddr(Address);
  net::FileDescriptor Socket(
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!Sockaddr ||
      ::bind(Socket.get(), reinterpret_cast<const sockaddr *>(&*Sockaddr),
             sizeof(*Sockaddr)) != 0)
    return "cannot receive on " + Address.m_Ip + ":" +
           std::to_string(Address.m_Port) + ": " + std::strerror(errno);
  m_Socket = std::move(Socket);
  m_Loop.watch(m_Socket.get(), EPOLLIN, [this](uint32_t) { receiveAll(); });
  return std::nullopt;
}

void PeerDatagrams::send(const model::Address &To, const std::string &Bytes) {
  const std::optional<sockaddr_in> Sockaddr = toSockaddr(To);
  if (Sockaddr && m_Socket.valid())
    ::sendto(m_Socket.get(), Bytes.data(), Bytes.size(),
             MSG_NOSIGNAL | MSG_DONTWAIT,
             reinterpret_cast<const sockaddr *>(&*Sockaddr), sizeof(*Sockaddr));
}

void PeerDatagrams::receiveAll() {
  static thread_local std::array<char, MaxNoticeBytes> Bytes;
  for (;;) {
    sockaddr_in Sockaddr{};
    socklen_t SockaddrSize = sizeof(Sockaddr);
    const ssize_t Size =
        ::recvfrom(m_Socket.get(), Bytes.data(), Bytes.size(), 0,
                   reinterpret_cast<sockaddr *>(&Sockaddr), &SockaddrSize);
    if (Size < 0)
      return;
    std::string Reason;
    const std::optional<core::gateway::PeerNotice> Notice =
        decodeNotice({Bytes.data(), static_cast<size_t>(Size)}, Reason);
    if (!Notice) {
      ++m_MalformedCount;
      continue;
    }
    std::array<char, INET_ADDRSTRLEN> Ip{};
    ::inet_ntop(AF_INET, &Sockaddr.sin_addr, Ip.data(), Ip.size());
    m_OnNotice(*Notice, {Ip.data(), ntohs(Sockaddr.sin_port)});
  }
}

} // namespace bronzepass::core::adapters::gateway
