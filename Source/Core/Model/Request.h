#ifndef BRONZEPASS_CORE_MODEL_REQUEST_H
#define BRONZEPASS_CORE_MODEL_REQUEST_H

#include "Core/Model/Id.h"
#include "Core/Model/Intent.h"
#include "Core/Model/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::model {

/// The part of a caller's request that routing needs; the body stays with the
/// adapter that received it.
struct Request {
  RequestId m_Id;
  CallerId m_Caller;
  Priority m_Priority = Priority::Interactive;
  /// Set for model requests.
  ModelId m_Model;
  /// If empty, the version is drawn by the versions' traffic shares.
  std::string m_Version;
  AdapterId m_Adapter;
  /// Set for requests to plain services.
  PoolId m_ServicePool;
  /// The end of the caller's window.
  TimePoint m_Deadline;
  /// Set where the caller gave an idempotency key.
  std::optional<std::string> m_IdempotencyKey;
  /// Whether it may be run again after an attempt whose outcome is unknown.
  bool m_Repeatable = true;
  bool m_Stream = false;
  /// Forwarded by another node; it must not be sent back to that node.
  bool m_Forwarded = false;
  /// Rolling hashes of the prompt's leading blocks, shortest prefix first.
  std::vector<uint64_t> m_PrefixHashes;
  uint32_t m_PromptTokens = 0;
  uint32_t m_MaxTokens = 0;
  uint64_t m_BodyBytes = 0;

  friend auto operator<=>(const Request &, const Request &) = default;
};

/// Whether an unanswered request was run. "NotRun" is reported only if no byte
/// was sent to an endpoint or the endpoint proved that it did not run.
enum class RunState { NotRun, Ran, Unknown };

/// Why a request got no answer. Each reason maps to one HTTP status.
enum class RefusalReason {
  UnknownModel,
  NotAllowed,
  OverLimit,
  WindowTooShort,
  QueueFull,
  NoCopyAnswers,
  ClaimPending,
  ClaimStoreDown,
  KeyRequired,
  KeyMismatch,
  EndpointFailed,
  StreamBroken,
  DeadlinePassed,
  Stopping,
};

/// Outcome of a request that was not answered completely.
struct Refusal {
  RefusalReason m_Reason = RefusalReason::EndpointFailed;
  RunState m_RunState = RunState::Unknown;
  std::string m_Message;
  /// Delay before the caller should retry; zero if a retry does not help.
  Duration m_RetryAfter{0};

  friend auto operator<=>(const Refusal &, const Refusal &) = default;
};

/// "not_run", "ran" or "unknown", as told to callers.
const char *toString(RunState Value);
/// Snake-case name, as told to callers and written in logs.
const char *toString(RefusalReason Value);

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_REQUEST_H
