#include "Core/Adapters/Callers/RequestReader.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <string>

namespace bronzepass::unit_tests::adapters::http {

namespace callers = core::adapters::callers;
namespace model = core::model;
namespace routing = core::routing;
namespace pistache = core::adapters::pistache;
namespace traffic = core::adapters::traffic;

namespace {

const model::TimePoint Now(std::chrono::seconds(1000));

std::shared_ptr<const routing::RoutingTable> makeTable() {
  model::Intent Intent;
  Intent.m_Models.push_back(
      {.m_Name = model::ModelId("gas"), .m_Versions = {{"1", 1}, {"2", 1}}});
  Intent.m_Adapters.push_back({.m_Name = model::AdapterId("cartagena"),
                               .m_Base = model::ModelId("gas")});
  Intent.m_Callers.push_back({.m_Name = model::CallerId("overnight"),
                              .m_Priority = model::Priority::Batch});
  model::PoolSpec Pool;
  Pool.m_Name = model::PoolId("booking");
  Pool.m_Kind = model::PoolKind::Service;
  Pool.m_PathPrefix = "/booking";
  Pool.m_Routes.push_back({"/confirm", false});
  Intent.m_Pools.push_back(Pool);
  routing::RoutingInputs Inputs;
  Inputs.m_Intent = std::make_shared<const model::Intent>(Intent);
  Inputs.m_Self.m_Node = model::NodeId("node-1");
  Inputs.m_Self.m_CallerAddress = {"10.0.0.1", 80};
  Inputs.m_Nodes.push_back(Inputs.m_Self);
  return routing::RoutingTable::build(Inputs);
}

pistache::HttpRequest chatRequest(const std::string &Model,
                                  const std::string &Content) {
  pistache::HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Path = "/v1/chat/completions";
  Request.m_Body = nlohmann::json{
      {"model", Model},
      {"messages", {{{"role", "user"}, {"content", Content}}}},
      {"max_tokens",
       9}}.dump();
  Request.m_PeerIp = "10.0.0.9";
  return Request;
}

traffic::CallerRequest read(const pistache::HttpRequest &Request) {
  const callers::RequestReadResult Result =
      callers::readRequest(Request, *makeTable(), {}, Now);
  REQUIRE(Result.m_Request);
  return *Result.m_Request;
}

} // namespace

TEST_CASE("headers set caller, window, priority and idempotency key") {
  pistache::HttpRequest Request = chatRequest("gas", "x");
  Request.m_Headers = {{"authorization", "Bearer overnight"},
                       {"bronzepass-window", "1500ms"},
                       {"idempotency-key", "k1"}};
  const model::Request Read = read(Request).m_Request;
  CHECK(Read.m_Caller.str() == "overnight");
  CHECK(Read.m_Priority == model::Priority::Batch);
  CHECK(Read.m_Deadline == Now + std::chrono::milliseconds(1500));
  CHECK(Read.m_IdempotencyKey == "k1");
  CHECK(Read.m_MaxTokens == 9);
  Request.m_Headers["bronzepass-caller"] = "crew";
  Request.m_Headers["bronzepass-priority"] = "interactive";
  CHECK(read(Request).m_Request.m_Caller.str() == "crew");
  CHECK(read(Request).m_Request.m_Priority == model::Priority::Interactive);
}

TEST_CASE("windows need a unit and are limited") {
  for (const char *Text :
       {"", "2", "s", "0s", "-1s", "2 s", "1h", "99999999999999999999ms"})
    CHECK_FALSE(callers::parseWindow(Text));
  CHECK(callers::parseWindow("2s") == std::chrono::seconds(2));
  pistache::HttpRequest Request = chatRequest("gas", "x");
  Request.m_Headers["bronzepass-window"] = "999999s";
  CHECK(read(Request).m_Request.m_Deadline ==
        Now + callers::WindowLimits{}.m_Max);
}

TEST_CASE("model names may include a version and an adapter") {
  const model::Request Full =
      read(chatRequest("gas@2+cartagena", "x")).m_Request;
  CHECK(Full.m_Model.str() == "gas");
  CHECK(Full.m_Version == "2");
  CHECK(Full.m_Adapter.str() == "cartagena");
  const traffic::CallerRequest ByAdapter = read(chatRequest("cartagena", "x"));
  CHECK(ByAdapter.m_Request.m_Model.str() == "gas");
  const nlohmann::json Sent = nlohmann::json::parse(
      traffic::bodyForModel("gas@1+cartagena", ByAdapter.m_Body));
  CHECK(Sent["model"] == "gas@1+cartagena");
  CHECK(Sent["max_tokens"] == 9);
}

TEST_CASE("prompts with a common prefix have equal hashes for that prefix") {
  const std::string Shared(700, 'a');
  const std::vector<uint64_t> First =
      read(chatRequest("gas", Shared + std::string(700, 'b')))
          .m_Request.m_PrefixHashes;
  const std::vector<uint64_t> Second =
      read(chatRequest("gas", Shared + std::string(700, 'c')))
          .m_Request.m_PrefixHashes;
  REQUIRE(First.size() == 5);
  CHECK(First[0] == Second[0]);
  CHECK(First[1] == Second[1]);
  CHECK(First[2] != Second[2]);
  CHECK(First[4] != Second[4]);
}

TEST_CASE("the hop header is ignored unless a node sent the request") {
  pistache::HttpRequest Request = chatRequest("gas", "x");
  Request.m_Headers["bronzepass-hop"] = "node-2/7";
  CHECK_FALSE(read(Request).m_Request.m_Forwarded);
  Request.m_PeerIp = "10.0.0.1";
  CHECK(read(Request).m_Request.m_Forwarded);
}

TEST_CASE("the path prefix of service calls is removed and their query kept") {
  pistache::HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Path = "/booking/confirm/7";
  Request.m_QueryText = "?slot=3";
  Request.m_Body = "not json";
  Request.m_Headers["idempotency-key"] = "k";
  const traffic::CallerRequest Call = read(Request);
  CHECK(Call.m_EndpointPath == "/confirm/7?slot=3");
  CHECK(Call.m_Path == "/booking/confirm/7?slot=3");
  CHECK_FALSE(Call.m_Request.m_Repeatable);
  CHECK(Call.m_KeyHash != 0);
  pistache::HttpRequest Other = Request;
  Other.m_Body = "another";
  CHECK(read(Other).m_KeyHash == Call.m_KeyHash);
  CHECK(read(Other).m_BodyHash != Call.m_BodyHash);
  Other.m_Headers["bronzepass-caller"] = "someone";
  CHECK(read(Other).m_KeyHash != Call.m_KeyHash);
  Request.m_Path = "/booking/slots";
  CHECK(read(Request).m_Request.m_Repeatable);
}

} // namespace bronzepass::unit_tests::adapters::http
