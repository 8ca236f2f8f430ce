#ifndef BRONZEPASS_CORE_MODEL_ORDER_H
#define BRONZEPASS_CORE_MODEL_ORDER_H

#include "Core/Model/Artifact.h"
#include "Core/Model/Id.h"
#include "Core/Model/Intent.h"

#include <compare>
#include <cstdint>

namespace bronzepass::core::model {

enum class OrderKind { Load, Unload, SetRole };

/// An order from a pool's lease holder to an engine. Idempotent per artifact:
/// loading an artifact that is already there changes nothing.
struct EngineOrder {
  OrderId m_Id;
  FencingToken m_Token;
  EndpointId m_Endpoint;
  OrderKind m_Kind = OrderKind::Load;
  ArtifactId m_Artifact;
  uint64_t m_MemoryBytes = 0;
  EngineRole m_Role = EngineRole::Mixed;

  friend auto operator<=>(const EngineOrder &, const EngineOrder &) = default;
};

enum class OrderStatus {
  Accepted,
  /// The engine has seen a higher fencing token; the order had no effect.
  StaleToken,
  /// The engine has too little free memory; the order had no effect.
  NoMemory,
  /// No byte was sent to the engine.
  NotSent,
  /// Sent but not answered: it may take effect at any later time.
  Unknown,
};

struct OrderAnswer {
  OrderId m_Id;
  EndpointId m_Endpoint;
  OrderStatus m_Status = OrderStatus::Unknown;
  FencingToken m_HighestToken;

  friend auto operator<=>(const OrderAnswer &, const OrderAnswer &) = default;
};

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_ORDER_H
