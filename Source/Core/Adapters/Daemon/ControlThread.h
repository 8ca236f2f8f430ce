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

/// The thread that owns the control core: passes it queued events in order of
/// arrival and a Tick every TickPeriod, and passes on the effects it returns.
class ControlThread : public ports::EventSink {
public:
  /// Reads the control core between events.
  using Task = std::function<void(const node::ControlCore &)>;
  using EffectHandler = std::function<void(const ports::Effect &)>;

  /// \p Core and \p Clock must outlive this object. \p OnEffect is called on
  /// the control thread.
  ControlThread(node::ControlCore &Core, const ports::Clock &Clock,
                EffectHandler OnEffect);
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
