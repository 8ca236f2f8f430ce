#include "Core/Gateway/PlacementOrder.h"

namespace bronzepass::core::gateway {

const char *toString(OrderReply Value) {
  switch (Value) {
  case OrderReply::Accepted:
    return "accepted";
  case OrderReply::AlreadySatisfied:
    return "held";
  case OrderReply::Busy:
    return "busy";
  case OrderReply::StaleToken:
    return "stale_token";
  case OrderReply::Misdirected:
    return "misdirected";
  case OrderReply::Rejected:
    return "rejected";
  case OrderReply::NotSent:
    return "not_sent";
  case OrderReply::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace bronzepass::core::gateway
