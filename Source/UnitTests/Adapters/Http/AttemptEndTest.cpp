#include "Core/Adapters/Traffic/Attempt.h"
#include "Core/Adapters/Traffic/RelayedHead.h"

#include <doctest/doctest.h>
#include <optional>
#include <string>

namespace bronzepass::unit_tests::adapters::http {

namespace {

namespace curl = core::adapters::curl;
namespace routing = core::routing;
using core::adapters::traffic::Attempt;

curl::TransferHead streamHead() {
  curl::TransferHead Head;
  Head.m_Status = 200;
  Head.m_OnNewConnection = true;
  Head.m_Lines.emplace_back("content-type", "text/event-stream");
  return Head;
}

/// How a stream ends whose connection is closed without an error after
/// \p Body.
routing::AttemptOutcome outcomeOf(const std::string &Body) {
  Attempt Running({}, 0);
  Running.handleHead(streamHead());
  Running.handleChunk(Body);
  curl::TransferResult Closed;
  Closed.m_EndedByClose = true;
  Closed.m_BytesSent = 1;
  return Running.handleEnd(Closed).m_Outcome;
}

} // namespace

// Guards against a stream that broke off reaching its caller as complete.
TEST_CASE("a stream is complete only behind its whole terminal marker") {
  using routing::AttemptOutcome;
  const std::string Event = "data: {\"a\":1}\n\n";
  CHECK(outcomeOf(Event + "data: [DONE]\n\n") == AttemptOutcome::Complete);
  CHECK(outcomeOf("data: [DONE]\n\n") == AttemptOutcome::Complete);
  CHECK(outcomeOf("data: {}\r\n\r\ndata: [DONE]\r\n\r\n") ==
        AttemptOutcome::Complete);
  CHECK(outcomeOf(Event) == AttemptOutcome::Broken);
  CHECK(outcomeOf(Event + "data: [DONE]") == AttemptOutcome::Broken);
  CHECK(outcomeOf(Event + "data: [DONE]\n") == AttemptOutcome::Broken);
  CHECK(outcomeOf(Event + "data: [DONE]\r\n") == AttemptOutcome::Broken);
  CHECK(outcomeOf("data: it ends with data: [DONE]\n\n") ==
        AttemptOutcome::Broken);
}

// Guards against a stream without its marker being complete by its length.
TEST_CASE("a stream's length is not declared to its caller") {
  using core::adapters::traffic::relayedLength;
  curl::TransferHead Head = streamHead();
  Head.m_BodyFormat.m_Length = 40;
  CHECK(relayedLength(Head) == std::nullopt);
  Head.m_Lines.emplace_back("content-type", "application/json");
  CHECK(relayedLength(Head) == 40);
}

} // namespace bronzepass::unit_tests::adapters::http
