#ifndef BRONZEPASS_CORE_ROUTING_TRAFFICEFFECT_H
#define BRONZEPASS_CORE_ROUTING_TRAFFICEFFECT_H

#include "Core/Model/Address.h"
#include "Core/Model/Decision.h"
#include "Core/Model/Request.h"
#include "Core/Ports/Event.h"

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace bronzepass::core::routing {

/// Send the request to an endpoint, or one hop on to a node that drives it.
struct StartAttempt {
  model::AttemptId m_Attempt;
  model::RequestId m_Request;
  /// Empty where the request goes to another node.
  model::EndpointId m_Endpoint;
  model::Address m_Address;
  bool m_ToNode = false;
  /// Artifact to name to the engine (base model's version or adapter).
  model::ArtifactId m_Artifact;
  /// Connect and first-byte time-outs; the answer as a whole ends by
  /// m_Deadline.
  model::Duration m_ConnectTimeout{0};
  model::Duration m_FirstByteTimeout{0};
  model::TimePoint m_Deadline;
  /// Never on a connection that was used before: its silent retry could run a
  /// request twice.
  bool m_FreshConnection = false;
  /// Go on with a broken stream behind this many bytes of its body.
  uint64_t m_ResumeOffset = 0;

  friend bool operator==(const StartAttempt &, const StartAttempt &) = default;
};

/// Drop the attempt; close its connection so that the engine stops.
struct CancelAttempt {
  model::AttemptId m_Attempt;

  friend bool operator==(const CancelAttempt &,
                         const CancelAttempt &) = default;
};

/// Pass the head, or the piece just reported, on to the caller. Without it the
/// piece is dropped.
struct RelayHead {
  model::RequestId m_Request;
  model::AttemptId m_Attempt;

  friend bool operator==(const RelayHead &, const RelayHead &) = default;
};

struct RelayChunk {
  model::RequestId m_Request;
  model::AttemptId m_Attempt;

  friend bool operator==(const RelayChunk &, const RelayChunk &) = default;
};

/// The answer is whole: end it cleanly.
struct FinishAnswer {
  model::RequestId m_Request;

  friend bool operator==(const FinishAnswer &, const FinishAnswer &) = default;
};

/// Nothing has reached the caller: answer with this typed error.
struct RefuseRequest {
  model::RequestId m_Request;
  model::Refusal m_Refusal;

  friend bool operator==(const RefuseRequest &,
                         const RefuseRequest &) = default;
};

/// Part of an answer has reached the caller and the rest can't: break the
/// connection visibly, never end it cleanly.
struct BreakAnswer {
  model::RequestId m_Request;
  model::Refusal m_Refusal;

  friend bool operator==(const BreakAnswer &, const BreakAnswer &) = default;
};

/// Answer with the kept outcome of the first run of this key.
struct ReplayAnswer {
  model::RequestId m_Request;
  uint16_t m_Status = 0;
  std::string m_Answer;

  friend bool operator==(const ReplayAnswer &, const ReplayAnswer &) = default;
};

/// Every request has ended after a TrafficStopWanted.
struct TrafficEmpty {
  friend bool operator==(const TrafficEmpty &, const TrafficEmpty &) = default;
};

/// ClaimRequested, ClaimEnded, EndpointObserved and TrafficReport go to the
/// control core.
using TrafficEffect =
    std::variant<StartAttempt, CancelAttempt, RelayHead, RelayChunk,
                 FinishAnswer, RefuseRequest, BreakAnswer, ReplayAnswer,
                 TrafficEmpty, ports::ClaimRequested, ports::ClaimEnded,
                 ports::EndpointObserved, ports::TrafficReport,
                 model::Decision>;

using TrafficEffectList = std::vector<TrafficEffect>;

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_TRAFFICEFFECT_H
