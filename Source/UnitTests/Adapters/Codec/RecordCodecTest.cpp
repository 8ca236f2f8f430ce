#include "Core/Adapters/Codec/RecordCodec.h"
#include "Core/Adapters/Codec/WireFormat.h"
#include "Core/Model/Hash.h"

#include <chrono>
#include <doctest/doctest.h>

using namespace bronzepass::core;
using adapters::codec::kindOf;
using adapters::codec::MaxRecordBytes;
using adapters::codec::RecordCodec;
using ports::ObjectKind;
using ports::StoreRecord;

namespace bronzepass::unit_tests::adapters::codec {

namespace {

std::vector<StoreRecord> sampleRecords() {
  const std::string Text = "models: []\n";
  const model::LeaseRecord Lease{{"pool/assistants"},
                                 model::NodeId("n1"),
                                 {7},
                                 std::chrono::seconds(9),
                                 41};
  const model::LedgerEntry Entry{
      .m_Artifact = {model::ModelId("gas"), "2", model::AdapterId("barge")},
      .m_MemoryBytes = 12'000'000,
      .m_LastOrder = model::OrderKind::Unload,
      .m_OrderId = {3},
      .m_Token = {7},
      .m_Writer = model::NodeId("n1"),
      .m_Settled = true,
      .m_UnsettledOrders = {
          {model::NodeId("n0"), {6}, model::OrderKind::Load}}};
  const model::EngineLedger Ledger{
      .m_Endpoint = model::EndpointId("engine-1"),
      .m_MemoryBytes = 80'000'000'000,
      .m_Token = {7},
      .m_Writer = model::NodeId("n1"),
      .m_Revision = 5,
      .m_Role = {model::EngineRole::Decode, {6}, false},
      .m_Entries = {Entry}};
  const model::ClaimRecord Claim{
      UINT64_MAX,
      5,
      model::ClaimState::Done,
      model::NodeId("n2"),
      9,
      model::TimePoint(std::chrono::seconds(1'800'000'000)),
      200,
      "\xff\x01\xfe"};
  return {model::IntentHead{{12}, {UINT64_MAX, 1}, "ana", "adds a model"},
          model::IntentPart{model::stableHash(Text), Text}, Lease, Ledger,
          model::ClaimShardRecord{
              4, 64, model::NodeId("n2"), {3}, 17, {{{3}, 1, {}}}, {Claim}}};
}

} // namespace

TEST_CASE("every record kind survives encoding and decoding") {
  RecordCodec Codec;
  for (const StoreRecord &Record : sampleRecords()) {
    const std::optional<std::string> Text = Codec.encode(Record);
    REQUIRE(Text);
    const ObjectKind Kind = kindOf(Record);
    const std::optional<StoreRecord> Decoded = Codec.decode(Kind, *Text);
    REQUIRE_MESSAGE(Decoded, Codec.lastReason());
    CHECK(*Decoded == Record);
  }
}

TEST_CASE("hashes are written as hexadecimal strings, not as numbers") {
  RecordCodec Codec;
  const std::optional<std::string> Text =
      Codec.encode(model::IntentHead{{12}, {UINT64_MAX}, "", ""});
  REQUIRE(Text);
  CHECK(Text->find("\"ffffffffffffffff\"") != std::string::npos);
}

TEST_CASE("an unknown field in a record is ignored") {
  RecordCodec Codec;
  const std::string Text =
      R"({"format":1,"generation":3,"parts":[],"colour":{"a":[1]}})";
  const std::optional<StoreRecord> Decoded =
      Codec.decode(ObjectKind::IntentHead, Text);
  REQUIRE(Decoded);
  CHECK(std::get<model::IntentHead>(*Decoded).m_Generation.m_Value == 3);
}

TEST_CASE("a malformed record is rejected with a reason") {
  RecordCodec Codec;
  const std::vector<std::string> Damaged = {
      "",
      "null",
      "{",
      R"({"format":2,"generation":3,"parts":[]})",
      R"({"generation":3,"parts":[]})",
      R"({"format":1,"parts":[]})",
      R"({"format":1,"generation":-3,"parts":[]})",
      R"({"format":1,"generation":3.5,"parts":[]})",
      R"({"format":1,"generation":3,"parts":["xyz"]})",
      std::string(100'000, '['),
      std::string(MaxRecordBytes + 1, ' ')};
  for (const std::string &Text : Damaged) {
    CHECK_FALSE(Codec.decode(ObjectKind::IntentHead, Text));
    CHECK_FALSE(Codec.lastReason().empty());
  }
}

TEST_CASE("an intent part whose text does not match its hash is rejected") {
  RecordCodec Codec;
  CHECK_FALSE(Codec.decode(ObjectKind::IntentPart,
                           R"({"format":1,"hash":"1","text":"models: []"})"));
}

TEST_CASE("a record larger than the object API's limit is not encoded") {
  RecordCodec Codec;
  const std::string Text(MaxRecordBytes, 'x');
  CHECK_FALSE(Codec.encode(model::IntentPart{1, Text}));
  CHECK_FALSE(Codec.lastReason().empty());
}

} // namespace bronzepass::unit_tests::adapters::codec
