#include "platform/StoreCalls.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

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

namespace {

/// An entry's content, or a part of it, that another writer left.
struct Damage {
  std::string m_Kind;
  std::string m_Spec;
};

std::string nested(const char *Open, const char *Close, size_t Levels) {
  std::string Text;
  for (size_t I = 0; I < Levels; ++I)
    Text += Open;
  Text += "1";
  for (size_t I = 0; I < Levels; ++I)
    Text += Close;
  return Text;
}

std::vector<Damage> damages() {
  return {
      {"bytes that are no text", "{\"Zone\":\"\xff\xfe\"}"},
      {"bytes that are no text in a key", "{\"\xff\":1}"},
      {"half a character", R"({"Zone":"\udcff"})"},
      {"a number too large", R"({"Slots":1e400})"},
      {"nested lists", R"({"Models":)" + nested("[", "]", 200000) + "}"},
      {"nested objects",
       R"({"Models":)" + nested("{\"a\":", "}", 200000) + "}"},
      {"a line feed in a text", "{\"Zone\":\"a\nb\"}"},
      {"no JSON", "{\"Zone\":nonsense}"},
  };
}

std::string item(const std::string &Name, int Revision,
                 const std::string &Spec) {
  return R"({"Metadata":{"Name":")" + Name + R"(","Revision":)" +
         std::to_string(Revision) + R"(},"Spec":)" + Spec + "}";
}

} // namespace

// Guards against one entry of another writer that hides all others, or ends the
// process.
TEST_CASE("a list and a watch with one damaged entry are read like those "
          "without it, and the entry has no content") {
  const std::string Before = item("a", 5, R"({"x":"\"}],{"})");
  const std::string After = item("c", 7, R"({"y":[1,{"z":null}]})");
  FeedCall Watch;
  Watch.m_Verb = FeedCall::Verb::Watch;
  for (const Damage &Each : damages()) {
    CAPTURE(Each.m_Kind);
    const std::string Odd = item("b", 6, Each.m_Spec);
    const core::gateway::FeedAnswer Listed =
        readFeed({}, {200,
                      R"({"items":[)" + Before + "," + Odd + "," + After +
                          R"(],"HasMore":true,"At":9})",
                      false});
    const core::gateway::FeedAnswer Watched = readFeed(
        Watch, {200,
                R"({"At":9, "events" : [{"Object":)" + Before +
                    R"(,"Tombstone":false},{"Tombstone":false,"Object":)" +
                    Odd + R"(},{"Object":)" + After + "}]}",
                false});
    CHECK(Listed.m_HasMore);
    for (const core::gateway::FeedAnswer &Answer : {Listed, Watched}) {
      REQUIRE(Answer.m_Status == FeedStatus::Ok);
      CHECK(Answer.m_Revision == 9);
      REQUIRE(Answer.m_Objects.size() == 3);
      CHECK(Answer.m_Objects[0].m_Content == R"({"x":"\"}],{"})");
      CHECK(Answer.m_Objects[1].m_Name == "b");
      CHECK(Answer.m_Objects[1].m_Content.empty());
      CHECK(Answer.m_Objects[2].m_Content == R"({"y":[1,{"z":null}]})");
      CHECK(Answer.m_Unreadable.empty());
    }
  }
}

TEST_CASE("an object without a readable name or revision is left out and "
          "named by its place") {
  for (const std::string &Odd :
       {std::string("7"), std::string("null"), std::string("{}"),
        std::string(R"({"Metadata":[]})"),
        std::string(R"({"Metadata":{"Name":"b"}})"),
        std::string(R"({"Metadata":{"Name":7,"Revision":6}})"),
        std::string(R"({"Metadata":{"Name":"b","Revision":-6}})"),
        std::string(R"({"Metadata":{"Name":"b","Revision":1e400}})"),
        std::string("{\"Metadata\":{\"Name\":\"\xff\",\"Revision\":6}}"),
        nested("[", "]", 200000), nested("{\"Metadata\":", "}", 200000)}) {
    CAPTURE(Odd.substr(0, 60));
    const core::gateway::FeedAnswer Answer = readFeed(
        {},
        {200, R"({"items":[)" + Odd + "," + item("c", 7, "{}") + R"(],"At":9})",
         false});
    REQUIRE(Answer.m_Status == FeedStatus::Ok);
    REQUIRE(Answer.m_Objects.size() == 1);
    CHECK(Answer.m_Objects[0].m_Name == "c");
    CHECK(Answer.m_Unreadable == std::vector<std::string>{"items/0"});
  }
}

TEST_CASE("a lease record or a node's entry that another writer left is none") {
  for (const Damage &Each : damages()) {
    CAPTURE(Each.m_Kind);
    CHECK(readStore(leaseCall(ports::StoreVerb::Get),
                    {200, item("placement", 413, Each.m_Spec), false})
              .m_Status == ports::StoreStatus::Unknown);
    CHECK_FALSE(readNode("n", Each.m_Spec).m_Value);
  }
}

TEST_CASE("names in a query are encoded") {
  FeedCall Call;
  Call.m_After = "a b&Watch=1\xff";
  CHECK(feedCall(FeedKind::Endpoints, Call).m_Target ==
        "/objects/servers?after=a%20b%26Watch%3D1%FF");
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
