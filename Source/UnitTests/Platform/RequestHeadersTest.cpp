#include "platform/RequestHeaders.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace bronzepass::platform {

namespace {

using core::gateway::HeaderLine;
using core::gateway::HeaderLines;
using core::gateway::SendRequest;

std::vector<std::string> valuesOf(const HeaderLines &Lines,
                                  const std::string &Name) {
  std::vector<std::string> Values;
  for (const HeaderLine &Each : Lines)
    if (Each.first == Name)
      Values.push_back(Each.second);
  return Values;
}

SendRequest sendTo(const char *Endpoint) {
  SendRequest Send;
  Send.m_Endpoint = core::model::EndpointId(Endpoint);
  Send.m_Remaining = std::chrono::milliseconds(1234);
  Send.m_Priority = 2;
  Send.m_Stream = true;
  return Send;
}

} // namespace

TEST_CASE("routing inputs are read from a request's headers") {
  core::gateway::RelayRequest Request;
  readRequest({{"x-request-id", "9c41"},
               {"X-Model", "m/a3"},
               {"X-Token-Count", "1460,80"},
               {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"},
               {"X-Deadline-Ms", "12000"}},
              Request);
  CHECK(Request.m_CallerRequestId == "9c41");
  CHECK(Request.m_ModelRef == core::gateway::ModelRef{"m", "a3"});
  CHECK(Request.m_PromptTokens == 1460);
  CHECK(Request.m_OutputTokens == 80);
  CHECK(Request.m_Prompt[1] == core::gateway::PromptPart{0x91bd3f06, 410});
  CHECK(*Request.m_Window == std::chrono::seconds(12));
  CHECK_FALSE(Request.m_IsResumption);
}

TEST_CASE("a caller that takes a stream up names its first attempt") {
  core::gateway::RelayRequest Request;
  readRequest(
      {{"X-Request-Id", "2"}, {"Last-Event-Id", "9"}, {"resumes", " 1 "}},
      Request);
  CHECK(Request.m_IsResumption);
  CHECK(Request.m_FirstAttempt == "1");
}

TEST_CASE("headers reserved for the system are not accepted from callers") {
  const HeaderLines Sent = headersToSend({{"Host", "h"},
                                          {"X-Hold", "1"},
                                          {"x-pin-ms", "9"},
                                          {"X-Kv-Backup", "10.0.0.1:1"},
                                          {"Kv-From", "10.0.0.1:1/x"},
                                          {"X-Expect-Instance", "evil"},
                                          {"X-Request-Priority", "0"},
                                          {"X-Deadline-Ms", "999999"},
                                          {"X-Custom", "kept"}},
                                         sendTo("i-1"), std::nullopt);
  CHECK(valuesOf(Sent, "X-Hold").empty());
  CHECK(valuesOf(Sent, "x-pin-ms").empty());
  CHECK(valuesOf(Sent, "X-Kv-Backup").empty());
  CHECK(valuesOf(Sent, "Kv-From").empty());
  CHECK(valuesOf(Sent, "X-Expect-Instance") == std::vector<std::string>{"i-1"});
  CHECK(valuesOf(Sent, "X-Deadline-Ms") == std::vector<std::string>{"1234"});
  CHECK(valuesOf(Sent, "X-Request-Priority") == std::vector<std::string>{"2"});
  CHECK(valuesOf(Sent, "X-Custom") == std::vector<std::string>{"kept"});
  CHECK(valuesOf(Sent, "Host") == std::vector<std::string>{"h"});
}

TEST_CASE("hop-by-hop headers are not forwarded, and a caller cannot drop the "
          "request id") {
  const HeaderLines Sent =
      headersToSend({{"Connection", "close, X-Secret, X-Request-Id"},
                     {"X-Secret", "1"},
                     {"X-Request-Id", "9c41"},
                     {"Keep-Alive", "timeout=5"},
                     {"Transfer-Encoding", "chunked"},
                     {"Content-Length", "5"}},
                    sendTo("i-1"), std::nullopt);
  CHECK(valuesOf(Sent, "X-Secret").empty());
  CHECK(valuesOf(Sent, "Keep-Alive").empty());
  CHECK(valuesOf(Sent, "Transfer-Encoding").empty());
  CHECK(valuesOf(Sent, "Content-Length").empty());
  CHECK(valuesOf(Sent, "X-Request-Id") == std::vector<std::string>{"9c41"});
}

TEST_CASE("a resumed stream carries one Last-Event-Id header") {
  const HeaderLines Sent =
      headersToSend({{"last-event-id", "3"}}, sendTo("i-1"), std::string("17"));
  CHECK(valuesOf(Sent, "last-event-id").empty());
  CHECK(valuesOf(Sent, "Last-Event-Id") == std::vector<std::string>{"17"});
}

TEST_CASE("an answer's head shows its request and whether the request ran") {
  CHECK(
      readHead(200, {{"X-Server-Seal", "s"}, {"X-Request-Id", "9c41"}}, "9c41")
          .m_Sealed);
  CHECK((readHead(200, {{"X-Request-Id", "other"}}, "9c41").m_Names ==
         core::gateway::NamedRequest::Other));
  CHECK((readHead(200, {{"X-Request-Id", "9c41"}}, "9c41").m_Names ==
         core::gateway::NamedRequest::Own));
  CHECK(
      (readHead(200, {}, "9c41").m_Names == core::gateway::NamedRequest::None));
  CHECK(readHead(503, {{"X-Not-Run", "1"}}, "9c41").m_NotRun);
  CHECK_FALSE(readHead(503, {}, "9c41").m_NotRun);
  CHECK(readHead(421, {{"X-Instance-Id", "i-2"}}, "9c41").m_Misdirected);
  CHECK(*readHead(200, {{"Keep-Alive", "timeout=5"}}, "").m_KeepAlive ==
        std::chrono::seconds(5));
}

TEST_CASE("the store's era is read from every answer, refusals included") {
  core::gateway::HttpResult Answer;
  Answer.m_Status = 503;
  CHECK_FALSE(readStoreEra(Answer).m_Value);
  CHECK(readStoreEra(Answer).m_Findings.empty());
  Answer.m_Headers = {{"Content-Length", "0"}, {"store-era", " 12 "}};
  CHECK(readStoreEra(Answer).m_Value == core::model::StoreEra{12});
  for (const char *const Bad :
       {"", "-1", "3x", "1.5", "99999999999999999999", "0x4"}) {
    CAPTURE(Bad);
    Answer.m_Headers = {{"Store-Era", Bad}};
    CHECK_FALSE(readStoreEra(Answer).m_Value);
    CHECK(readStoreEra(Answer).m_Findings.size() == 1);
  }
}

TEST_CASE("an endpoint's limit is a decimal number, the lowest if there are "
          "several") {
  const auto Limit = [](const HeaderLines &Headers) {
    return readHead(200, Headers, "").m_Statement.m_RequestsPerSecond;
  };
  CHECK_FALSE(Limit({}));
  CHECK(Limit({{"server-limit", " 4.25 "}}) == 4.25);
  CHECK(Limit({{"Server-Limit", "0"}}) == 0);
  CHECK(Limit({{"Server-Limit", "7"}, {"Server-Limit", "3"}}) == 3);
  CHECK(Limit({{"Server-Limit", "x"}, {"Server-Limit", "3"}}) == 3);
  for (const char *const Text :
       {"", "-1", "4 per second", "nan", "inf", "1e3", "0x10", "99999999999"}) {
    CAPTURE(Text);
    const core::gateway::AnswerHead Head =
        readHead(200, {{"Server-Limit", Text}}, "");
    CHECK_FALSE(Head.m_Statement.m_RequestsPerSecond);
    CHECK(Head.m_UnreadableStatement == std::string("Server-Limit: ") + Text);
  }
}

TEST_CASE("what a brittle endpoint can turn away is read, and taken as nothing "
          "where it can't be read") {
  const auto Rejects = [](const HeaderLines &Lines) {
    return readHead(200, Lines, "").m_Statement.m_RejectsPerSecond;
  };
  CHECK_FALSE(Rejects({}));
  CHECK(Rejects({{"Server-Brittle", "4"}}) == 4);
  CHECK(Rejects({{"server-brittle", "2.5"}, {"Server-Brittle", "9"}}) == 2.5);
  for (const char *const Text : {"", "-1", "x", "nan", "1e3", "99999999999"}) {
    CAPTURE(Text);
    const core::gateway::AnswerHead Head =
        readHead(200, {{"Server-Brittle", Text}}, "");
    CHECK(Head.m_Statement.m_RejectsPerSecond == 0.0);
    CHECK(Head.m_UnreadableStatement == std::string("Server-Brittle: ") + Text);
  }
}

TEST_CASE("an endpoint is leaving if any line says so") {
  const auto IsLeaving = [](const HeaderLines &Headers) {
    return readHead(200, Headers, "").m_Statement.m_IsLeaving;
  };
  CHECK_FALSE(IsLeaving({}));
  CHECK_FALSE(IsLeaving({{"Server-Leaving", "0"}}));
  CHECK(IsLeaving({{"server-leaving", " 1 "}}));
  CHECK(IsLeaving({{"Server-Leaving", "1"}, {"Server-Leaving", "0"}}));
  CHECK_FALSE(IsLeaving({{"Server-Leaving", "soon"}}));
  CHECK(readHead(200, {{"Server-Leaving", "soon"}}, "").m_UnreadableStatement ==
        "Server-Leaving: soon");
}

TEST_CASE("Retry-After of a 503 is a number of seconds, the longest if there "
          "are several") {
  const auto Pause = [](int Status, const HeaderLines &Headers) {
    return readHead(Status, Headers, "").m_PauseFor;
  };
  using namespace std::chrono_literals;
  CHECK_FALSE(Pause(503, {}));
  CHECK(Pause(503, {{"retry-after", " 2 "}}) == 2s);
  CHECK(Pause(503, {{"Retry-After", "0.25"}}) == 250ms);
  CHECK(Pause(503, {{"Retry-After", "0"}}) == 0s);
  CHECK(Pause(503, {{"Retry-After", "1"}, {"Retry-After", "3"}}) == 3s);
  CHECK(Pause(503, {{"Retry-After", "3600"}}) == 1h);
  CHECK(Pause(503, {{"Retry-After", "99999999999999999999"}}) == 1h);
  for (const int Status : {200, 429, 500})
    CHECK_FALSE(Pause(Status, {{"Retry-After", "2"}}));
  for (const char *const Text :
       {"", "-1", "soon", "nan", "Fri, 04 Dec 2026 12:00:00 GMT"}) {
    CAPTURE(Text);
    CHECK_FALSE(Pause(503, {{"Retry-After", Text}}));
    CHECK(readHead(503, {{"Retry-After", Text}}, "").m_UnreadableStatement ==
          std::string("Retry-After: ") + Text);
  }
}

namespace {

core::organisations::Credential credentialOf(const HeaderLines &Headers) {
  core::gateway::RelayRequest Request;
  readRequest(Headers, Request);
  return Request.m_Credential;
}

} // namespace

TEST_CASE("a key is read once, and only if it can be one") {
  using core::organisations::Credential;
  CHECK(credentialOf({{"X-Model", "m"}}).m_State == Credential::State::Absent);
  const Credential Key = credentialOf({{"x-credential", " key-1 "}});
  CHECK(Key.m_State == Credential::State::Present);
  CHECK(Key.m_Digest == core::organisations::digestOf("key-1"));
  CHECK(credentialOf({{"X-Credential", std::string(512, 'k')}}).m_State ==
        Credential::State::Present);
  for (const std::string &Odd :
       {std::string(), std::string("  "), std::string("a b"),
        std::string("a\tb"), std::string("a\0b", 3), std::string("k\xc3\xa9"),
        std::string("k\x7f"), std::string(513, 'k'),
        std::string(size_t{64} * 1024, 'k')})
    CHECK(credentialOf({{"X-Credential", Odd}}).m_State ==
          Credential::State::Unreadable);
  CHECK(credentialOf({{"X-Credential", "key-1"}, {"X-CREDENTIAL", "key-1"}})
            .m_State == Credential::State::Unreadable);
}

TEST_CASE(
    "an endpoint gets the organisation's name in place of any copy of the "
    "caller's, and nothing of its key") {
  const HeaderLines FromCaller = {{"X-Credential", "key-1"},
                                  {"x-credential", "key-2"},
                                  {"X-Tenant", "mill"},
                                  {"x-tenant", "mill"},
                                  {"Connection", "X-Tenant"}};
  SendRequest Send = sendTo("i-1");
  Send.m_Organisation = "lab";
  const HeaderLines Lab = headersToSend(FromCaller, Send, std::nullopt);
  CHECK(valuesOf(Lab, "X-Tenant") == std::vector<std::string>{"lab"});
  CHECK(std::none_of(Lab.begin(), Lab.end(), [](const HeaderLine &Each) {
    return Each.second.find("key-") != std::string::npos ||
           Each.second == "mill";
  }));
  Send.m_Organisation = "";
  const HeaderLines Nobody = headersToSend(FromCaller, Send, std::nullopt);
  CHECK(valuesOf(Nobody, "X-Tenant").empty());
  CHECK(valuesOf(Nobody, "x-tenant").empty());
  CHECK(valuesOf(Nobody, "X-Credential").empty());
  Send.m_Organisation.reset();
  const HeaderLines AsTheyAre =
      headersToSend({{"X-Tenant", "mill"}}, Send, std::nullopt);
  CHECK(valuesOf(AsTheyAre, "X-Tenant") == std::vector<std::string>{"mill"});
}

} // namespace bronzepass::platform
