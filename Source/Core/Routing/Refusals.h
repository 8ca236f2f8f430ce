#ifndef BRONZEPASS_CORE_ROUTING_REFUSALS_H
#define BRONZEPASS_CORE_ROUTING_REFUSALS_H

#include "Core/Model/Request.h"

#include <chrono>

namespace bronzepass::core::routing {

/// Retry-after time of refusals where a retry may soon succeed.
constexpr model::Duration ShortRetryAfter = std::chrono::seconds(1);

/// Makes the refusal of a request of which no byte was sent to an endpoint.
inline model::Refusal
notRunRefusal(model::RefusalReason Reason, const char *Message,
              model::Duration RetryAfter = model::Duration(0)) {
  return {Reason, model::RunState::NotRun, Message, RetryAfter};
}

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_REFUSALS_H
