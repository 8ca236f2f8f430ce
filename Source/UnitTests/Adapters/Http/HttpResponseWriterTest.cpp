#include "Core/Adapters/Pistache/HttpResponseWriter.h"

#include "Core/Adapters/Net/LoopThread.h"
#include "UnitTests/Adapters/Http/HttpClient.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <functional>
#include <future>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>

namespace bronzepass::unit_tests::adapters::http {

namespace {

namespace net = core::adapters::net;
using core::adapters::pistache::HttpConnection;
using core::adapters::pistache::HttpResponseWriter;

/// One accepted connection and its caller.
class ServedConnection {
public:
  ServedConnection() {
    net::FileDescriptor Listener(
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(Address);
    REQUIRE(::bind(Listener.get(), reinterpret_cast<sockaddr *>(&Address),
                   Size) == 0);
    REQUIRE(::listen(Listener.get(), 1) == 0);
    ::getsockname(Listener.get(), reinterpret_cast<sockaddr *>(&Address),
                  &Size);
    m_Caller = std::make_unique<RawConnection>(ntohs(Address.sin_port));
    m_Accepted = net::FileDescriptor(
        ::accept4(Listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
    m_Connection = std::make_shared<HttpConnection>(
        m_Thread.loop(), m_Accepted.get(),
        core::adapters::pistache::ConnectionLimits());
    m_Thread.start();
  }
  ~ServedConnection() { m_Thread.stop(); }
  ServedConnection(const ServedConnection &) = delete;
  ServedConnection &operator=(const ServedConnection &) = delete;

  RawConnection &caller() { return *m_Caller; }

  /// Answers by \p Write on the loop's thread, then reads as the caller until
  /// the connection ends. Like a server, closes its own descriptor afterwards.
  /// An HTTP/1.1 connection is kept open unless its answer is aborted.
  void answer(bool Http11,
              const std::function<void(HttpResponseWriter &)> &Write) {
    std::promise<void> Written;
    m_Thread.loop().post([&] {
      HttpResponseWriter Writer(m_Connection, Http11, Http11, false);
      Write(Writer);
      Written.set_value();
    });
    Written.get_future().wait();
    m_Accepted.reset();
    CHECK(m_Caller->readToEnd());
  }

private:
  net::LoopThread m_Thread;
  net::FileDescriptor m_Accepted;
  std::unique_ptr<RawConnection> m_Caller;
  std::shared_ptr<HttpConnection> m_Connection;
};

} // namespace

// Guards against the next response's bytes being read as the rest of this one.
TEST_CASE("a response that ends before its Content-Length is aborted") {
  ServedConnection Served;
  bool WasOpen = true;
  Served.answer(true, [&](HttpResponseWriter &Writer) {
    Writer.begin(200, {}, 9);
    Writer.write("part");
    Writer.end();
    WasOpen = Writer.write("next");
  });
  CHECK_FALSE(WasOpen);
  CHECK(Served.caller().text().ends_with("part"));
}

// Guards against an HTTP/1.0 caller taking a broken answer for a complete one.
TEST_CASE("a response that ends with its connection is aborted by a reset") {
  for (const bool Complete : {true, false}) {
    ServedConnection Served;
    Served.answer(false, [&](HttpResponseWriter &Writer) {
      Writer.begin(200, {}, std::nullopt);
      Writer.write("part");
      if (Complete)
        Writer.end();
      else
        Writer.abort();
    });
    CHECK(Served.caller().wasReset() != Complete);
  }
}

TEST_CASE("a response that ends with its connection is reset if its writer is "
          "destroyed") {
  ServedConnection Served;
  Served.answer(false, [](HttpResponseWriter &Writer) {
    Writer.begin(200, {}, std::nullopt);
    Writer.write("part");
  });
  CHECK(Served.caller().wasReset());
}

} // namespace bronzepass::unit_tests::adapters::http
