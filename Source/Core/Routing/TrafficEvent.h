#ifndef BRONZEPASS_CORE_ROUTING_TRAFFICEVENT_H
#define BRONZEPASS_CORE_ROUTING_TRAFFICEVENT_H

#include "Core/Model/Request.h"
#include "Core/Model/Residency.h"
#include "Core/Ports/Effect.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace bronzepass::core::routing {

class RoutingTable;

/// A caller's request was read completely.
struct RequestArrived {
  model::Request m_Request;
  /// For idempotency keys: hash of caller, pool and key, and hash of the
  /// request's content.
  uint64_t m_KeyHash = 0;
  uint64_t m_BodyHash = 0;

  friend bool operator==(const RequestArrived &,
                         const RequestArrived &) = default;
};

/// The caller closed its connection, or was disconnected for reading too
/// slowly.
struct CallerDisconnected {
  model::RequestId m_Request;

  friend bool operator==(const CallerDisconnected &,
                         const CallerDisconnected &) = default;
};

/// Load that an endpoint reported about itself.
struct ReportedLoad {
  uint32_t m_Running = 0;
  uint32_t m_Waiting = 0;

  friend bool operator==(const ReportedLoad &, const ReportedLoad &) = default;
};

/// The response head of an attempt was received.
struct AttemptHead {
  model::AttemptId m_Attempt;
  uint16_t m_Status = 0;
  std::optional<ReportedLoad> m_Load;

  friend bool operator==(const AttemptHead &, const AttemptHead &) = default;
};

/// A chunk of an attempt's answer was received.
struct AttemptChunk {
  model::AttemptId m_Attempt;
  /// Body bytes before this chunk, and in it.
  uint64_t m_Offset = 0;
  uint64_t m_Bytes = 0;
  uint32_t m_Tokens = 0;

  friend bool operator==(const AttemptChunk &, const AttemptChunk &) = default;
};

/// How an attempt ended.
enum class AttemptOutcome {
  /// Head and body were received completely (streams: with their end marker).
  Complete,
  /// No byte of the request was handed to a connection.
  NotSent,
  /// The endpoint answered that it did not run the request (503 with the header
  /// that proves it).
  Declined,
  /// The connection broke or timed out after a byte of the request was sent.
  Broken,
};

struct AttemptEnded {
  model::AttemptId m_Attempt;
  AttemptOutcome m_Outcome = AttemptOutcome::Broken;
  uint16_t m_Status = 0;
  /// Body of a short complete answer to a request with an idempotency key, to
  /// replay for repeats.
  std::string m_Answer;

  friend bool operator==(const AttemptEnded &, const AttemptEnded &) = default;
};

struct TableChanged {
  std::shared_ptr<const RoutingTable> m_Table;

  friend bool operator==(const TableChanged &, const TableChanged &) = default;
};

/// A load report of an engine, which describes the time m_MadeAt.
struct LoadReported {
  model::EndpointId m_Endpoint;
  ReportedLoad m_Load;
  model::TimePoint m_MadeAt;

  friend bool operator==(const LoadReported &, const LoadReported &) = default;
};

/// An engine's cache gained or lost prompt blocks. These events may be late and
/// have gaps.
struct CacheChanged {
  model::EndpointId m_Endpoint;
  uint64_t m_Sequence = 0;
  std::vector<uint64_t> m_Added;
  std::vector<uint64_t> m_Removed;
  /// The engine has emptied its cache, or events were lost before this one.
  bool m_Cleared = false;

  friend bool operator==(const CacheChanged &, const CacheChanged &) = default;
};

struct TrafficTick {
  friend bool operator==(const TrafficTick &, const TrafficTick &) = default;
};

/// Refuse new requests and finish those already accepted.
struct TrafficStopRequested {
  friend bool operator==(const TrafficStopRequested &,
                         const TrafficStopRequested &) = default;
};

using TrafficEvent =
    std::variant<RequestArrived, CallerDisconnected, AttemptHead, AttemptChunk,
                 AttemptEnded, TableChanged, LoadReported, CacheChanged,
                 ports::ClaimVerdict, ports::PeerUsageUpdated, TrafficTick,
                 TrafficStopRequested>;

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_TRAFFICEVENT_H
