#include "Core/Adapters/Daemon/ControlThread.h"

#include <utility>

namespace bronzepass::core::adapters::daemon {

ControlThread::ControlThread(node::ControlCore &Core, const ports::Clock &Clock,
                             EffectHandler OnEffect, FaultHandler OnFault)
    : m_Core(Core), m_Clock(Clock), m_OnEffect(std::move(OnEffect)),
      m_OnFault(std::move(OnFault)) {}

ControlThread::~ControlThread() { stop(); }

void ControlThread::start() {
  m_Thread = std::thread([this] { run(); });
}

void ControlThread::stop() {
  {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Stopping = true;
  }
  m_Wakeup.notify_one();
  if (m_Thread.joinable())
    m_Thread.join();
}

void ControlThread::post(ports::Event Incoming) {
  {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Events.push_back(std::move(Incoming));
  }
  m_Wakeup.notify_one();
}

void ControlThread::runTask(Task Work) {
  {
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Tasks.push_back(std::move(Work));
  }
  m_Wakeup.notify_one();
}

void ControlThread::run() {
  m_Core.start(m_Clock.now(), m_Effects);
  carryOut();
  std::chrono::steady_clock::time_point NextTick =
      std::chrono::steady_clock::now();
  while (true) {
    std::deque<ports::Event> Events;
    std::deque<Task> Tasks;
    {
      std::unique_lock<std::mutex> Lock(m_Mutex);
      m_Wakeup.wait_until(Lock, NextTick, [this] {
        return m_Stopping || !m_Events.empty() || !m_Tasks.empty();
      });
      if (m_Stopping)
        return;
      Events.swap(m_Events);
      Tasks.swap(m_Tasks);
    }
    for (const ports::Event &Each : Events)
      handle(Each);
    for (const Task &Each : Tasks)
      guard([&] { Each(m_Core); });
    if (std::chrono::steady_clock::now() < NextTick)
      continue;
    handle(ports::Tick());
    NextTick = std::chrono::steady_clock::now() + TickPeriod;
  }
}

void ControlThread::handle(const ports::Event &Incoming) {
  guard([&] { m_Core.handle(Incoming, m_Clock.now(), m_Effects); });
  carryOut();
}

void ControlThread::carryOut() {
  for (const ports::Effect &Each : m_Effects)
    guard([&] { m_OnEffect(Each); });
  m_Effects.clear();
}

void ControlThread::guard(const std::function<void()> &Work) {
  try {
    Work();
  } catch (const std::exception &Error) {
    m_OnFault(Error.what());
  }
}

} // namespace bronzepass::core::adapters::daemon
