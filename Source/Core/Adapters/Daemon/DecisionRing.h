#ifndef BRONZEPASS_CORE_ADAPTERS_DAEMON_DECISIONRING_H
#define BRONZEPASS_CORE_ADAPTERS_DAEMON_DECISIONRING_H

#include "Core/Ports/Ports.h"

#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace bronzepass::core::adapters::daemon {

/// Passes decisions on to the log and keeps the latest ones, so that `explain`
/// can show why a request was routed as it was. Callable from any thread.
class DecisionRing : public ports::DecisionLog {
public:
  explicit DecisionRing(ports::DecisionLog &Next) : m_Next(Next) {}

  void write(const model::Decision &Line) override;

  /// The kept decisions whose subject is \p Subject or starts with \p Subject
  /// and a space, oldest first.
  std::vector<model::Decision> findBySubject(const std::string &Subject) const;

private:
  static constexpr size_t MaxDecisions = 4096;

  ports::DecisionLog &m_Next;
  mutable std::mutex m_Mutex;
  std::deque<model::Decision> m_Decisions;
};

} // namespace bronzepass::core::adapters::daemon

#endif // BRONZEPASS_CORE_ADAPTERS_DAEMON_DECISIONRING_H
