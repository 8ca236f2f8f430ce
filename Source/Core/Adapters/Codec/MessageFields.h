#ifndef BRONZEPASS_CORE_ADAPTERS_CODEC_MESSAGEFIELDS_H
#define BRONZEPASS_CORE_ADAPTERS_CODEC_MESSAGEFIELDS_H

#include "Core/Adapters/Codec/ModelFields.h"
#include "Core/Ports/PeerMessage.h"

namespace bronzepass::core::adapters::codec {

template <> struct Fields<ports::Hello> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("protocol", Value.m_ProtocolVersion);
    Visitor.required("node", Value.m_Node);
    Visitor.required("generation", Value.m_Generation);
  }
};

template <> struct Fields<ports::GenerationProgress> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("generation", Value.m_Generation);
    Visitor.hash("nodes", Value.m_NodeHashes);
  }
};

template <> struct Fields<ports::Heartbeat> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("sequence", Value.m_Sequence);
    Visitor.required("generation", Value.m_Generation);
    Visitor.optional("leaving", Value.m_Leaving);
    Visitor.optional("nodeNews", Value.m_NodeUpdates);
    Visitor.optional("endpointNews", Value.m_EndpointUpdates);
    Visitor.optional("progress", Value.m_Progress);
    Visitor.optional("echo", Value.m_LastReceivedSequence);
    Visitor.optional("membersDigest", Value.m_MembersDigest);
    Visitor.optional("neighbour", Value.m_Neighbour);
  }
};

template <> struct Fields<ports::IntentOffer> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("head", Value.m_Head);
  }
};

template <> struct Fields<ports::IntentPartsRequest> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.hash("hashes", Value.m_Hashes);
  }
};

template <> struct Fields<ports::IntentPartReply> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("part", Value.m_Part);
  }
};

template <> struct Fields<ports::ClaimRequest> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("askId", Value.m_ClaimRequestId);
    Visitor.hash("key", Value.m_KeyHash);
    Visitor.hash("body", Value.m_BodyHash);
    Visitor.optional("rank", Value.m_Rank);
    Visitor.micros("windowMicros", Value.m_WindowMicros);
  }
};

template <> struct Fields<ports::ClaimReply> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("askId", Value.m_ClaimRequestId);
    Visitor.required("verdict", Value.m_Verdict);
    Visitor.optional("status", Value.m_Status);
    Visitor.bytes("answer", Value.m_Answer);
    Visitor.optional("owner", Value.m_Owner);
    Visitor.optional("toOutcome", Value.m_IsOutcomeReply);
  }
};

template <> struct Fields<ports::ClaimOutcome> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("askId", Value.m_ClaimRequestId);
    Visitor.hash("key", Value.m_KeyHash);
    Visitor.required("state", Value.m_State);
    Visitor.optional("status", Value.m_Status);
    Visitor.bytes("answer", Value.m_Answer);
  }
};

template <> struct Fields<ports::DemandReport> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("pool", Value.m_Pool);
    Visitor.required("samples", Value.m_Samples);
  }
};

template <> struct Fields<ports::CallerUsage> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("caller", Value.m_Caller);
    Visitor.optional("requests", Value.m_Requests);
    Visitor.optional("tokens", Value.m_Tokens);
    Visitor.optional("inFlight", Value.m_InFlight);
  }
};

template <> struct Fields<ports::UsageReport> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("usage", Value.m_Usage);
  }
};

template <> struct Fields<ports::OfferedReport> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("endpoint", Value.m_Endpoint);
    Visitor.required("madeAtMicros", Value.m_MadeAt);
  }
};

template <> struct Fields<ports::ResidencyOffer> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("news", Value.m_OfferedReports);
  }
};

template <> struct Fields<ports::ResidencyRequest> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("endpoints", Value.m_Endpoints);
  }
};

template <> struct Fields<ports::ResidencyReply> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("reports", Value.m_Reports);
  }
};

template <> struct Fields<ports::FenceRequest> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("lease", Value.m_Lease);
    Visitor.required("token", Value.m_Token);
  }
};

template <> struct Fields<ports::FenceAck> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("lease", Value.m_Lease);
    Visitor.required("token", Value.m_Token);
  }
};

} // namespace bronzepass::core::adapters::codec

#endif // BRONZEPASS_CORE_ADAPTERS_CODEC_MESSAGEFIELDS_H
