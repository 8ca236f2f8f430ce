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

/// Header by which an engine and a node agree where a stream goes on.
constexpr const char *ResumeHeader = "Bronzepass-Resume-Offset";

/// One try of a request as the driver sees it: reads from its answer what the
/// decider is to be told.
class Attempt {
public:
  Attempt(const routing::StartAttempt &Start, size_t KeptAnswerBytes)
      : m_Start(Start), m_Offset(Start.m_ResumeOffset),
        m_KeptLimit(KeptAnswerBytes) {}

  const routing::StartAttempt &start() const { return m_Start; }
  const curl::TransferHead &head() const { return m_Head; }

  /// Nothing where the decider is not to see the head: the endpoint did not
  /// run it, or does not go on where it was asked to.
  std::optional<routing::AttemptHead> takeHead(const curl::TransferHead &Head);
  /// It must be ended as broken: what comes is not what was asked for.
  bool isUnusable() const { return m_Unusable; }

  std::optional<routing::AttemptChunk> takePiece(std::string_view Piece);
  routing::AttemptEnded takeEnd(const curl::TransferResult &Result);
  /// Ended by the driver itself after the request may have left.
  routing::AttemptEnded brokenEnd() const;

  uint64_t m_Transfer = 0;
  bool m_TimerRuns = false;
  net::EventLoop::TimerId m_Timer;

private:
  bool hasTerminalMarker() const;
  bool resumesWhereAsked() const;

  routing::StartAttempt m_Start;
  curl::TransferHead m_Head;
  uint64_t m_Offset = 0;
  size_t m_KeptLimit = 0;
  bool m_HasHead = false;
  bool m_Declined = false;
  bool m_Unusable = false;
  bool m_IsStream = false;
  /// Last bytes of the body, for the terminal marker.
  std::string m_Tail;
  std::string m_Kept;
  bool m_KeptTooLong = false;
};

} // namespace bronzepass::core::adapters::traffic

#endif // BRONZEPASS_CORE_ADAPTERS_TRAFFIC_ATTEMPT_H
