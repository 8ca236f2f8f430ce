#include "platform/ConfigReader.h"

#include <doctest/doctest.h>

namespace bronzepass::platform {

namespace {

const char *const Config = R"({"Version":7,
"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/","Kind":"stream","TimeoutMs":20000,
  "SloMs":3000,"Priority":1,"Service":"s","MaxAttempts":2,"SessionAffinity":true,
  "AllowResume":true,"GapTargetMs":250},
 {"Name":"q","Host":"h","PathPrefix":"/q/","Kind":"non_idempotent","TimeoutMs":600,
  "Split":[{"Service":"s","Weight":90},{"Service":"t","Weight":10}]}],
"Services":[{"Name":"s","MaxConns":290,"Engine":{"Slots":48,"WeightsMb":200000.0,
  "AdapterSlots":8,"LoadsPerS":2.2,"Models":[{"Name":"m","WeightsMb":65099.99999999999,
  "LoadTimeS":3.8,"Adapters":37,"AdapterMb":40.0}]}},{"Name":"t"}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
  "IdleTimeoutMs":15000},"SomethingNew":[1]})";

} // namespace

TEST_CASE("a configuration is read completely and unknown fields are ignored") {
  const core::gateway::Decoded<core::gateway::GatewayConfig> Parsed =
      readConfig(Config);
  REQUIRE(Parsed.m_Value);
  const core::gateway::GatewayConfig &Read = *Parsed.m_Value;
  CHECK(Read.m_Version == 7);
  CHECK(Read.m_Routes[0].m_Stream);
  CHECK(Read.m_Routes[0].m_Resumable);
  CHECK(Read.m_Routes[0].m_EventGapTarget == std::chrono::milliseconds(250));
  CHECK_FALSE(Read.m_Routes[1].m_Repeatable);
  CHECK(Read.m_Routes[1].m_Services.size() == 2);
  const core::gateway::EngineSpec &Engine = *Read.m_Services[0].m_Engine;
  // Rounded up.
  CHECK(Engine.m_Models[0].m_WeightsMb == 65100);
  CHECK(Engine.m_Models[0].m_LoadTime == std::chrono::milliseconds(3800));
  CHECK_FALSE(Read.m_Services[1].m_Engine);
}

TEST_CASE("organisations are read with digests of their keys") {
  const core::gateway::Decoded<core::gateway::GatewayConfig> Parsed = readConfig(
      R"({"Version":7,"Routes":[{"Host":"h","PathPrefix":"/p/","Kind":"stream",
"Service":"s","AllowAnonymous":true}],"Tenants":[{"Name":"o","ApiKeys":["k","l"],
"Priority":1,"Unit":"tokens","PlainTokens":200,"RatePerS":4200,"Burst":8400},
{"Name":"p","ApiKeys":[],"RatePerS":0}]})");
  REQUIRE(Parsed.m_Value);
  CHECK(Parsed.m_Value->m_Routes[0].m_IsOpen);
  REQUIRE(Parsed.m_Value->m_Organisations);
  const core::organisations::OrganisationSpec &First =
      (*Parsed.m_Value->m_Organisations)[0];
  CHECK(First.m_Name == "o");
  CHECK(First.m_Keys == std::vector<core::organisations::KeyDigest>{
                            core::organisations::digestOf("k"),
                            core::organisations::digestOf("l")});
  CHECK(First.m_Priority == 1);
  REQUIRE(First.m_Quota);
  CHECK(*First.m_Quota ==
        core::organisations::QuotaSpec{
            core::organisations::QuotaSpec::Unit::Tokens, 4200, 8400, 200});
  const core::organisations::OrganisationSpec &Second =
      (*Parsed.m_Value->m_Organisations)[1];
  CHECK_FALSE(Second.m_Priority);
  CHECK_FALSE(Second.m_Quota);
  CHECK_FALSE(readConfig(Config).m_Value->m_Organisations);
}

TEST_CASE("an organisation's name has to fit into a header") {
  const auto Reads = [](const std::string &Name) {
    return readConfig(R"({"Version":7,"Tenants":[{"Name":")" + Name + "\"}]}")
        .m_Value.has_value();
  };
  CHECK(Reads("Lab 1, north"));
  CHECK(Reads("\xc3\xa9"));
  for (const std::string &Odd :
       {std::string("a\\r\\nX-B: c"), std::string(" a"), std::string("a "),
        std::string("a\x7f"), std::string(257, 'n')}) {
    CAPTURE(Odd);
    CHECK_FALSE(Reads(Odd));
  }
}

TEST_CASE("a configuration without keys reads the same") {
  const std::string Keyed =
      R"({"Version":7,"Routes":[{"Host":"h","PathPrefix":"/p/","Kind":"stream",
"Service":"s"}],"Tenants":[{"Name":"o","ApiKeys":["secret-1","secret-2"],
"Priority":1,"Unit":"tokens","PlainTokens":200,"RatePerS":4200.5,"Burst":8400},
{"Name":"p"}]})";
  const std::string Hidden = withoutKeys(Keyed);
  CHECK(Hidden.find("secret") == std::string::npos);
  REQUIRE(readConfig(Hidden).m_Value);
  CHECK(*readConfig(Hidden).m_Value == *readConfig(Keyed).m_Value);
  CHECK(withoutKeys(Hidden) == Hidden);
  CHECK(withoutKeys(Config) == Config);
}

TEST_CASE("what can't be read of a configuration is not passed on") {
  for (const char *const Odd :
       {R"({"Version":7,"Tenants":[{"Name":"o","ApiKeys":"secret"}]})",
        R"({"Version":7,"Tenants":[{"Name":"o","ApiKeys":[["secret"]]}]})",
        R"({"Version":7,"Tenants":["secret"]})",
        R"({"Version":7,"Tenants":"secret"})",
        R"({"Version":7,"Tenants":[{"ApiKeys":["secret"]})", R"(["secret"])"}) {
    CAPTURE(Odd);
    CHECK_FALSE(readConfig(Odd).m_Value);
    CHECK(withoutKeys(Odd).find("secret") == std::string::npos);
    CHECK_FALSE(readConfig(withoutKeys(Odd)).m_Value);
  }
}

TEST_CASE("every error in a configuration is reported with its path") {
  const core::gateway::Decoded<core::gateway::GatewayConfig> Parsed = readConfig(
      R"({"Version":"x","Routes":[{"Host":"h","PathPrefix":"/p/","Kind":"odd"}]})");
  CHECK_FALSE(Parsed.m_Value);
  REQUIRE(Parsed.m_Findings.size() == 3);
  CHECK(Parsed.m_Findings[0].m_Location.m_File == "config/Version");
  CHECK(Parsed.m_Findings[1].m_Location.m_File == "config/Routes/0/Kind");
  CHECK(Parsed.m_Findings[2].m_Location.m_File == "config/Routes/0/Service");
  CHECK_FALSE(readConfig("{").m_Value);
  CHECK_FALSE(readConfig("[]").m_Value);
}

} // namespace bronzepass::platform
