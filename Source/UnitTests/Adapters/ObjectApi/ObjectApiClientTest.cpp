#include "Core/Adapters/ObjectApi/ObjectApiClient.h"

#include "Core/Adapters/Net/LoopThread.h"
#include "Core/Adapters/ObjectApi/ObjectApiCodec.h"
#include "UnitTests/Adapters/Gateway/ScriptedEndpoint.h"

#include <chrono>
#include <doctest/doctest.h>
#include <future>
#include <optional>
#include <string>

namespace bronzepass::unit_tests::adapters::object_api {

namespace {

namespace object_api = core::adapters::object_api;
namespace ports = core::ports;
using gateway::ScriptConnection;
using gateway::ScriptedEndpoint;
using namespace std::chrono_literals;

/// Keeps the answer to the one call.
class AnswerSink : public ports::EventSink {
public:
  void post(ports::Event Received) override {
    if (std::holds_alternative<ports::StoreAnswer>(Received))
      m_Answer.set_value(std::get<ports::StoreAnswer>(Received));
  }

  std::promise<ports::StoreAnswer> m_Answer;
};

} // namespace

// Guards against collecting a watch without end until its timeout.
TEST_CASE("a watch whose line has no end is given up") {
  std::promise<void> Closed;
  ScriptedEndpoint Api([&](ScriptConnection &To, const std::string &, int) {
    To.write("HTTP/1.1 200 OK\r\n\r\n");
    const std::string Padding(65536, 'a');
    while (To.write(Padding)) {
    }
    Closed.set_value();
  });
  core::adapters::net::LoopThread Thread;
  AnswerSink Sink;
  object_api::ObjectApiSettings Settings;
  Settings.m_Address = {"127.0.0.1", Api.port()};
  object_api::ObjectApiClient Client(Thread.loop(), Settings, Sink);
  Thread.start();
  ports::StoreCall Watch;
  Watch.m_Verb = ports::StoreVerb::Watch;
  Watch.m_Timeout = 60s;
  Client.submit(Watch);
  std::future<ports::StoreAnswer> Answer = Sink.m_Answer.get_future();
  REQUIRE(Answer.wait_for(20s) == std::future_status::ready);
  CHECK(Answer.get().m_Status == ports::StoreStatus::Unknown);
  CHECK(Closed.get_future().wait_for(5s) == std::future_status::ready);
  Thread.stop();
}

// Guards against one entry making the whole list of VMs unreadable.
TEST_CASE("a VM with an unknown state is suspect, and the others are read") {
  const std::optional<ports::VmListReceived> Seen = object_api::readVmList(
      R"({"items": [{"name": "a", "state": "live"},
                    {"name": "b", "state": "hibernated"},
                    {"name": "c", "state": "leaving"}]})");
  REQUIRE(Seen);
  REQUIRE(Seen->m_Vms.size() == 3);
  CHECK(Seen->m_Vms[0].m_Liveness == core::model::Liveness::Live);
  CHECK(Seen->m_Vms[1].m_Liveness == core::model::Liveness::Suspect);
  CHECK(Seen->m_Vms[2].m_Liveness == core::model::Liveness::Leaving);
}

} // namespace bronzepass::unit_tests::adapters::object_api
