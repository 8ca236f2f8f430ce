#include "platform/StreamRecords.h"

#include "platform/PlatformDialect.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace bronzepass::unit_tests::platform {

namespace gateway = core::gateway;
namespace dialect = bronzepass::platform;
using namespace std::chrono_literals;
using nlohmann::json;
using Verb = gateway::StreamRecordCall::Verb;

TEST_CASE("a record of streams is read as it was written") {
  const gateway::StreamNotice Record{
      {{1, "v1"}, {~0ULL, "v1"}, {0x0123456789abcdefULL, "v2"}},
      {{"desk", 1500ms}}};
  const gateway::HttpCall Call =
      dialect::streamRecordCall({Verb::Replace, "", "1", Record});
  CHECK(Call.m_Method == "PUT");
  CHECK(Call.m_Target == "/objects/bronzepass-streams/1");
  const json Body = json::parse(Call.m_Body);
  CHECK(Body["Metadata"]["Name"] == "1");
  CHECK(dialect::readStreamRecord("1", Body["Spec"].dump()).m_Value == Record);
}

TEST_CASE("calls on records of streams") {
  CHECK(dialect::streamRecordCall({Verb::List, "", "", {}}).m_Target ==
        "/objects/bronzepass-streams");
  CHECK(dialect::streamRecordCall({Verb::List, "1", "", {}}).m_Target ==
        "/objects/bronzepass-streams?after=1");
  CHECK(dialect::streamRecordCall({Verb::Remove, "", "2", {}}).m_Method ==
        "DELETE");
  CHECK(dialect::streamRecordCall({Verb::Create, "", "0", {}}).m_Method ==
        "POST");
  const dialect::PlatformDialect Dialect;
  CHECK(Dialect.readWrite({.m_Status = 201}) == gateway::WriteResult::Done);
  CHECK(Dialect.readWrite({.m_Status = 404}) == gateway::WriteResult::NotFound);
  CHECK(Dialect.readWrite({.m_Status = 409}) ==
        gateway::WriteResult::AlreadyExists);
  CHECK(Dialect.readWrite({.m_Status = 429}) == gateway::WriteResult::Failed);
  CHECK(Dialect.readWrite({}) == gateway::WriteResult::Failed);
}

TEST_CASE("a record that another writer left is no record") {
  for (const char *const Text :
       {"", "[]", "null", R"({"origins":[{"version":"v1","streams":"12"}]})",
        R"({"origins":[{"version":"v1","streams":"000000000000000g"}]})",
        R"({"origins":[{"version":1,"streams":"0000000000000001"}]})",
        R"({"origins":{}})",
        R"({"mixedServices":[{"name":"s","remainingMs":-1}]})",
        R"({"mixedServices":[{"name":"s","remainingMs":1e400}]})"}) {
    CAPTURE(Text);
    const gateway::Decoded<gateway::StreamNotice> Parsed =
        dialect::readStreamRecord("0", Text);
    CHECK_FALSE(Parsed.m_Value);
    CHECK_FALSE(Parsed.m_Findings.empty());
  }
}

} // namespace bronzepass::unit_tests::platform
