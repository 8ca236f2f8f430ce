#include "UnitTests/Gateway/RelayFixture.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests {

using namespace std::chrono_literals;
using gateway::SendRequest;
using gateway::SendResult;

// Guards against sending to an endpoint that has asked for nothing, because its
// entry in the store lapsed and came back in between.
TEST_CASE("a pause outlasts a gap in the endpoint's entry") {
  RelayFixture Relay;
  Relay.start({"a", "b"});
  Relay.ask("/once/");
  const SendRequest Told = Relay.take<SendRequest>()[0];
  Relay.m_Core.onEndpointPaused(Told.m_Attempt, 3s, Relay.m_Now, Relay.m_Out);
  Relay.finishSend(Told.m_Attempt, SendResult::NotRun, 503);
  Relay.take<SendRequest>();
  const std::vector<gateway::EndpointEntry> All = Relay.m_Entries;
  std::vector<gateway::EndpointEntry> Others = All;
  std::erase_if(Others, [&](const gateway::EndpointEntry &Each) {
    return Each.m_Id == Told.m_Endpoint;
  });
  Relay.setEndpoints(Others);
  Relay.advance(500ms);
  Relay.setEndpoints(All);
  for (int I = 0; I < 20; ++I) {
    Relay.ask("/once/");
    for (const SendRequest &Each : Relay.take<SendRequest>()) {
      CHECK(Each.m_Endpoint != Told.m_Endpoint);
      Relay.finishSend(Each.m_Attempt, SendResult::Completed);
    }
  }
}

TEST_CASE(
    "an endpoint that has said that it is leaving stays so after a gap in "
    "its entry") {
  RelayFixture Relay;
  Relay.start({"a"});
  Relay.ask("/once/");
  const SendRequest Told = Relay.take<SendRequest>()[0];
  Relay.m_Core.onAnswerHead(Told.m_Attempt, {.m_IsLeaving = true}, Relay.m_Now,
                            Relay.m_Out);
  Relay.finishSend(Told.m_Attempt, SendResult::Completed);
  Relay.setEndpoints({});
  Relay.advance(500ms);
  Relay.setEndpoints({RelayFixture::endpoint("a")});
  Relay.ask("/once/");
  CHECK(Relay.take<SendRequest>().empty());
}

} // namespace bronzepass::unit_tests
