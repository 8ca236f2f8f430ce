#ifndef BRONZEPASS_CORE_ADAPTERS_TRAFFIC_ATTEMPT_H
#define BRONZEPASS_CORE_ADAPTERS_TRAFFIC_ATTEMPT_H

#include "Core/Adapters/Curl/CurlMulti.h"
#include "Core/Adapters/Net/EventLoop.h"
#include "Core/Routing/TrafficEffect.h"
#include "Core/Routing/TrafficEvent.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzepass::core::adapters::traffic {

/// Request and response header with the body offset at which a broken stream
/// resumes.
constexpr const char *ResumeHeader = "Bronzepass-Resume-Offset";

/// State of one attempt to send a request. Turns what is received of its
/// response into events for the TrafficDecider.
class Attempt {
public:
  Attempt(const routing::StartAttempt &Start, size_t MaxReplayBytes)
      : m_Start(Start), m_Offset(Start.m_ResumeOffset),
        m_MaxReplayBytes(MaxReplayBytes) {}

  const routing::StartAttempt &start() const { return m_Start; }
  const curl::TransferHead &head() const { return m_Head; }

  /// Empty if the decider must not see the head: the endpoint declined the
  /// request, or the response is unusable.
  std::optional<routing::AttemptHead>
  handleHead(const curl::TransferHead &Head);
  /// The response may be that to another attempt, or does not resume the stream
  /// at the requested offset, so the attempt must be ended as broken.
  bool isUnusable() const { return m_Unusable; }

  /// The response names this attempt, so that it can be told from others on the
  /// same connection.
  bool namesAttempt() const;

  std::optional<routing::AttemptChunk> handleChunk(std::string_view Bytes);
  routing::AttemptEnded handleEnd(const curl::TransferResult &Result);
  /// For an attempt that the driver cancels after the request may have been
  /// sent.
  routing::AttemptEnded makeBrokenEnd() const;

  uint64_t m_Transfer = 0;
  bool m_TimerRuns = false;
  net::EventLoop::TimerId m_Timer;

private:
  bool hasTerminalMarker() const;
  bool isOfThisAttempt() const;
  bool resumesStream() const;

  routing::StartAttempt m_Start;
  curl::TransferHead m_Head;
  uint64_t m_Offset = 0;
  size_t m_MaxReplayBytes = 0;
  bool m_HasHead = false;
  bool m_Declined = false;
  bool m_Unusable = false;
  bool m_IsStream = false;
  /// Last bytes of the body, searched for the terminal marker.
  std::string m_Tail;
  /// The body so far, to replay for repeats of the request.
  std::string m_ReplayBody;
  bool m_ReplayTooLong = false;
};

} // namespace bronzepass::core::adapters::traffic

#endif // BRONZEPASS_CORE_ADAPTERS_TRAFFIC_ATTEMPT_H
