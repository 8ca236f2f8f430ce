#ifndef BRONZEPASS_CORE_GATEWAY_PLACEMENTORDER_H
#define BRONZEPASS_CORE_GATEWAY_PLACEMENTORDER_H

#include "Core/Gateway/EndpointEntry.h"
#include "Core/Gateway/RelayTypes.h"
#include "Core/Model/Id.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

enum class OrderVerb { Load, Unload };

/// What the lease holder tells an engine to do.
struct PlacementOrder {
  OrderVerb m_Verb = OrderVerb::Load;
  model::EndpointId m_Endpoint;
  model::Address m_Address;
  ModelUse m_Use;
  /// Orders that the engine must have accepted so far; it refuses any other
  /// count, so that an order that was delayed does nothing.
  uint64_t m_ExpectedCount = 0;
  model::NodeId m_Holder;
  model::FencingToken m_Token;

  friend auto operator<=>(const PlacementOrder &,
                          const PlacementOrder &) = default;
};

enum class OrderReply {
  Accepted,
  /// What it asks for holds already.
  Held,
  /// Another order is under way, or the count differs.
  Busy,
  /// The engine has seen a higher fencing token.
  StaleToken,
  /// Another endpoint has the address, or the engine lacks the model.
  Misdirected,
  /// The order is malformed.
  Rejected,
  /// No byte left.
  NotSent,
  /// No answer: it may be carried out later.
  Unknown,
};

const char *toString(OrderReply Value);

/// What an engine reports of itself when asked.
struct EngineState {
  /// As in EndpointEntry.
  int64_t m_BornMs = 0;
  uint64_t m_OrderCount = 0;
  /// An order is being carried out.
  bool m_Busy = false;
  bool m_Draining = false;
  std::vector<HeldModel> m_Models;
  /// Adapters on their way to it; they take places already.
  std::vector<ModelUse> m_Pending;
  std::vector<std::string> m_LocalWeights;

  friend auto operator<=>(const EngineState &, const EngineState &) = default;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_PLACEMENTORDER_H
