#ifndef BRONZEPASS_CORE_ADAPTERS_CODEC_MODELFIELDS_H
#define BRONZEPASS_CORE_ADAPTERS_CODEC_MODELFIELDS_H

#include "Core/Adapters/Codec/Fields.h"
#include "Core/Model/Claim.h"
#include "Core/Model/Demand.h"
#include "Core/Model/IntentDocument.h"
#include "Core/Model/Lease.h"
#include "Core/Model/Ledger.h"
#include "Core/Model/Node.h"
#include "Core/Model/Residency.h"

namespace bronzepass::core::adapters::codec {

template <> struct Fields<model::Address> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("ip", Value.m_Ip);
    Visitor.required("port", Value.m_Port);
  }
};

template <> struct Fields<model::ArtifactId> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("model", Value.m_Model);
    Visitor.optional("version", Value.m_Version);
    Visitor.optional("adapter", Value.m_Adapter);
  }
};

template <> struct Fields<model::IntentRevision> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("generation", Value.m_Generation);
    Visitor.optional("author", Value.m_Author);
    Visitor.optional("summary", Value.m_Summary);
    Visitor.optionalHash("text", Value.m_TextHash);
  }
};

template <> struct Fields<model::IntentHead> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("generation", Value.m_Generation);
    Visitor.hash("parts", Value.m_PartHashes);
    Visitor.optional("author", Value.m_Author);
    Visitor.optional("summary", Value.m_Summary);
    Visitor.optionalHash("text", Value.m_TextHash);
    Visitor.optional("earlier", Value.m_Earlier);
  }
};

template <> struct Fields<model::IntentPart> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.hash("hash", Value.m_Hash);
    Visitor.bytes("text", Value.m_Text);
  }
};

template <> struct Fields<model::LeaseName> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("duty", Value.m_Duty);
  }
};

template <> struct Fields<model::LeaseRecord> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("name", Value.m_Name);
    Visitor.required("holder", Value.m_Holder);
    Visitor.required("token", Value.m_Token);
    Visitor.required("termMicros", Value.m_Term);
    Visitor.required("renewals", Value.m_Renewals);
    Visitor.optional("era", Value.m_Era);
  }
};

template <> struct Fields<model::UnsettledOrder> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("writer", Value.m_Writer);
    Visitor.required("token", Value.m_Token);
    Visitor.required("order", Value.m_Kind);
  }
};

template <> struct Fields<model::LedgerRole> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("role", Value.m_Role);
    Visitor.required("token", Value.m_Token);
    Visitor.required("settled", Value.m_Settled);
  }
};

template <> struct Fields<model::LedgerEntry> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("artifact", Value.m_Artifact);
    Visitor.required("memoryBytes", Value.m_MemoryBytes);
    Visitor.required("lastOrder", Value.m_LastOrder);
    Visitor.required("orderId", Value.m_OrderId);
    Visitor.required("token", Value.m_Token);
    Visitor.required("writer", Value.m_Writer);
    Visitor.required("settled", Value.m_Settled);
    Visitor.optional("doubts", Value.m_UnsettledOrders);
  }
};

template <> struct Fields<model::EngineLedger> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("endpoint", Value.m_Endpoint);
    Visitor.required("memoryBytes", Value.m_MemoryBytes);
    Visitor.required("token", Value.m_Token);
    Visitor.required("writer", Value.m_Writer);
    Visitor.required("revision", Value.m_Revision);
    Visitor.optional("role", Value.m_Role);
    Visitor.required("entries", Value.m_Entries);
  }
};

template <> struct Fields<model::ClaimRecord> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.hash("key", Value.m_KeyHash);
    Visitor.hash("body", Value.m_BodyHash);
    Visitor.required("state", Value.m_State);
    Visitor.required("runner", Value.m_Runner);
    Visitor.required("askId", Value.m_ClaimRequestId);
    Visitor.required("takenAtMicros", Value.m_TakenAt);
    Visitor.optional("status", Value.m_Status);
    Visitor.bytes("answer", Value.m_Answer);
  }
};

template <> struct Fields<model::ClaimSegment> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("epoch", Value.m_Epoch);
    Visitor.required("number", Value.m_Number);
    Visitor.required("newestTakenAtMicros", Value.m_NewestTakenAt);
  }
};

template <> struct Fields<model::ClaimShardRecord> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("shard", Value.m_Shard);
    Visitor.required("shardCount", Value.m_ShardCount);
    Visitor.required("writer", Value.m_Writer);
    Visitor.required("epoch", Value.m_Epoch);
    Visitor.required("sequence", Value.m_Sequence);
    Visitor.optional("segments", Value.m_Segments);
    Visitor.required("claims", Value.m_Claims);
  }
};

template <> struct Fields<model::NodeInfo> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("node", Value.m_Node);
    Visitor.required("vm", Value.m_Vm);
    Visitor.required("domain", Value.m_Domain);
    Visitor.required("region", Value.m_Region);
    Visitor.required("peer", Value.m_PeerAddress);
    Visitor.required("caller", Value.m_CallerAddress);
    Visitor.optional("liveness", Value.m_Liveness);
    Visitor.optional("incarnation", Value.m_Incarnation);
  }
};

template <> struct Fields<model::EndpointState> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("endpoint", Value.m_Endpoint);
    Visitor.required("liveness", Value.m_Liveness);
    Visitor.optional("version", Value.m_Version);
  }
};

template <> struct Fields<model::DemandSample> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("artifact", Value.m_Artifact);
    Visitor.optional("arrivals", Value.m_Arrivals);
    Visitor.optional("inTime", Value.m_InTime);
    Visitor.optional("refused", Value.m_Refused);
    Visitor.optional("waiting", Value.m_Waiting);
    Visitor.optional("slotSeconds", Value.m_SlotSeconds);
  }
};

template <> struct Fields<model::CopyReport> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("artifact", Value.m_Artifact);
    Visitor.required("state", Value.m_State);
    Visitor.required("memoryBytes", Value.m_MemoryBytes);
  }
};

template <> struct Fields<model::EngineReport> {
  template <typename V, typename T> static void visit(V &Visitor, T &Value) {
    Visitor.required("endpoint", Value.m_Endpoint);
    Visitor.required("sequence", Value.m_Sequence);
    Visitor.required("madeAtMicros", Value.m_MadeAt);
    Visitor.required("copies", Value.m_Copies);
    Visitor.required("memoryBytes", Value.m_MemoryBytes);
    Visitor.required("usedBytes", Value.m_UsedBytes);
    Visitor.optional("running", Value.m_Running);
    Visitor.optional("waiting", Value.m_Waiting);
    Visitor.optional("highestToken", Value.m_HighestToken);
  }
};

} // namespace bronzepass::core::adapters::codec

#endif // BRONZEPASS_CORE_ADAPTERS_CODEC_MODELFIELDS_H
