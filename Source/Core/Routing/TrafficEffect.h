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

/// Send the request to an endpoint, or forward it to a node that sends to the
/// endpoint directly.
struct StartAttempt {
  model::AttemptId m_Attempt;
  model::RequestId m_Request;
  /// Empty if the request is forwarded to another node.
  model::EndpointId m_Endpoint;
  model::Address m_Address;
  bool m_ToNode = false;
  /// Artifact to request from the engine (version of a base model, or adapter).
  model::ArtifactId m_Artifact;
  /// Connect and first-byte timeouts; m_Deadline limits the whole answer.
  model::Duration m_ConnectTimeout{0};
  model::Duration m_FirstByteTimeout{0};
  model::TimePoint m_Deadline;
  /// Use a new connection: the client's silent retry on a reused one could run
  /// a request twice.
  bool m_FreshConnection = false;
  /// Resume a broken stream after this many bytes of its body.
  uint64_t m_ResumeOffset = 0;

  friend bool operator==(const StartAttempt &, const StartAttempt &) = default;
};

/// Cancel the attempt and close its connection, so that the engine stops.
struct CancelAttempt {
  model::AttemptId m_Attempt;

  friend bool operator==(const CancelAttempt &,
                         const CancelAttempt &) = default;
};

/// Relay the head just reported to the caller. A head or chunk for which no
/// relay effect is returned is dropped.
struct RelayHead {
  model::RequestId m_Request;
  model::AttemptId m_Attempt;

  friend bool operator==(const RelayHead &, const RelayHead &) = default;
};

/// Relay the chunk just reported to the caller.
struct RelayChunk {
  model::RequestId m_Request;
  model::AttemptId m_Attempt;

  friend bool operator==(const RelayChunk &, const RelayChunk &) = default;
};

/// The answer is complete: end it cleanly.
struct FinishAnswer {
  model::RequestId m_Request;

  friend bool operator==(const FinishAnswer &, const FinishAnswer &) = default;
};

/// Nothing was relayed to the caller: answer with this typed error.
struct RefuseRequest {
  model::RequestId m_Request;
  model::Refusal m_Refusal;

  friend bool operator==(const RefuseRequest &,
                         const RefuseRequest &) = default;
};

/// Part of the answer was relayed and the rest can't be: break the connection
/// so that the caller sees the failure, never end it cleanly.
struct BreakAnswer {
  model::RequestId m_Request;
  model::Refusal m_Refusal;

  friend bool operator==(const BreakAnswer &, const BreakAnswer &) = default;
};

/// Answer with the stored outcome of the first run with this idempotency key.
struct ReplayAnswer {
  model::RequestId m_Request;
  uint16_t m_Status = 0;
  std::string m_Answer;

  friend bool operator==(const ReplayAnswer &, const ReplayAnswer &) = default;
};

/// All requests have ended after a TrafficStopRequested.
struct TrafficStopped {
  friend bool operator==(const TrafficStopped &,
                         const TrafficStopped &) = default;
};

/// ClaimRequested, ClaimEnded, EndpointObserved and TrafficReport go to the
/// control core.
using TrafficEffect =
    std::variant<StartAttempt, CancelAttempt, RelayHead, RelayChunk,
                 FinishAnswer, RefuseRequest, BreakAnswer, ReplayAnswer,
                 TrafficStopped, ports::ClaimRequested, ports::ClaimEnded,
                 ports::EndpointObserved, ports::TrafficReport,
                 model::Decision>;

using TrafficEffectList = std::vector<TrafficEffect>;

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_TRAFFICEFFECT_H
