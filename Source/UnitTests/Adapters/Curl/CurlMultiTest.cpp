#include "Core/Adapters/Curl/CurlMulti.h"

#include "Core/Adapters/Curl/AnswerCollector.h"
#include "Core/Adapters/Net/LoopThread.h"
#include "UnitTests/Adapters/Gateway/ScriptedEndpoint.h"

#include <doctest/doctest.h>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>

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

} // namespace

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
