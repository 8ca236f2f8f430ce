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

/// A caller's request has been read whole.
struct RequestArrived {
  model::Request m_Request;
  /// For idempotency keys: hash of caller, pool and key, and of what is asked.
  uint64_t m_KeyHash = 0;
  uint64_t m_BodyHash = 0;

  friend bool operator==(const RequestArrived &,
                         const RequestArrived &) = default;
};

/// The caller closed its connection or was cut for reading too slowly.
struct CallerGone {
  model::RequestId m_Request;

  friend bool operator==(const CallerGone &, const CallerGone &) = default;
};

/// Load that an endpoint told of itself on an answer.
struct LoadHint {
  uint32_t m_Running = 0;
  uint32_t m_Waiting = 0;

  friend bool operator==(const LoadHint &, const LoadHint &) = default;
};

/// An attempt's answer has begun.
struct AttemptHead {
  model::AttemptId m_Attempt;
  uint16_t m_Status = 0;
  std::optional<LoadHint> m_Load;

  friend bool operator==(const AttemptHead &, const AttemptHead &) = default;
};

/// A piece of an attempt's answer has come.
struct AttemptChunk {
  model::AttemptId m_Attempt;
  /// Bytes of the answer's body before this piece, and in it.
  uint64_t m_Offset = 0;
  uint64_t m_Bytes = 0;
  uint32_t m_Tokens = 0;

  friend bool operator==(const AttemptChunk &, const AttemptChunk &) = default;
};

/// How an attempt ended.
enum class AttemptEnd {
  /// Head and body came whole (streams: with their terminal marker).
  Whole,
  /// No byte of the request was handed to a connection.
  NotSent,
  /// The endpoint answered that it did not run it (503 with its proof header).
  Declined,
  /// The connection broke, or no answer came in time, after a byte had left.
  Broken,
};

struct AttemptEnded {
  model::AttemptId m_Attempt;
  AttemptEnd m_End = AttemptEnd::Broken;
  uint16_t m_Status = 0;
  /// Of a short whole answer to a request with a key, for repeats.
  std::string m_Answer;

  friend bool operator==(const AttemptEnded &, const AttemptEnded &) = default;
};

struct TableChanged {
  std::shared_ptr<const RoutingTable> m_Table;

  friend bool operator==(const TableChanged &, const TableChanged &) = default;
};

/// A report on an engine's load, as old as the report.
struct LoadSeen {
  model::EndpointId m_Endpoint;
  LoadHint m_Load;
  model::TimePoint m_MadeAt;

  friend bool operator==(const LoadSeen &, const LoadSeen &) = default;
};

/// An engine's cache gained or lost prompt blocks; late and with gaps.
struct CacheSeen {
  model::EndpointId m_Endpoint;
  uint64_t m_Sequence = 0;
  std::vector<uint64_t> m_Added;
  std::vector<uint64_t> m_Removed;
  /// The engine has emptied its cache, or events were lost before this one.
  bool m_Cleared = false;

  friend bool operator==(const CacheSeen &, const CacheSeen &) = default;
};

struct TrafficTick {
  friend bool operator==(const TrafficTick &, const TrafficTick &) = default;
};

/// Take nothing new; finish what is there.
struct TrafficStopWanted {
  friend bool operator==(const TrafficStopWanted &,
                         const TrafficStopWanted &) = default;
};

using TrafficEvent =
    std::variant<RequestArrived, CallerGone, AttemptHead, AttemptChunk,
                 AttemptEnded, TableChanged, LoadSeen, CacheSeen,
                 ports::ClaimVerdict, ports::PeerUsageUpdated, TrafficTick,
                 TrafficStopWanted>;

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_TRAFFICEVENT_H
