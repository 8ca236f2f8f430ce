#ifndef BRONZEPASS_CORE_ROUTING_REFUSALS_H
#define BRONZEPASS_CORE_ROUTING_REFUSALS_H

#include "Core/Model/Request.h"

#include <chrono>

namespace bronzepass::core::routing {

/// Told where another try may soon succeed.
constexpr model::Duration ShortRetry = std::chrono::seconds(1);

/// Refuses a request of which no byte has left.
inline model::Refusal notRun(model::RefusalReason Reason, const char *Message,
                             model::Duration RetryAfter = model::Duration(0)) {
  return {Reason, model::RunState::NotRun, Message, RetryAfter};
}

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_REFUSALS_H
