#include "UnitTests/Adapters/Http/HttpClient.h"

#include "Core/Adapters/Curl/CurlMulti.h"
#include "Core/Adapters/Net/LoopThread.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>

namespace bronzepass::unit_tests::adapters::http {

namespace curl = core::adapters::curl;

namespace {

constexpr std::chrono::milliseconds PollPeriod(2);

class ResultCollector : public curl::TransferListener {
public:
  void onHead(const curl::TransferHead &Head) override {
    m_Result.m_Status = Head.m_Status;
    m_Result.m_Headers = Head.headers();
  }
  bool onChunk(std::string_view Chunk) override {
    m_Result.m_Body.append(Chunk);
    return true;
  }
  void onDone(const curl::TransferResult &Result) override {
    m_Result.m_Complete = Result.m_Complete;
    m_Done.set_value();
  }

  HttpResult m_Result;
  std::promise<void> m_Done;
};

} // namespace

HttpResult fetch(uint16_t Port, const std::string &Method,
                 const std::string &Path, const std::string &Body,
                 const std::vector<std::string> &Headers) {
  core::adapters::net::LoopThread Thread;
  curl::CurlMulti Curl(Thread.loop(), 1);
  curl::TransferRequest Request;
  Request.m_Method = Method;
  Request.m_Address = {"127.0.0.1", Port};
  Request.m_Path = Path;
  Request.m_Body = Body;
  Request.m_Headers = Headers;
  Request.m_Timeout = TestTimeout;
  const std::shared_ptr<ResultCollector> Listener =
      std::make_shared<ResultCollector>();
  Curl.start(std::move(Request), Listener);
  Thread.start();
  Listener->m_Done.get_future().wait();
  Thread.stop();
  return Listener->m_Result;
}

bool waitFor(const std::function<bool()> &Condition) {
  const std::chrono::steady_clock::time_point End =
      std::chrono::steady_clock::now() + TestTimeout;
  while (std::chrono::steady_clock::now() < End) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(PollPeriod);
  }
  return false;
}

RawConnection::RawConnection(uint16_t Port, int ReceiveBytes)
    : m_Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  if (ReceiveBytes > 0)
    ::setsockopt(m_Fd.get(), SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
                 sizeof(ReceiveBytes));
  timeval Limit{};
  Limit.tv_sec = TestTimeout.count();
  ::setsockopt(m_Fd.get(), SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  ::setsockopt(m_Fd.get(), SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  m_Connected = ::connect(m_Fd.get(), reinterpret_cast<sockaddr *>(&Address),
                          sizeof(Address)) == 0;
}

void RawConnection::send(const std::string &Text) {
  size_t Sent = 0;
  while (Sent < Text.size()) {
    const ssize_t Count = ::send(m_Fd.get(), Text.data() + Sent,
                                 Text.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return;
    Sent += static_cast<size_t>(Count);
  }
}

bool RawConnection::readSome() {
  std::array<char, 4096> Buffer{};
  const ssize_t Count = ::recv(m_Fd.get(), Buffer.data(), Buffer.size(), 0);
  m_Reset = Count < 0 && errno == ECONNRESET;
  m_Ended = Count == 0 || m_Reset;
  if (Count <= 0)
    return false;
  m_Text.append(Buffer.data(), static_cast<size_t>(Count));
  return true;
}

bool RawConnection::readUntil(const std::string &Marker) {
  size_t From = 0;
  while (m_Text.find(Marker, From) == std::string::npos) {
    From = m_Text.size() - std::min(m_Text.size(), Marker.size());
    if (!readSome())
      return false;
  }
  return true;
}

bool RawConnection::readAtLeast(size_t Bytes) {
  const size_t Wanted = m_Text.size() + Bytes;
  while (m_Text.size() < Wanted)
    if (!readSome())
      return false;
  return true;
}

bool RawConnection::readToEnd() {
  while (readSome())
    continue;
  return m_Ended;
}

std::string makePost(const std::string &Path, const std::string &Body,
                     const std::string &Headers) {
  return "POST " + Path + " HTTP/1.1\r\nHost: test\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace bronzepass::unit_tests::adapters::http
