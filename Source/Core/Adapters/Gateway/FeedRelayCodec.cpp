#include "Core/Adapters/Gateway/FeedRelayCodec.h"

#include "Core/Adapters/Codec/FieldReader.h"
#include "Core/Adapters/Codec/FieldWriter.h"
#include "Core/Adapters/Codec/JsonParser.h"

namespace bronzepass::core::adapters::gateway {

namespace {

/// FeedQuery with each field of a type that the codec knows.
struct QueryFields {
  core::gateway::FeedKind m_Kind = core::gateway::FeedKind::Config;
  bool m_IsList = false;
  uint64_t m_Revision = 0;
  bool m_HasEra = false;
  model::StoreEra m_Era;
  model::Duration m_Wait{0};
};

/// FeedReply, likewise.
struct ReplyFields {
  core::gateway::FeedReply m_Reply;
  bool m_HasEra = false;
  model::StoreEra m_Era;
  /// The proof's offset from the query's receipt, whose sign the codec doesn't
  /// know.
  std::optional<model::Duration> m_ProofBefore;
  std::optional<model::Duration> m_ProofAfter;
};

} // namespace

} // namespace bronzepass::core::adapters::gateway

namespace bronzepass::core::adapters::codec {

template <> struct EnumNames<core::gateway::FeedKind> {
  static constexpr std::array<std::string_view, 3> Names = {
      "config", "endpoints", "nodes"};
};

template <> struct Fields<gateway::QueryFields> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("kind", Value.m_Kind);
    Visitor.optional("list", Value.m_IsList);
    Visitor.required("revision", Value.m_Revision);
    Visitor.optional("hasEra", Value.m_HasEra);
    Visitor.optional("era", Value.m_Era);
    Visitor.required("waitMicros", Value.m_Wait);
  }
};

template <> struct Fields<core::gateway::FeedObject> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("name", Value.m_Name);
    Visitor.required("revision", Value.m_Revision);
    Visitor.optional("deleted", Value.m_Deleted);
    Visitor.bytes("content", Value.m_Content);
  }
};

template <> struct Fields<gateway::ReplyFields> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.optional("available", Value.m_Reply.m_IsAvailable);
    Visitor.optional("storeFailing", Value.m_Reply.m_IsStoreFailing);
    Visitor.optional("historyGone", Value.m_Reply.m_IsHistoryGone);
    Visitor.optional("hasEra", Value.m_HasEra);
    Visitor.optional("era", Value.m_Era);
    Visitor.optional("revision", Value.m_Reply.m_Revision);
    Visitor.optional("objects", Value.m_Reply.m_Objects);
    Visitor.optional("proofBeforeMicros", Value.m_ProofBefore);
    Visitor.optional("proofAfterMicros", Value.m_ProofAfter);
  }
};

} // namespace bronzepass::core::adapters::codec

namespace bronzepass::core::adapters::gateway {

using core::gateway::FeedQuery;
using core::gateway::FeedReply;

namespace {

template <typename T> std::string encode(const T &Value) {
  std::string Bytes;
  nlohmann::json::to_cbor(
      codec::FieldWriter::writeObject(Value, codec::WireFormat::Binary), Bytes);
  return Bytes;
}

template <typename T>
std::optional<T> decode(std::string_view Bytes, size_t MaxBytes,
                        std::string &Reason) {
  Reason.clear();
  const std::optional<nlohmann::json> Json =
      codec::parseJson(Bytes, codec::WireFormat::Binary, MaxBytes, Reason);
  if (!Json)
    return std::nullopt;
  T Value = codec::FieldReader::readObject<T>(*Json, Reason);
  if (!Reason.empty())
    return std::nullopt;
  return Value;
}

} // namespace

std::string encodeFeedQuery(const FeedQuery &Query) {
  return encode(QueryFields{
      Query.m_Kind, Query.m_IsList, Query.m_Revision, Query.m_Era.has_value(),
      Query.m_Era.value_or(model::StoreEra()), Query.m_Wait});
}

std::string encodeFeedReply(const FeedReply &Reply) {
  ReplyFields Fields;
  Fields.m_Reply = Reply;
  Fields.m_HasEra = Reply.m_Era.has_value();
  Fields.m_Era = Reply.m_Era.value_or(model::StoreEra());
  if (Reply.m_ProofOffset && *Reply.m_ProofOffset > model::Duration::zero())
    Fields.m_ProofAfter = Reply.m_ProofOffset;
  else if (Reply.m_ProofOffset)
    Fields.m_ProofBefore = -*Reply.m_ProofOffset;
  return encode(Fields);
}

std::optional<FeedQuery> decodeFeedQuery(std::string_view Bytes,
                                         std::string &Reason) {
  const std::optional<QueryFields> Read =
      decode<QueryFields>(Bytes, MaxFeedQueryBytes, Reason);
  if (!Read)
    return std::nullopt;
  return FeedQuery{Read->m_Kind, Read->m_Revision,
                   Read->m_HasEra ? std::optional(Read->m_Era) : std::nullopt,
                   Read->m_Wait, Read->m_IsList};
}

std::optional<FeedReply> decodeFeedReply(std::string_view Bytes,
                                         std::string &Reason) {
  std::optional<ReplyFields> Read =
      decode<ReplyFields>(Bytes, MaxFeedReplyBytes, Reason);
  if (!Read)
    return std::nullopt;
  if (Read->m_HasEra)
    Read->m_Reply.m_Era = Read->m_Era;
  if (Read->m_ProofBefore)
    Read->m_Reply.m_ProofOffset = -*Read->m_ProofBefore;
  else
    Read->m_Reply.m_ProofOffset = Read->m_ProofAfter;
  return std::move(Read->m_Reply);
}

} // namespace bronzepass::core::adapters::gateway
