#include "UnitTests/Soak/CallerConnection.h"

#include "Core/Model/LowerCase.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>

namespace bronzepass::unit_tests::soak {

namespace {

/// Longer than any answer takes; a caller that waits for longer counts as cut.
constexpr int ReceiveSeconds = 12;

} // namespace

CallerConnection::CallerConnection(uint16_t Port)
    : m_Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  timeval Limit{};
  Limit.tv_sec = ReceiveSeconds;
  ::setsockopt(m_Fd.get(), SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  ::setsockopt(m_Fd.get(), SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(m_Fd.get(), reinterpret_cast<sockaddr *>(&Address),
                sizeof(Address)) != 0)
    m_Fd.reset();
}

bool CallerConnection::send(const std::string &Request) {
  size_t Sent = 0;
  while (Sent < Request.size()) {
    const ssize_t Count = ::send(m_Fd.get(), Request.data() + Sent,
                                 Request.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<size_t>(Count);
  }
  return true;
}

bool CallerConnection::awaitAnswer() {
  pollfd Poll{.fd = m_Fd.get(), .events = POLLIN, .revents = 0};
  return ::poll(&Poll, 1, ReceiveSeconds * 1000) > 0;
}

bool CallerConnection::receiveMore() {
  std::array<char, 8192> Bytes; // NOLINT: filled by recv().
  const ssize_t Count = ::recv(m_Fd.get(), Bytes.data(), Bytes.size(), 0);
  if (Count <= 0)
    return false;
  m_Buffer.append(Bytes.data(), static_cast<size_t>(Count));
  return true;
}

bool CallerConnection::receiveUntil(const std::string &Marker) {
  while (m_Buffer.find(Marker) == std::string::npos)
    if (!receiveMore())
      return false;
  return true;
}

bool CallerConnection::receiveBytes(size_t Count) {
  while (m_Buffer.size() < Count)
    if (!receiveMore())
      return false;
  return true;
}

bool CallerConnection::receiveChunks(std::string &Body) {
  const std::string LineEnd = "\r\n";
  for (;;) {
    if (!receiveUntil(LineEnd))
      return false;
    const size_t SizeEnd = m_Buffer.find(LineEnd);
    const size_t Size = std::stoul(m_Buffer.substr(0, SizeEnd), nullptr, 16);
    const size_t Begin = SizeEnd + LineEnd.size();
    if (!receiveBytes(Begin + Size + LineEnd.size())) {
      Body += m_Buffer.substr(std::min(Begin, m_Buffer.size()));
      return false;
    }
    Body += m_Buffer.substr(Begin, Size);
    m_Buffer.erase(0, Begin + Size + LineEnd.size());
    if (Size == 0)
      return true;
  }
}

CallerResponse CallerConnection::receive() {
  const std::string HeadEnd = "\r\n\r\n";
  CallerResponse Response;
  if (!receiveUntil(HeadEnd)) {
    close();
    return Response;
  }
  const size_t BodyStart = m_Buffer.find(HeadEnd) + HeadEnd.size();
  const std::string Head = m_Buffer.substr(0, BodyStart - 2);
  m_Buffer.erase(0, BodyStart);
  Response.m_Status = std::stoi(Head.substr(Head.find(' ') + 1));
  for (size_t Line = Head.find("\r\n") + 2; Line < Head.size();) {
    const size_t End = Head.find("\r\n", Line);
    const size_t Colon = Head.find(": ", Line);
    Response
        .m_Headers[core::model::lowerCase(Head.substr(Line, Colon - Line))] =
        Head.substr(Colon + 2, End - Colon - 2);
    Line = End + 2;
  }
  const std::string Length = Response.header("content-length");
  if (!Length.empty()) {
    Response.m_Complete = receiveBytes(std::stoul(Length));
    Response.m_Body = m_Buffer.substr(0, std::stoul(Length));
    m_Buffer.erase(0, Response.m_Body.size());
  } else {
    Response.m_Complete = receiveChunks(Response.m_Body);
  }
  if (!Response.m_Complete || Response.header("connection") == "close")
    close();
  return Response;
}

} // namespace bronzepass::unit_tests::soak
