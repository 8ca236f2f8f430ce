#include "Core/Adapters/Curl/CurlMulti.h"

#include "Core/Adapters/Curl/AnswerCollector.h"
#include "Core/Adapters/Net/LoopThread.h"
#include "UnitTests/Adapters/Gateway/ScriptedEndpoint.h"

#include "Core/Adapters/Net/FileDescriptor.h"

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <future>
#include <memory>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <vector>

namespace bronzepass::unit_tests::adapters::curl {

namespace {

namespace curl = core::adapters::curl;
using gateway::ScriptConnection;
using gateway::ScriptedEndpoint;

/// Throws at the head or at the first chunk of an answer.
class ThrowingListener : public curl::TransferListener {
public:
  explicit ThrowingListener(bool AtHead) : m_AtHead(AtHead) {}

  void onHead(const curl::TransferHead &) override {
    if (m_AtHead)
      throw std::runtime_error("at the head");
  }
  bool onChunk(std::string_view) override {
    throw std::runtime_error("at a chunk");
  }
  void onDone(const curl::TransferResult &Result) override {
    m_Result.set_value(Result);
  }

  std::promise<curl::TransferResult> m_Result;

private:
  bool m_AtHead;
};

/// A listener that accepts nothing, and whose queue is full: an attempt to
/// connect hangs.
class FullListener {
public:
  FullListener() : m_Listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    m_Address.sin_family = AF_INET;
    m_Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof(m_Address);
    auto *const Address = reinterpret_cast<sockaddr *>(&m_Address);
    REQUIRE(::bind(m_Listener.get(), Address, Length) == 0);
    REQUIRE(::listen(m_Listener.get(), 0) == 0);
    REQUIRE(::getsockname(m_Listener.get(), Address, &Length) == 0);
    for (int I = 0; I < 4; ++I) {
      m_Waiting.emplace_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      static_cast<void>(::connect(m_Waiting.back().get(), Address, Length));
    }
  }

  uint16_t port() const { return ntohs(m_Address.sin_port); }

private:
  core::adapters::net::FileDescriptor m_Listener;
  sockaddr_in m_Address{};
  std::vector<core::adapters::net::FileDescriptor> m_Waiting;
};

} // namespace

// Guards against a descriptor that is watched although libcurl has closed it,
// and another thread may have opened it since.
TEST_CASE("an attempt to connect that ends leaves no descriptor watched") {
  for (const bool IsCancelled : {false, true}) {
    CAPTURE(IsCancelled);
    const FullListener Listener;
    std::atomic<int> Faults = 0;
    core::adapters::net::LoopThread Thread;
    Thread.loop().setFaultHandler([&](const std::string &) { ++Faults; });
    curl::CurlMulti Multi(Thread.loop(), 4);
    Thread.start();
    for (int I = 0; I < 3; ++I) {
      curl::TransferRequest Request;
      Request.m_Address = {"127.0.0.1", Listener.port()};
      Request.m_Path = "/x";
      Request.m_ConnectTimeout = std::chrono::milliseconds(80);
      std::promise<void> Ended;
      std::promise<uint64_t> Started;
      Thread.loop().post([&] {
        Started.set_value(Multi.start(
            Request, std::make_shared<curl::AnswerCollector>(
                         [&](const curl::TransferResult &Result,
                             const curl::TransferHead &, const std::string &) {
                           CHECK_FALSE(Result.m_Complete);
                           Ended.set_value();
                         })));
      });
      const uint64_t Id = Started.get_future().get();
      if (IsCancelled) {
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
        Thread.loop().post([&] {
          Multi.cancel(Id);
          Ended.set_value();
        });
      }
      Ended.get_future().get();
    }
    Thread.stop();
    CHECK(Faults == 0);
  }
}

// Guards against an exception that leaves libcurl's state unusable.
TEST_CASE("an exception while an answer is received ends that transfer alone") {
  ScriptedEndpoint Endpoint([](ScriptConnection &To, const std::string &, int) {
    To.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  core::adapters::net::LoopThread Thread;
  curl::CurlMulti Multi(Thread.loop(), 4);
  Thread.start();
  curl::TransferRequest Request;
  Request.m_Address = {"127.0.0.1", Endpoint.port()};
  Request.m_Path = "/x";
  for (const bool AtHead : {true, false}) {
    const std::shared_ptr<ThrowingListener> Throwing =
        std::make_shared<ThrowingListener>(AtHead);
    std::promise<std::string> Body;
    Thread.loop().post([&] {
      Multi.start(Request, Throwing);
      Multi.start(
          Request,
          std::make_shared<curl::AnswerCollector>(
              [&](const curl::TransferResult &, const curl::TransferHead &,
                  const std::string &Text) { Body.set_value(Text); }));
    });
    const curl::TransferResult Result = Throwing->m_Result.get_future().get();
    CHECK_FALSE(Result.m_Complete);
    CHECK(Result.m_Error == (AtHead ? "at the head" : "at a chunk"));
    CHECK(Body.get_future().get() == "ok");
  }
  Thread.stop();
}

} // namespace bronzepass::unit_tests::adapters::curl
