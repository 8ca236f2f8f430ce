#include "UnitTests/Fuzz/FuzzBodies.h"

#include "Core/Adapters/Codec/PeerCodec.h"
#include "Core/Adapters/Codec/RecordCodec.h"
#include "Core/Adapters/ObjectApi/ObjectApiCodec.h"
#include "Core/Adapters/Yaml/SettingsReader.h"
#include "Core/Adapters/Yaml/YamlIntentReader.h"
#include "Core/Membership/IntentReplicator.h"
#include "Core/Membership/MembershipView.h"
#include "Core/Model/Hash.h"
#include "UnitTests/Fakes/FixedRandom.h"

#include <cstdlib>
#include <variant>

using namespace bronzepass::core;
using bronzepass::core::adapters::codec::NumberedMessage;
using bronzepass::core::adapters::codec::PeerCodec;
using bronzepass::core::adapters::codec::RecordCodec;

namespace bronzepass::unit_tests::fuzz {

namespace {

void require(bool Holds) {
  if (!Holds)
    std::abort();
}

model::NodeInfo node(const std::string &Name) {
  return {.m_Node = model::NodeId(Name),
          .m_Vm = model::VmId("vm-" + Name),
          .m_Domain = model::DomainId("cairo-a"),
          .m_Region = model::RegionId("cairo"),
          .m_PeerAddress = {"10.0.0.1", 7000},
          .m_CallerAddress = {"10.0.0.1", 8000},
          .m_Incarnation = 5};
}

/// No message from a peer may crash the cores or make them send a message that
/// can't be encoded.
void deliverToCores(const ports::PeerMessage &Message) {
  fakes::FixedRandom Random(1);
  const adapters::yaml::YamlIntentReader Reader;
  uint64_t Calls = 0;
  membership::MembershipView View(node("self"), Random);
  membership::IntentReplicator Replicator(
      Reader,
      [&Calls](const ports::StoreCall &) { return model::CallId{++Calls}; },
      Random);
  model::TimePoint Now(std::chrono::hours(1));
  ports::EffectList Effects;
  View.start(Now, Effects);
  Replicator.start(Now, Effects);
  const model::NodeId Peer("peer");
  View.onPeerLinkChanged({Peer, true}, Now, Effects);
  Replicator.onPeerLinkChanged({Peer, true}, Now, Effects);
  const ports::PeerMessageReceived Received{Peer, Message};
  View.onPeerMessage({Peer, ports::Hello{1, node("peer")}}, Now, Effects);
  View.onPeerMessage(Received, Now, Effects);
  Replicator.onPeerMessage(Received, Now, Effects);
  for (int I = 0; I < 3; ++I) {
    Now += std::chrono::seconds(2);
    View.detectPause(Now, Effects);
    View.tick(Now, Effects);
    Replicator.tick(Now, Effects);
  }
  PeerCodec Codec;
  for (const ports::Effect &Effect : Effects)
    if (const auto *Send = std::get_if<ports::PeerSend>(&Effect))
      require(Codec.encode({1, Send->m_Message}).has_value());
}

bool peerMessage(std::string_view Bytes) {
  PeerCodec Codec;
  const std::optional<NumberedMessage> Message = Codec.decode(Bytes);
  if (!Message) {
    require(!Codec.lastReason().empty());
    return false;
  }
  const std::optional<std::string> Reencoded = Codec.encode(*Message);
  require(Reencoded && Codec.decode(*Reencoded) == Message);
  deliverToCores(Message->m_Message);
  return true;
}

bool storeRecord(std::string_view Bytes) {
  RecordCodec Codec;
  bool Accepted = false;
  for (size_t Kind = 0; Kind < std::variant_size_v<ports::StoreRecord>;
       ++Kind) {
    const auto Which = static_cast<ports::ObjectKind>(Kind);
    const std::optional<ports::StoreRecord> Record = Codec.decode(Which, Bytes);
    if (!Record)
      continue;
    Accepted = true;
    const std::optional<std::string> Reencoded = Codec.encode(*Record);
    require(Reencoded && Codec.decode(Which, *Reencoded) == Record);
  }
  return Accepted;
}

bool objectApiAnswer(std::string_view Bytes) {
  const std::string Body(Bytes);
  adapters::curl::TransferResult Transfer;
  Transfer.m_Complete = true;
  bool Accepted = false;
  for (const ports::StoreVerb Verb :
       {ports::StoreVerb::Get, ports::StoreVerb::List,
        ports::StoreVerb::Watch}) {
    const ports::StoreCall Call{.m_Id = {1},
                                .m_Verb = Verb,
                                .m_Key = {ports::ObjectKind::Lease, "pool-a"}};
    for (const int Status : {200, 409, 500}) {
      const ports::StoreAnswer Answer =
          adapters::object_api::readAnswer(Call, Status, Body, Transfer);
      // Unreadable lines of a watch are skipped.
      const bool HasObjects =
          Verb != ports::StoreVerb::Watch || !Answer.m_Objects.empty();
      Accepted |= Answer.m_Status == ports::StoreStatus::Ok && HasObjects;
    }
    adapters::object_api::readWatchLines(Call, Body);
  }
  return adapters::object_api::readVmList(Body).has_value() || Accepted;
}

bool intentText(std::string_view Bytes) {
  const ports::IntentReadResult Reading =
      adapters::yaml::YamlIntentReader().read(std::string(Bytes), "fuzz.yaml");
  require(Reading.m_Intent || !Reading.m_Findings.empty());
  return Reading.m_Intent.has_value();
}

bool settingsText(std::string_view Bytes) {
  const adapters::yaml::SettingsReadResult Reading =
      adapters::yaml::readSettings(std::string(Bytes), "fuzz.yaml");
  require(Reading.m_Settings || !Reading.m_Findings.empty());
  return Reading.m_Settings.has_value();
}

std::vector<std::string> messageSeeds() {
  const std::string Text = "models: []\n";
  const model::ArtifactId Artifact{model::ModelId("gas"), "1", {}};
  const std::vector<ports::PeerMessage> Messages = {
      ports::Hello{1, node("peer"), {3}},
      ports::Heartbeat{.m_Sequence = 2,
                       .m_Generation = {3},
                       .m_Leaving = true,
                       .m_NodeUpdates = {node("self"), node("other")},
                       .m_EndpointUpdates = {{model::EndpointId("e1"),
                                              model::Liveness::Suspect, 4}},
                       .m_Progress = {{3}, {1, 2, 3}}},
      ports::IntentOffer{{{4}, {model::stableHash(Text)}, "ana", "adds gas"}},
      ports::IntentPartsRequest{{1, 2}},
      ports::IntentPartReply{{model::stableHash(Text), Text}},
      ports::DemandReport{model::PoolId("p"), {{Artifact, 1, 2, 3, 4, 0.5}}},
      ports::UsageReport{{{model::CallerId("c"), 1, 2, 3}}},
      ports::ResidencyReply{{{model::EndpointId("e1"),
                              1,
                              model::TimePoint(std::chrono::seconds(1)),
                              {{Artifact, model::CopyState::Serving, 10}}}}}};
  std::vector<std::string> Seeds;
  for (const ports::PeerMessage &Message : Messages)
    Seeds.push_back(*PeerCodec().encode({1, Message}));
  return Seeds;
}

std::vector<std::string> recordSeeds() {
  const std::string Text = "models: []\n";
  const std::vector<ports::StoreRecord> Records = {
      model::IntentHead{{4}, {1, 2}, "ana", "adds gas"},
      model::IntentPart{model::stableHash(Text), Text},
      model::LeaseRecord{
          {"pool/a"}, model::NodeId("n1"), {7}, std::chrono::seconds(9), 41},
      model::EngineLedger{.m_Endpoint = model::EndpointId("e1"),
                          .m_MemoryBytes = 80,
                          .m_Token = {7},
                          .m_Entries = {model::LedgerEntry()}},
      model::ClaimShardRecord{.m_Shard = 4,
                              .m_Writer = model::NodeId("n2"),
                              .m_Epoch = {3},
                              .m_Sequence = 17,
                              .m_Claims = {model::ClaimRecord()}}};
  std::vector<std::string> Seeds;
  for (const ports::StoreRecord &Record : Records)
    Seeds.push_back(*RecordCodec().encode(Record));
  return Seeds;
}

std::vector<std::string> answerSeeds() {
  const std::string Object =
      R"({"metadata":{"name":"pool-a","resourceVersion":"7"},"spec":)" +
      recordSeeds()[2] + "}";
  const std::string List =
      R"({"metadata":{"resourceVersion":"9"},"items":[)" + Object + "]}";
  const std::string Watch = R"({"type":"ADDED","object":)" + Object + "}\n";
  const std::string Vms =
      R"({"items":[{"name":"vm-1","kind":"entry","state":"live"}]})";
  return {Object, List, Watch, Vms};
}

std::vector<std::string> intentSeeds() {
  return {R"(name: nile
weights: {attainment: 1, move: 2}
models:
  - name: gas
    labels: {use: booking}
    versions:
      - {version: "1", memory: 14GiB, load-time: 40s}
pools:
  - name: assistants
    kind: engine
    endpoints:
      - {name: e1, vm: vm-e1, address: "10.20.1.11:8000", failure-domain: giza, region: cairo, memory: 80GiB, accelerators: 4, slots: 32}
)"};
}

std::vector<std::string> settingsSeeds() {
  return {R"(node: {vm: entry-1, failure-domain: a, region: r}
listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2", operators: "127.0.0.1:3"}
platform: {object-api: "127.0.0.1:4"}
timeouts: {connect: 250ms}
)"};
}

} // namespace

std::vector<FuzzTarget> fuzzTargets() {
  return {{"peer-message", peerMessage, messageSeeds()},
          {"store-record", storeRecord, recordSeeds()},
          {"object-api-answer", objectApiAnswer, answerSeeds()},
          {"intent", intentText, intentSeeds()},
          {"settings", settingsText, settingsSeeds()}};
}

FuzzTarget fuzzTarget(std::string_view Name) {
  for (FuzzTarget &Target : fuzzTargets())
    if (Target.m_Name == Name)
      return Target;
  std::abort();
}

} // namespace bronzepass::unit_tests::fuzz
