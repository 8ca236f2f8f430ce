#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_STREAMRECORDER_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_STREAMRECORDER_H

#include "Core/Adapters/Gateway/GatewayLog.h"
#include "Core/Adapters/Gateway/StoreClient.h"
#include "Core/Gateway/Dialect.h"
#include "Core/Gateway/PlacementCandidates.h"
#include "Core/Gateway/StreamRecordKeeper.h"
#include "Core/Ports/Ports.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bronzepass::core::adapters::gateway {

/// Receives what was recorded, and this node's part in recording, on the
/// control thread.
class StreamRecorderEvents {
public:
  virtual ~StreamRecorderEvents() = default;
  /// What nodes had recorded of streams' origins when this one started. Called
  /// once.
  virtual void
  onStreamRecordRead(const core::gateway::StreamNotice &Record) = 0;
  /// The slot that this node writes from now on; nullopt if it writes none.
  virtual void onStreamRecordSlot(std::optional<uint32_t> Slot) = 0;
};

/// Keeps the record of streams' origins in the platform's store: carries out
/// what StreamRecordKeeper decides.
class StreamRecorder {
public:
  /// All arguments except \p Self must outlive this object.
  StreamRecorder(model::NodeId Self, const core::gateway::Dialect &Dialect,
                 StoreClient &Store, const ports::Clock &Clock, GatewayLog &Log,
                 StreamRecorderEvents &Events);

  /// Call about every 20 ms; starts the store calls that are due.
  void tick();
  /// Sets all registered nodes, and those that are heard: the first by DutyRank
  /// record.
  void setNodes(const std::vector<core::gateway::NodeEntry> &Nodes);
  void onLivePeers(const core::gateway::LivePeers &Peers);
  /// What this node knows of streams' origins now.
  void setRecord(core::gateway::StreamNotice Record) {
    m_Keeper.setRecord(std::move(Record));
  }
  void onStoreRestored() { m_Keeper.onStoreRestored(); }

private:
  void updateSlot();
  void onListAnswer(const core::gateway::HttpResult &Result);
  void onWriteAnswer(const core::gateway::StreamRecordCall &Call,
                     const core::gateway::HttpResult &Result);

  const core::gateway::Dialect &m_Dialect;
  StoreClient &m_Store;
  const ports::Clock &m_Clock;
  GatewayLog &m_Log;
  StreamRecorderEvents &m_Events;
  core::gateway::PlacementCandidates m_Candidates;
  core::gateway::StreamRecordKeeper m_Keeper;
  std::optional<uint32_t> m_Slot;
  bool m_IsSlotDecided = false;
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_STREAMRECORDER_H
