#ifndef BRONZEPASS_CORE_ROUTING_LIVEREQUEST_H
#define BRONZEPASS_CORE_ROUTING_LIVEREQUEST_H

#include "Core/Model/Request.h"
#include "Core/Routing/WaitQueue.h"

#include <cstdint>
#include <vector>

namespace bronzepass::core::routing {

enum class RequestPhase { AwaitingClaim, Queued, Running };

/// State of a request from its arrival to its final answer.
struct LiveRequest {
  model::Request m_Request;
  uint64_t m_KeyHash = 0;
  uint64_t m_BodyHash = 0;
  RequestPhase m_Phase = RequestPhase::Queued;
  LaneKey m_Lane;
  /// Its entry in the wait queue; empty while it is not queued.
  QueuedRequest m_Queued;
  /// When its timer expires: at its deadline, or at the latest start that can
  /// meet it.
  model::TimePoint m_TimerAt;
  /// CallerLimiter::admit() has counted it.
  bool m_CountedByLimiter = false;
  /// It holds the claim on its idempotency key.
  bool m_Claimed = false;
  /// The caller was answered or has disconnected; the attempt goes on so that
  /// its outcome can be recorded.
  bool m_CallerDone = false;

  uint32_t m_AttemptCount = 0;
  std::vector<model::EndpointId> m_TriedEndpoints;
  /// Some byte of some attempt may have reached an endpoint.
  bool m_MayHaveRun = false;
  /// An endpoint began to answer with a status below 500.
  bool m_Ran = false;

  /// The running attempt; zero if there is none.
  model::AttemptId m_Attempt;
  model::EndpointId m_Endpoint;
  /// Node that the attempt was forwarded to; empty if sent directly.
  model::NodeId m_ForwardNode;
  model::TimePoint m_AttemptStartedAt;
  model::TimePoint m_HeadReceivedAt;
  bool m_HeadReceived = false;
  bool m_IsResumed = false;
  uint16_t m_Status = 0;
  uint32_t m_Tokens = 0;
  /// Token count and time of the last measurement of the answer's speed.
  uint32_t m_SpeedSampleTokens = 0;
  model::TimePoint m_SpeedSampleAt;

  /// The head was relayed to the caller.
  bool m_HeadRelayed = false;
  /// Body bytes relayed; the next chunk must begin at this offset.
  uint64_t m_Offset = 0;
};

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_LIVEREQUEST_H
