#ifndef BRONZEPASS_CORE_ROUTING_LIVEREQUEST_H
#define BRONZEPASS_CORE_ROUTING_LIVEREQUEST_H

#include "Core/Model/Request.h"
#include "Core/Routing/WaitQueue.h"

#include <cstdint>
#include <vector>

namespace bronzepass::core::routing {

enum class RequestPhase { AwaitingClaim, Queued, Running };

/// A request from its arrival to its final answer.
struct LiveRequest {
  model::Request m_Request;
  uint64_t m_KeyHash = 0;
  uint64_t m_BodyHash = 0;
  RequestPhase m_Phase = RequestPhase::Queued;
  LaneKey m_Lane;
  /// As it stands in the queue, while it does.
  QueuedRequest m_Queued;
  /// When its timer is due: its deadline, or its latest useful start.
  model::TimePoint m_Due;
  /// Counted against its caller's limits.
  bool m_Metered = false;
  /// Holds a granted claim.
  bool m_Claimed = false;
  /// The caller was answered or left; the attempt goes on for its outcome.
  bool m_Answered = false;

  uint32_t m_Tries = 0;
  std::vector<model::EndpointId> m_Tried;
  /// Some byte of some attempt may have reached an endpoint.
  bool m_MayHaveRun = false;
  /// An endpoint began to answer.
  bool m_Ran = false;

  /// The live attempt; zero where there is none.
  model::AttemptId m_Attempt;
  model::EndpointId m_Endpoint;
  model::NodeId m_ToNode;
  model::TimePoint m_AttemptAt;
  model::TimePoint m_HeadAt;
  bool m_HeadSeen = false;
  bool m_Resuming = false;
  uint16_t m_Status = 0;
  uint32_t m_Tokens = 0;
  /// Tokens, and when, at the last measurement of the answer's speed.
  uint32_t m_MarkTokens = 0;
  model::TimePoint m_MarkAt;

  /// The head has been passed on to the caller.
  bool m_HeadRelayed = false;
  /// Bytes of the body passed on; the next piece must begin here.
  uint64_t m_Offset = 0;
};

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_LIVEREQUEST_H
