#ifndef BRONZEPASS_CORE_ADAPTERS_DAEMON_CONTROLTHREAD_H
#define BRONZEPASS_CORE_ADAPTERS_DAEMON_CONTROLTHREAD_H

#include "Core/Node/ControlCore.h"
#include "Core/Ports/Event.h"
#include "Core/Ports/Ports.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace bronzepass::core::adapters::daemon {

/// The thread that owns the control core: passes it queued events in order of
/// arrival and a Tick every TickPeriod, and passes on the effects it returns.
class ControlThread : public ports::EventSink {
public:
  /// Reads the control core between events.
  using Task = std::function<void(const node::ControlCore &)>;
  using EffectHandler = std::function<void(const ports::Effect &)>;
  /// Gets the text of an exception.
  using FaultHandler = std::function<void(const std::string &What)>;

  /// \p Core and \p Clock must outlive this object. \p OnEffect is called on
  /// the control thread; so is \p OnFault, for each exception that an event, a
  /// task or \p OnEffect throws. The thread goes on after it.
  ControlThread(node::ControlCore &Core, const ports::Clock &Clock,
                EffectHandler OnEffect, FaultHandler OnFault);
  ~ControlThread() override;
  ControlThread(const ControlThread &) = delete;
  ControlThread &operator=(const ControlThread &) = delete;

  void start();
  void stop();

  /// Both may be called from any thread.
  void post(ports::Event Incoming) override;
  void runTask(Task Work);

private:
  static constexpr std::chrono::milliseconds TickPeriod{20};

  void run();
  void handle(const ports::Event &Incoming);
  void carryOut();
  void guard(const std::function<void()> &Work);

  node::ControlCore &m_Core;
  const ports::Clock &m_Clock;
  EffectHandler m_OnEffect;
  FaultHandler m_OnFault;
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
