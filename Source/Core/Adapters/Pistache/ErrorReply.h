#ifndef BRONZEPASS_CORE_ADAPTERS_PISTACHE_ERRORREPLY_H
#define BRONZEPASS_CORE_ADAPTERS_PISTACHE_ERRORREPLY_H

#include "Core/Adapters/Pistache/HttpMessage.h"
#include "Core/Model/Request.h"

#include <cstdint>
#include <string>

namespace bronzepass::core::adapters::pistache {

/// Header of every error: "not_run", "ran" or "unknown". With status 503 and
/// "not_run" it proves to another node that the request may go elsewhere.
constexpr const char *RunStateHeader = "Bronzepass-Run-State";

/// The HTTP status that belongs to a refusal's reason.
int statusOf(model::RefusalReason Reason);

/// The typed JSON answer to a request that was not answered whole:
/// {"error":{"type","reason","run_state","message","retry_after_ms"}}.
HttpReply refusalReply(const model::Refusal &Refusal);

/// The answer to a repeat of a request that ran under the same key: what its
/// first run was answered with or, where that was not kept, a typed error that
/// says that it ran.
HttpReply replayedReply(uint16_t Status, const std::string &Answer);

/// As refusalReply(), for a request that was refused before it was routed and
/// so did not run. \p Reason is a snake-case name.
HttpReply requestErrorReply(int Status, const std::string &Reason,
                            const std::string &Message);

} // namespace bronzepass::core::adapters::pistache

#endif // BRONZEPASS_CORE_ADAPTERS_PISTACHE_ERRORREPLY_H
