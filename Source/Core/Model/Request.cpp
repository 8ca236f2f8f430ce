#include "Core/Model/Request.h"

namespace bronzepass::core::model {

const char *toString(RunState Value) {
  switch (Value) {
  case RunState::NotRun:
    return "not_run";
  case RunState::Ran:
    return "ran";
  case RunState::Unknown:
    return "unknown";
  }
  return "unknown";
}

const char *toString(RefusalReason Value) {
  switch (Value) {
  case RefusalReason::UnknownModel:
    return "unknown_model";
  case RefusalReason::NotAllowed:
    return "not_allowed";
  case RefusalReason::OverLimit:
    return "over_limit";
  case RefusalReason::WindowTooShort:
    return "window_too_short";
  case RefusalReason::QueueFull:
    return "queue_full";
  case RefusalReason::NoCopyAnswers:
    return "no_copy_answers";
  case RefusalReason::ClaimPending:
    return "claim_pending";
  case RefusalReason::ClaimStoreDown:
    return "claim_store_down";
  case RefusalReason::KeyRequired:
    return "key_required";
  case RefusalReason::KeyMismatch:
    return "key_mismatch";
  case RefusalReason::EndpointFailed:
    return "endpoint_failed";
  case RefusalReason::StreamBroken:
    return "stream_broken";
  case RefusalReason::DeadlinePassed:
    return "deadline_passed";
  case RefusalReason::Stopping:
    return "stopping";
  }
  return "endpoint_failed";
}

} // namespace bronzepass::core::model
