#include "Core/Adapters/Gateway/PeerNoticeCodec.h"

#include "Core/Adapters/Codec/FieldReader.h"
#include "Core/Adapters/Codec/FieldWriter.h"
#include "Core/Adapters/Codec/JsonParser.h"

namespace bronzepass::core::adapters::codec {

template <> struct Fields<core::gateway::ModelRef> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("m", Value.m_Model);
    Visitor.optional("a", Value.m_Adapter);
  }
};

template <> struct Fields<core::gateway::EndpointLoad> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("e", Value.m_Endpoint);
    Visitor.required("n", Value.m_InFlight);
    Visitor.optional("p", Value.m_PrefillTokens);
  }
};

template <> struct Fields<core::gateway::UsageCounter> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("s", Value.m_Service);
    Visitor.required("u", Value.m_ModelRef);
    Visitor.required("r", Value.m_Requests);
    Visitor.required("t", Value.m_Tokens);
  }
};

template <> struct Fields<core::gateway::CopyChange> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("e", Value.m_Endpoint);
    Visitor.required("u", Value.m_ModelRef);
    Visitor.optional("l", Value.m_Removed);
  }
};

template <> struct Fields<core::gateway::CopyRequest> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("s", Value.m_Service);
    Visitor.required("u", Value.m_ModelRef);
  }
};

template <> struct Fields<core::gateway::CrashReport> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("p", Value.m_Trait);
    Visitor.required("e", Value.m_Engine);
    Visitor.required("c", Value.m_CrashAge);
    Visitor.required("s", Value.m_SendAge);
    Visitor.optional("w", Value.m_Company);
  }
};

template <> struct Fields<core::gateway::QuarantinedTrait> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("p", Value.m_Trait);
    Visitor.required("t", Value.m_Remaining);
    Visitor.optional("w", Value.m_Company);
  }
};

template <> struct Fields<core::gateway::SafeTrait> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("p", Value.m_Trait);
    Visitor.required("t", Value.m_Age);
  }
};

template <> struct Fields<core::gateway::EndpointNotice> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("e", Value.m_Endpoint);
    Visitor.required("t", Value.m_Age);
    Visitor.optional("leaving", Value.m_Statement.m_IsLeaving);
    Visitor.optional("limit", Value.m_Statement.m_RequestsPerSecond);
    Visitor.optional("brittle", Value.m_Statement.m_RejectsPerSecond);
    Visitor.optional("full", Value.m_FullFor);
  }
};

template <> struct Fields<core::gateway::PaceReport> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("e", Value.m_Endpoint);
    Visitor.optional("good", Value.m_Good);
    Visitor.optional("bad", Value.m_Bad);
  }
};

template <> struct Fields<core::gateway::StreamOrigin> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("s", Value.m_Stream);
    Visitor.required("v", Value.m_SoftwareVersion);
  }
};

template <> struct Fields<core::gateway::MixedService> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("s", Value.m_Service);
    Visitor.required("t", Value.m_Remaining);
  }
};

template <> struct Fields<core::organisations::QuotaAsk> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("o", Value.m_Organisation);
    Visitor.optional("n", Value.m_Need);
    Visitor.optional("l", Value.m_Least);
    Visitor.optional("r", Value.m_Reserve);
    Visitor.optional("d", Value.m_Demand);
    Visitor.optional("s", Value.m_Share);
    Visitor.optional("h", Value.m_HeardAt);
    Visitor.optional("g", Value.m_GivenUp);
  }
};

template <> struct Fields<core::organisations::QuotaAnswer> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("o", Value.m_Organisation);
    Visitor.optional("g", Value.m_Granted);
    Visitor.optional("w", Value.m_Wait);
    Visitor.optional("s", Value.m_Share);
    Visitor.optional("u", Value.m_MayRaise);
  }
};

template <> struct Fields<core::organisations::QuotaNotice> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.optional("start", Value.m_AskerStart);
    Visitor.optional("at", Value.m_AskedAt);
    Visitor.optional("asks", Value.m_Asks);
    Visitor.optional("answers", Value.m_Answers);
    Visitor.optional("holding", Value.m_Holding);
    Visitor.optional("holder", Value.m_IsAnnouncement);
  }
};

template <> struct Fields<core::gateway::PeerNotice> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("from", Value.m_From);
    Visitor.required("start", Value.m_Start);
    Visitor.required("number", Value.m_Sequence);
    Visitor.optional("loads", Value.m_Loads);
    Visitor.optional("uses", Value.m_UsageCounters);
    Visitor.optional("copies", Value.m_CopyChanges);
    Visitor.optional("wanted", Value.m_CopyRequests);
    Visitor.optional("crashes", Value.m_Quarantine.m_CrashReports);
    Visitor.optional("quarantined", Value.m_Quarantine.m_Quarantined);
    Visitor.optional("safe", Value.m_Quarantine.m_Safe);
    Visitor.optional("said", Value.m_EndpointNotices);
    Visitor.optional("paces", Value.m_PaceReports);
    Visitor.optional("streams", Value.m_Streams.m_Origins);
    Visitor.optional("mixed", Value.m_Streams.m_MixedServices);
    Visitor.optional("forwarding", Value.m_ForwardingPort);
    Visitor.optional("lost", Value.m_LostServices);
    Visitor.optional("holder", Value.m_HoldsLease);
    Visitor.optional("source", Value.m_IsSource);
    Visitor.optional("refused", Value.m_IsStoreRefused);
    Visitor.optional("quotas", Value.m_Quotas);
  }
};

} // namespace bronzepass::core::adapters::codec

namespace bronzepass::core::adapters::gateway {

using core::gateway::PeerNotice;

std::optional<std::string> encodeNotice(const PeerNotice &Notice) {
  const nlohmann::json Json =
      codec::FieldWriter::writeObject(Notice, codec::WireFormat::Binary);
  std::string Bytes;
  nlohmann::json::to_cbor(Json, Bytes);
  if (Bytes.size() > MaxNoticeBytes)
    return std::nullopt;
  return Bytes;
}

std::optional<PeerNotice> decodeNotice(std::string_view Bytes,
                                       std::string &Reason) {
  Reason.clear();
  const std::optional<nlohmann::json> Json = codec::parseJson(
      Bytes, codec::WireFormat::Binary, MaxNoticeBytes, Reason);
  if (!Json)
    return std::nullopt;
  PeerNotice Notice = codec::FieldReader::readObject<PeerNotice>(*Json, Reason);
  if (!Reason.empty())
    return std::nullopt;
  return Notice;
}

} // namespace bronzepass::core::adapters::gateway
