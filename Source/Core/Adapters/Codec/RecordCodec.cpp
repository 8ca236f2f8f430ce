#include "Core/Adapters/Codec/RecordCodec.h"

#include "Core/Adapters/Codec/FieldReader.h"
#include "Core/Adapters/Codec/FieldWriter.h"
#include "Core/Adapters/Codec/JsonParser.h"
#include "Core/Adapters/Codec/ModelFields.h"
#include "Core/Model/Hash.h"

namespace bronzepass::core::adapters::codec {

namespace {

constexpr const char *FormatKey = "format";
/// Increased only by a change that older releases must not read.
constexpr uint64_t RecordFormat = 1;

/// Reads the alternative of the variant whose index is \p Kind.
template <size_t Index = 0>
ports::StoreRecord readRecord(ports::ObjectKind Kind,
                              const nlohmann::json &Json, std::string &Reason) {
  if constexpr (Index < std::variant_size_v<ports::StoreRecord>) {
    using RecordT = std::variant_alternative_t<Index, ports::StoreRecord>;
    if (static_cast<size_t>(Kind) == Index)
      return FieldReader::readObject<RecordT>(Json, Reason);
    return readRecord<Index + 1>(Kind, Json, Reason);
  } else {
    Reason = "unknown kind of object";
    return {};
  }
}

std::string formatProblem(const nlohmann::json &Json) {
  if (!Json.is_object())
    return "an object was expected";
  const auto Format = Json.find(FormatKey);
  if (Format == Json.end() || !Format->is_number_unsigned())
    return "field 'format': missing";
  if (Format->get<uint64_t>() != RecordFormat)
    return "written in a format that this release cannot read";
  return {};
}

bool hasWrongHash(const ports::StoreRecord &Record) {
  const model::IntentPart *Part = std::get_if<model::IntentPart>(&Record);
  return Part && Part->m_Hash != model::stableHash(Part->m_Text);
}

} // namespace

std::optional<std::string>
RecordCodec::encode(const ports::StoreRecord &Record) {
  m_LastReason.clear();
  try {
    nlohmann::json Json = std::visit(
        [](const auto &Value) {
          return FieldWriter::writeObject(Value, WireFormat::Text);
        },
        Record);
    Json[FormatKey] = RecordFormat;
    std::string Text = Json.dump();
    if (Text.size() <= MaxRecordBytes)
      return Text;
    m_LastReason = "larger than " + std::to_string(MaxRecordBytes) + " bytes";
  } catch (const std::exception &Error) {
    m_LastReason = Error.what();
  }
  return std::nullopt;
}

std::optional<ports::StoreRecord> RecordCodec::decode(ports::ObjectKind Kind,
                                                      std::string_view Text) {
  m_LastReason.clear();
  const std::optional<nlohmann::json> Json =
      parseJson(Text, WireFormat::Text, MaxRecordBytes, m_LastReason);
  if (!Json)
    return std::nullopt;
  m_LastReason = formatProblem(*Json);
  if (!m_LastReason.empty())
    return std::nullopt;
  ports::StoreRecord Record = readRecord(Kind, *Json, m_LastReason);
  if (m_LastReason.empty() && hasWrongHash(Record))
    m_LastReason = "the text does not match its hash";
  if (!m_LastReason.empty())
    return std::nullopt;
  return Record;
}

ports::ObjectKind kindOf(const ports::StoreRecord &Record) {
  return static_cast<ports::ObjectKind>(Record.index());
}

std::string_view toString(ports::ObjectKind Kind) { return toWireName(Kind); }

} // namespace bronzepass::core::adapters::codec
