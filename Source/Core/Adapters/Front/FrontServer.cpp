#include "Core/Adapters/Front/FrontServer.h"

#include "Core/Adapters/Front/FrontConnection.h"
#include "Core/Resources/CallerPlaces.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <vector>

namespace bronzepass::core::adapters::front {

namespace {

/// When the queue is full, a caller waits one second before TCP retries its
/// connection attempt.
constexpr int ListenBacklog = 1024;
/// Places are given up for several new callers at once, since all have to be
/// looked at for it.
constexpr size_t GiveUpDivisor = 64;
constexpr std::chrono::milliseconds AcceptPause(50);

std::string listenError(const model::Address &Address) {
  return "cannot listen on " + Address.m_Ip + ":" +
         std::to_string(Address.m_Port) + ": " + std::strerror(errno);
}

} // namespace

FrontServer::FrontServer(net::EventLoop &Loop, FrontHandler &Handler)
    : m_Loop(Loop), m_Handler(Handler) {}

model::TimePoint FrontServer::now() {
  return model::TimePoint(std::chrono::duration_cast<model::Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

FrontServer::~FrontServer() {
  if (m_AcceptTimer)
    m_Loop.cancel(*m_AcceptTimer);
  if (m_Listener.valid())
    m_Loop.unwatch(m_Listener.get());
  const std::set<std::shared_ptr<FrontConnection>> Connections =
      std::move(m_Connections);
  for (const std::shared_ptr<FrontConnection> &Each : Connections)
    Each->detach();
}

std::optional<std::string> FrontServer::listen(const model::Address &Address) {
  net::FileDescriptor Listener(
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int On = 1;
  ::setsockopt(Listener.get(), SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Sockaddr{};
  Sockaddr.sin_family = AF_INET;
  Sockaddr.sin_port = htons(Address.m_Port);
  if (::inet_pton(AF_INET, Address.m_Ip.c_str(), &Sockaddr.sin_addr) != 1)
    return "cannot listen on " + Address.m_Ip + ": not an IP number";
  if (::bind(Listener.get(), reinterpret_cast<sockaddr *>(&Sockaddr),
             sizeof(Sockaddr)) != 0 ||
      ::listen(Listener.get(), ListenBacklog) != 0)
    return listenError(Address);
  m_Listener = std::move(Listener);
  if (!m_Loop.watch(m_Listener.get(), EPOLLIN,
                    [this](uint32_t) { acceptAll(); }))
    return listenError(Address);
  return std::nullopt;
}

uint16_t FrontServer::port() const {
  sockaddr_in Sockaddr{};
  socklen_t Size = sizeof(Sockaddr);
  ::getsockname(m_Listener.get(), reinterpret_cast<sockaddr *>(&Sockaddr),
                &Size);
  return ntohs(Sockaddr.sin_port);
}

void FrontServer::acceptAll() {
  while (makePlace()) {
    sockaddr_in From{};
    socklen_t Size = sizeof(From);
    net::FileDescriptor Accepted(
        ::accept4(m_Listener.get(), reinterpret_cast<sockaddr *>(&From), &Size,
                  SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!Accepted.valid()) {
      // The listener stays readable: without a pause, the loop would spin.
      if (errno != EAGAIN && errno != EWOULDBLOCK)
        pauseAccepting();
      return;
    }
    const std::shared_ptr<FrontConnection> Connection =
        std::make_shared<FrontConnection>(*this, std::move(Accepted),
                                          ntohl(From.sin_addr.s_addr));
    if (Connection->start())
      m_Connections.insert(Connection);
  }
  pauseAccepting();
}

bool FrontServer::makePlace() {
  if (m_Places == 0 || m_Connections.size() < m_Places)
    return true;
  std::vector<resources::CallerPlace> Places;
  std::vector<std::shared_ptr<FrontConnection>> Holders;
  for (const std::shared_ptr<FrontConnection> &Each : m_Connections) {
    Places.push_back(Each->place());
    Holders.push_back(Each);
  }
  for (const size_t Each : resources::placesToGiveUp(
           Places, std::max<size_t>(1, m_Places / GiveUpDivisor), now())) {
    if (Holders[Each]->giveUpPlace())
      ++m_PlacesGivenUp;
  }
  return m_Connections.size() < m_Places;
}

void FrontServer::pauseAccepting() {
  if (m_AcceptTimer || !m_Listener.valid())
    return;
  ++m_AcceptPauses;
  m_Loop.setWatchedEvents(m_Listener.get(), 0);
  m_AcceptTimer = m_Loop.runAfter(AcceptPause, [this] {
    m_AcceptTimer.reset();
    if (m_Listener.valid())
      m_Loop.setWatchedEvents(m_Listener.get(), EPOLLIN);
  });
}

void FrontServer::closeIdle() {
  if (m_Listener.valid()) {
    // Connections that the kernel has accepted may carry requests already.
    acceptAll();
    m_Loop.unwatch(m_Listener.get());
    m_Listener.reset();
  }
  std::vector<std::shared_ptr<FrontConnection>> Idle;
  for (const std::shared_ptr<FrontConnection> &Each : m_Connections)
    if (Each->isIdle())
      Idle.push_back(Each);
  for (const std::shared_ptr<FrontConnection> &Each : Idle)
    Each->close();
}

void FrontServer::removeConnection(
    const std::shared_ptr<FrontConnection> &Connection) {
  m_Connections.erase(Connection);
}

} // namespace bronzepass::core::adapters::front
