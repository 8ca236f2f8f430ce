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

/// An order of the lease holder to an engine to load or unload a model.
struct PlacementOrder {
  OrderVerb m_Verb = OrderVerb::Load;
  model::EndpointId m_Endpoint;
  model::Address m_Address;
  ModelRef m_ModelRef;
  /// The number of orders that the engine must have accepted before this one.
  /// It refuses any other count, so a delayed order has no effect.
  uint64_t m_ExpectedOrderCount = 0;
  model::NodeId m_Holder;
  model::FencingToken m_Token;

  friend auto operator<=>(const PlacementOrder &,
                          const PlacementOrder &) = default;
};

enum class OrderReply {
  Accepted,
  /// The engine is already in the requested state.
  AlreadySatisfied,
  /// Another order is in progress, or the order count differs.
  Busy,
  /// The engine has seen a higher fencing token.
  StaleToken,
  /// The address belongs to another endpoint, or the engine does not have the
  /// model.
  Misdirected,
  /// The order is malformed.
  Rejected,
  /// No byte of the order was sent.
  NotSent,
  /// No answer: the order may still be carried out later.
  Unknown,
};

const char *toString(OrderReply Value);

/// The state that an engine reports about itself on request.
struct EngineState {
  /// As in EndpointEntry.
  int64_t m_StartedAtMs = 0;
  uint64_t m_OrderCount = 0;
  /// An order is in progress.
  bool m_Busy = false;
  bool m_Draining = false;
  std::vector<LoadedModel> m_Models;
  /// Adapters being loaded; they already occupy adapter slots.
  std::vector<ModelRef> m_Pending;
  std::vector<std::string> m_LocalWeights;

  friend auto operator<=>(const EngineState &, const EngineState &) = default;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_PLACEMENTORDER_H
