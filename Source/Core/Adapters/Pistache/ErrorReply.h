#ifndef BRONZEPASS_CORE_ADAPTERS_PISTACHE_ERRORREPLY_H
#define BRONZEPASS_CORE_ADAPTERS_PISTACHE_ERRORREPLY_H

#include "Core/Adapters/Pistache/HttpMessage.h"
#include "Core/Model/Request.h"

#include <cstdint>
#include <string>

namespace bronzepass::core::adapters::pistache {

/// Header of every error response: "not_run", "ran" or "unknown". Status 503
/// with "not_run" proves to another node that it may send the request
/// elsewhere.
constexpr const char *RunStateHeader = "Bronzepass-Run-State";

/// The HTTP status for a refusal reason.
int statusOf(model::RefusalReason Reason);

/// The JSON error response for a request that got no complete answer:
/// {"error":{"type","reason","run_state","message","retry_after_ms"}}.
HttpReply refusalReply(const model::Refusal &Refusal);

/// The response to a repeat of a request that has run under the same key: the
/// first run's answer or, if that was not stored, an error that says that the
/// request ran.
HttpReply replayedReply(uint16_t Status, const std::string &Answer);

/// Like refusalReply(), for a request that was refused before it was routed and
/// so did not run. \p Reason is a snake-case name.
HttpReply requestErrorReply(int Status, const std::string &Reason,
                            const std::string &Message);

} // namespace bronzepass::core::adapters::pistache

#endif // BRONZEPASS_CORE_ADAPTERS_PISTACHE_ERRORREPLY_H
