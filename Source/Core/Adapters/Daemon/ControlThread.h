#ifndef BRONZEPASS_CORE_ADAPTERS_DAEMON_CONTROLTHREAD_H
#define BRONZEPASS_CORE_ADAPTERS_DAEMON_CONTROLTHREAD_H

#include "Core/Node/ControlCore.h"
#include "Core/Ports/Event.h"
#include "Core/Ports/Ports.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace bronzepass::core::adapters::daemon {

/// The one thread of control state: hands events to the control core in the
/// order in which they came, with a Tick in every period, and carries out what
/// it returns.
class ControlThread : public ports::EventSink {
public:
  /// Work on the control core between two events.
  using Task = std::function<void(const node::ControlCore &)>;
  using EffectHandler = std::function<void(const ports::Effect &)>;

  /// All outlive the thread. \p OnEffect is called on it.
  ControlThread(node::ControlCore &Core, const ports::Clock &Clock,
                EffectHandler OnEffect);
  ~ControlThread() override;
  ControlThread(const ControlThread &) = delete;
  ControlThread &operator=(const ControlThread &) = delete;

  void start();
  void stop();

  /// Both from any thread.
  void post(ports::Event Incoming) override;
  void runTask(Task Work);

private:
  static constexpr std::chrono::milliseconds TickPeriod{20};

  void run();
  void handle(const ports::Event &Incoming);
  void carryOut();

  node::ControlCore &m_Core;
  const ports::Clock &m_Clock;
  EffectHandler m_OnEffect;
  ports::EffectList m_Effects;

  std::mutex m_Mutex;
  std::condition_variable m_Wakeup;
  std::deque<ports::Event> m_Events;
  std::deque<Task> m_Tasks;
  bool m_Stopping = false;
  std::thread m_Thread;
};

} // namespace bronzepass::core::adapters::daemon

#endif // BRONZEPASS_CORE_ADAPTERS_DAEMON_CONTROLTHREAD_H
