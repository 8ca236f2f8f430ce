#ifndef BRONZEPASS_CORE_PORTS_PORTS_H
#define BRONZEPASS_CORE_PORTS_PORTS_H

#include "Core/Model/Decision.h"
#include "Core/Model/Finding.h"
#include "Core/Model/Intent.h"
#include "Core/Model/Order.h"
#include "Core/Model/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bronzepass::core::ports {

class Clock {
public:
  virtual ~Clock() = default;
  virtual model::TimePoint now() const = 0;
};

/// Source of randomness; a test gives a fixed seed.
class Random {
public:
  virtual ~Random() = default;
  /// Uniform over all 64-bit values.
  virtual uint64_t next() = 0;
};

/// Sends orders to engines and requests their reports; answers arrive as
/// events.
class EngineClient {
public:
  virtual ~EngineClient() = default;
  virtual void send(const model::EngineOrder &Order,
                    const model::Address &To) = 0;
  virtual void requestReport(const model::EndpointId &Endpoint,
                             const model::Address &From) = 0;
};

/// The platform's list of VMs, which lags behind; it arrives as an event.
class VmList {
public:
  virtual ~VmList() = default;
  virtual void refresh() = 0;
};

class DecisionLog {
public:
  virtual ~DecisionLog() = default;
  virtual void write(const model::Decision &Line) = 0;
};

/// Result of reading an intent from text: the intent if it has no errors, and
/// all findings.
struct IntentReadResult {
  std::optional<model::Intent> m_Intent;
  model::FindingList m_Findings;
};

class IntentReader {
public:
  virtual ~IntentReader() = default;
  virtual IntentReadResult read(const std::string &Text,
                                const std::string &FileName) const = 0;
};

enum class Metric {
  RequestsAnswered,
  RequestsRefused,
  AttemptsStarted,
  StaleAnswersDropped,
  StoreCalls,
  PeerBytesOut,
  PeerMessagesRejected,
  OrdersSent,
  ModelMoves,
  GenerationInForce,
};

/// Counters and gauges; \p Label names one series of the metric.
class Metrics {
public:
  virtual ~Metrics() = default;
  virtual void add(Metric Which, const std::string &Label, double Amount) = 0;
  virtual void set(Metric Which, const std::string &Label, double Value) = 0;
};

} // namespace bronzepass::core::ports

#endif // BRONZEPASS_CORE_PORTS_PORTS_H
