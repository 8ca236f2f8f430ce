#include "Core/Adapters/Codec/PeerCodec.h"
#include "Core/Adapters/Codec/WireFormat.h"
#include "Core/Model/Hash.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace bronzepass::core;
using adapters::codec::MaxMessageBytes;
using adapters::codec::NumberedMessage;
using adapters::codec::PeerCodec;
using ports::PeerMessage;

namespace bronzepass::unit_tests::adapters::codec {

namespace {

model::NodeInfo sampleNode() {
  return {model::NodeId("n1"),        model::VmId("vm-1"),
          model::DomainId("cairo-a"), model::RegionId("cairo"),
          {"10.0.0.1", 7000},         {"10.0.0.1", 8000},
          model::Liveness::Suspect,   3};
}

std::vector<PeerMessage> sampleMessages() {
  const std::string Text = "pools: []\n";
  const model::ArtifactId Artifact{model::ModelId("m"), "1", {}};
  const model::EngineReport Report{model::EndpointId("e1"),
                                   5,
                                   model::TimePoint(model::Duration(99)),
                                   {{Artifact, model::CopyState::Serving, 10}},
                                   100,
                                   20,
                                   3,
                                   4,
                                   {8}};
  return {
      ports::Hello{1, sampleNode(), {9}},
      ports::Heartbeat{1,
                       {9},
                       true,
                       {sampleNode()},
                       {{model::EndpointId("e1"), model::Liveness::Leaving, 2}},
                       {{9}, {1, UINT64_MAX}},
                       4,
                       5,
                       true},
      ports::IntentOffer{{{9}, {1, 2}, "ana", "s"}},
      ports::IntentPartsRequest{{1, UINT64_MAX}},
      ports::IntentPartReply{{model::stableHash(Text), Text}},
      ports::ClaimRequest{1, 2, 3, 4, 5},
      ports::ClaimReply{1, ports::ClaimVerdictKind::NotOwner, 200, "\xff",
                        model::NodeId("n2"), true},
      ports::ClaimOutcome{1, 2, model::ClaimState::Released, 0, ""},
      ports::DemandReport{model::PoolId("p"), {{Artifact, 1, 2, 3, 4, 0.25}}},
      ports::UsageReport{{{model::CallerId("c"), 1.5, 2.5, 3}}},
      ports::ResidencyOffer{{{model::EndpointId("e1"), Report.m_MadeAt}}},
      ports::ResidencyRequest{{model::EndpointId("e1")}},
      ports::ResidencyReply{{Report}},
      ports::FenceRequest{{"pool/assistants"}, {8}},
      ports::FenceAck{{"pool/assistants"}, {8}}};
}

std::string cbor(const nlohmann::json &Json) {
  std::string Bytes;
  nlohmann::json::to_cbor(Json, Bytes);
  return Bytes;
}

nlohmann::json heartbeat() {
  return {{"type", "heartbeat"},
          {"number", 3},
          {"body", {{"sequence", 1}, {"generation", 2}}}};
}

} // namespace

TEST_CASE("every message type survives encoding and decoding") {
  PeerCodec Codec;
  const std::vector<PeerMessage> Messages = sampleMessages();
  REQUIRE(Messages.size() == std::variant_size_v<PeerMessage>);
  for (const PeerMessage &Message : Messages) {
    const std::optional<std::string> Bytes = Codec.encode({7, Message});
    REQUIRE(Bytes);
    const std::optional<NumberedMessage> Decoded = Codec.decode(*Bytes);
    REQUIRE_MESSAGE(Decoded, Codec.lastReason());
    CHECK(*Decoded == NumberedMessage{7, Message});
  }
}

TEST_CASE("an unknown field in a message is ignored") {
  PeerCodec Codec;
  nlohmann::json Json = heartbeat();
  Json["body"]["mood"] = {1, 2};
  CHECK(Codec.decode(cbor(Json)));
}

TEST_CASE("a malformed message is rejected with a reason") {
  PeerCodec Codec;
  nlohmann::json UnknownType = heartbeat();
  UnknownType["type"] = "gossip";
  nlohmann::json NoNumber = heartbeat();
  NoNumber.erase("number");
  nlohmann::json NotFinite = {
      {"type", "usageShare"},
      {"number", 1},
      {"body", {{"usage", {{{"caller", "c"}, {"tokens", NAN}}}}}}};
  nlohmann::json LongName = heartbeat();
  LongName["body"]["endpointNews"] = {
      {{"endpoint", std::string(10'000, 'e')}, {"liveness", "live"}}};
  constexpr size_t Deep = 400'000;
  const std::vector<std::string> Malformed = {
      "",
      "x",
      cbor(UnknownType),
      cbor(NoNumber),
      cbor(NotFinite),
      cbor(LongName),
      cbor(heartbeat()) + "x",
      std::string(Deep, '\x81'),
      std::string(Deep, '\x7f'),
      std::string(Deep, '\x5f'),
      std::string(MaxMessageBytes + 1, '\x00')};
  for (const std::string &Bytes : Malformed) {
    CHECK_FALSE(Codec.decode(Bytes));
    CHECK_FALSE(Codec.lastReason().empty());
  }
}

} // namespace bronzepass::unit_tests::adapters::codec
