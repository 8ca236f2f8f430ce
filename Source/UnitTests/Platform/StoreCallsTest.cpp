#include "platform/StoreCalls.h"

#include <doctest/doctest.h>

namespace bronzepass::platform {

namespace {

using core::gateway::FeedCall;
using core::gateway::FeedKind;
using core::gateway::FeedStatus;
using core::gateway::HttpResult;
namespace ports = core::ports;

ports::StoreCall leaseCall(ports::StoreVerb Verb) {
  ports::StoreCall Call;
  Call.m_Verb = Verb;
  Call.m_Key = {ports::ObjectKind::Lease, "placement"};
  Call.m_Expected = {412};
  core::model::LeaseRecord Record;
  Record.m_Holder = core::model::NodeId("n");
  Record.m_Token = {7};
  Call.m_Record = Record;
  return Call;
}

} // namespace

TEST_CASE("list, page and watch calls have the store's query format") {
  FeedCall Call;
  CHECK(feedCall(FeedKind::Endpoints, Call).m_Target == "/objects/servers");
  Call.m_After = "i-7";
  Call.m_MayBeStale = true;
  CHECK(feedCall(FeedKind::Endpoints, Call).m_Target ==
        "/objects/servers?after=i-7&AllowStale=1");
  Call.m_Verb = FeedCall::Verb::Watch;
  Call.m_Revision = 530;
  Call.m_Wait = std::chrono::seconds(2);
  CHECK(feedCall(FeedKind::Config, Call).m_Target ==
        "/objects/config?Watch=530&WaitMs=2000");
}

TEST_CASE("events, tombstones and lost history are distinguished") {
  FeedCall Watch;
  Watch.m_Verb = FeedCall::Verb::Watch;
  const core::gateway::FeedAnswer Answer = readFeed(
      Watch,
      {200,
       R"({"events":[{"Tombstone":false,"Object":{"Metadata":{"Name":"a","Revision":5},"Spec":{"x":1}}},
{"Tombstone":true,"Object":{"Metadata":{"Name":"b","Revision":6}}},{"odd":1}],"At":6})",
       false});
  REQUIRE(Answer.m_Status == FeedStatus::Ok);
  REQUIRE(Answer.m_Objects.size() == 2);
  CHECK(Answer.m_Objects[0].m_Content == R"({"x":1})");
  CHECK(Answer.m_Objects[1].m_Deleted);
  CHECK(Answer.m_Revision == 6);
  CHECK(readFeed(Watch, {410, "", false}).m_Status == FeedStatus::HistoryGone);
  for (const HttpResult &Bad :
       {HttpResult{503, "", false}, HttpResult{200, "nonsense", false},
        HttpResult{200, R"({"events":[]})", false}, HttpResult{0, "", true}})
    CHECK(readFeed(Watch, Bad).m_Status == FeedStatus::Failed);
}

TEST_CASE("a lease record is written and read back with its revision") {
  const std::optional<core::gateway::HttpCall> Encoded =
      storeCall(leaseCall(ports::StoreVerb::Update));
  REQUIRE(Encoded);
  CHECK(Encoded->m_Method == "PUT");
  CHECK(Encoded->m_Target == "/objects/bronzepass-leases/placement");
  CHECK(Encoded->m_Body.find(R"("Revision":412)") != std::string::npos);
  const ports::StoreAnswer Answer = readStore(
      leaseCall(ports::StoreVerb::Update),
      {200,
       R"({"Metadata":{"Name":"placement","Revision":413},"Spec":)" +
           Encoded->m_Body.substr(Encoded->m_Body.find("\"Spec\":") + 7),
       false});
  REQUIRE(Answer.m_Status == ports::StoreStatus::Ok);
  CHECK(Answer.m_Objects[0].m_Version.m_Value == 413);
  CHECK(std::get<core::model::LeaseRecord>(Answer.m_Objects[0].m_Record)
            .m_Token.m_Value == 7);
}

TEST_CASE("a lost answer is unknown, a rejected call was not executed, and an "
          "unreadable record is never mistaken for a free lease") {
  const ports::StoreCall Call = leaseCall(ports::StoreVerb::Update);
  CHECK(readStore(Call, {0, "", false}).m_Status ==
        ports::StoreStatus::Unknown);
  CHECK(readStore(Call, {0, "", true}).m_Status == ports::StoreStatus::NotSent);
  CHECK(readStore(Call, {503, "", false}).m_Status ==
        ports::StoreStatus::NotSent);
  CHECK(readStore(Call, {409, "{}", false}).m_Status ==
        ports::StoreStatus::Conflict);
  CHECK(readStore(Call,
                  {200,
                   R"({"Metadata":{"Name":"placement","Revision":1},"Spec":7})",
                   false})
            .m_Status == ports::StoreStatus::Unknown);
}

TEST_CASE("a node's port beyond 65535 is an error, not another port") {
  CHECK(readNode("n", R"({"ip":"10.0.0.1","port":65535})").m_Value);
  CHECK_FALSE(readNode("n", R"({"ip":"10.0.0.1","port":65537})").m_Value);
  CHECK_FALSE(readNode("n", R"({"ip":"10.0.0.1","port":0})").m_Value);
}

} // namespace bronzepass::platform
