#include "Core/Adapters/Codec/PeerCodec.h"

#include "Core/Adapters/Codec/FieldReader.h"
#include "Core/Adapters/Codec/FieldWriter.h"
#include "Core/Adapters/Codec/JsonParser.h"
#include "Core/Adapters/Codec/MessageFields.h"
#include "Core/Model/Hash.h"

#include <algorithm>
#include <array>

namespace bronzepass::core::adapters::codec {

namespace {

/// Wire names of the message types, in the order of the variant's alternatives.
constexpr std::array<std::string_view, std::variant_size_v<ports::PeerMessage>>
    TypeNames = {
        "hello",          "heartbeat",  "intentOffer",    "intentPartsWanted",
        "intentPartSent", "claimAsk",   "claimReply",     "claimOutcome",
        "demandShare",    "usageShare", "residencyOffer", "residencyWanted",
        "residencyShare", "fenceAsk",   "fenceAck"};

/// The fields of a message other than its body.
struct Envelope {
  std::string m_Type;
  uint64_t m_Number = 0;
};

template <size_t Index = 0>
ports::PeerMessage readBody(size_t Type, const nlohmann::json &Body,
                            std::string &Reason) {
  if constexpr (Index < TypeNames.size()) {
    using MessageT = std::variant_alternative_t<Index, ports::PeerMessage>;
    if (Type == Index)
      return FieldReader::readObject<MessageT>(Body, Reason);
    return readBody<Index + 1>(Type, Body, Reason);
  } else {
    Reason = "unknown type of message";
    return {};
  }
}

bool hasWrongHash(const ports::PeerMessage &Message) {
  const ports::IntentPartReply *Sent =
      std::get_if<ports::IntentPartReply>(&Message);
  return Sent && Sent->m_Part.m_Hash != model::stableHash(Sent->m_Part.m_Text);
}

} // namespace

template <> struct Fields<Envelope> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("type", Value.m_Type);
    Visitor.required("number", Value.m_Number);
  }
};

std::optional<std::string> PeerCodec::encode(const NumberedMessage &Message) {
  m_LastReason.clear();
  try {
    const Envelope Header{std::string(typeName(Message.m_Message)),
                          Message.m_Number};
    nlohmann::json Json = FieldWriter::writeObject(Header, WireFormat::Binary);
    Json["body"] = std::visit(
        [](const auto &Value) {
          return FieldWriter::writeObject(Value, WireFormat::Binary);
        },
        Message.m_Message);
    std::string Bytes;
    nlohmann::json::to_cbor(Json, Bytes);
    if (Bytes.size() <= MaxMessageBytes)
      return Bytes;
    m_LastReason = "larger than " + std::to_string(MaxMessageBytes) + " bytes";
  } catch (const std::exception &Error) {
    m_LastReason = Error.what();
  }
  return std::nullopt;
}

std::optional<NumberedMessage> PeerCodec::decode(std::string_view Bytes) {
  m_LastReason.clear();
  const std::optional<nlohmann::json> Json =
      parseJson(Bytes, WireFormat::Binary, MaxMessageBytes, m_LastReason);
  if (!Json)
    return std::nullopt;
  const Envelope Header =
      FieldReader::readObject<Envelope>(*Json, m_LastReason);
  if (!m_LastReason.empty())
    return std::nullopt;
  const auto Type =
      std::find(TypeNames.begin(), TypeNames.end(), Header.m_Type);
  const auto Body = Json->find("body");
  if (Body == Json->end()) {
    m_LastReason = "field 'body': missing";
    return std::nullopt;
  }
  NumberedMessage Message{Header.m_Number, {}};
  Message.m_Message = readBody(Type - TypeNames.begin(), *Body, m_LastReason);
  if (m_LastReason.empty() && hasWrongHash(Message.m_Message))
    m_LastReason = "the text does not match its hash";
  if (!m_LastReason.empty())
    return std::nullopt;
  return Message;
}

std::string_view typeName(const ports::PeerMessage &Message) {
  return TypeNames.at(Message.index());
}

} // namespace bronzepass::core::adapters::codec
