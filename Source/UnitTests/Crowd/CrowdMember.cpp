#include "UnitTests/Crowd/CrowdMember.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>

namespace bronzepass::unit_tests::crowd {

namespace {

/// At a time for one client, so that all get on alike.
constexpr size_t SendBytes = 64 << 10;

bool wouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

} // namespace

bool CrowdMember::open() {
  if (m_Fd.valid())
    return true;
  if (m_Opened > m_Attack->m_Returns)
    return false;
  ++m_Opened;
  m_Stage = m_Piece = m_Time = 0;
  m_Unsent.clear();
  m_Answer.clear();
  m_Fd = core::adapters::net::FileDescriptor(
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(m_Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(m_Fd.get(), reinterpret_cast<sockaddr *>(&Address),
                sizeof(Address)) != 0 &&
      errno != EINPROGRESS)
    m_Fd.reset();
  return true;
}

void CrowdMember::advance() {
  const auto &Stages = m_Attack->m_Stages;
  if (++m_Time < Stages[m_Stage][m_Piece].m_Times)
    return;
  m_Time = 0;
  if (++m_Piece < Stages[m_Stage].size())
    return;
  m_Piece = 0;
  ++m_Stage;
}

size_t CrowdMember::sendSome(size_t Stage) {
  while (m_Unsent.size() < SendBytes && m_Stage <= Stage) {
    m_Unsent += m_Attack->m_Stages[m_Stage][m_Piece].m_Bytes;
    advance();
  }
  const ssize_t Sent = ::send(m_Fd.get(), m_Unsent.data(), m_Unsent.size(),
                              MSG_NOSIGNAL | MSG_DONTWAIT);
  if (Sent < 0) {
    if (!wouldBlock())
      m_Fd.reset();
    return 0;
  }
  m_Unsent.erase(0, static_cast<size_t>(Sent));
  return static_cast<size_t>(Sent);
}

void CrowdMember::readSome() {
  std::array<char, 4096> Bytes; // NOLINT: filled by recv().
  for (;;) {
    const ssize_t Count = ::recv(m_Fd.get(), Bytes.data(), Bytes.size(), 0);
    if (Count < 0 && wouldBlock())
      return;
    if (Count <= 0) {
      m_Fd.reset();
      return;
    }
    m_Answer.append(Bytes.data(), static_cast<size_t>(Count));
    constexpr size_t StatusOffset = 9;
    constexpr size_t StatusEnd = 12;
    if (m_Answer.size() >= StatusEnd)
      m_Status = std::stoi(m_Answer.substr(StatusOffset, 3));
  }
}

} // namespace bronzepass::unit_tests::crowd
