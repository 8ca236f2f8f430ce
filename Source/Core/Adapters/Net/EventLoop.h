#ifndef BRONZEPASS_CORE_ADAPTERS_NET_EVENTLOOP_H
#define BRONZEPASS_CORE_ADAPTERS_NET_EVENTLOOP_H

#include "Core/Adapters/Net/FileDescriptor.h"

#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bronzepass::core::adapters::net {

/// An epoll loop that runs the socket watchers, timers and tasks of one thread.
/// post() and stop() may be called from any thread, everything else only from
/// the loop's thread or before it runs.
class EventLoop {
public:
  using Task = std::function<void()>;
  /// Gets the epoll event bits that are set.
  using Watcher = std::function<void(uint32_t Events)>;
  using SteadyTime = std::chrono::steady_clock::time_point;
  /// Gets the text of the exception.
  using FaultHandler = std::function<void(const std::string &What)>;

  /// What was done between two waits for events.
  struct Turn {
    std::chrono::microseconds m_Length{0};
    size_t m_Events = 0;

    friend auto operator<=>(const Turn &, const Turn &) = default;
  };
  using TurnObserver = std::function<void(const Turn &Ended)>;

  struct TimerId {
    SteadyTime m_Due;
    uint64_t m_Serial = 0;

    friend auto operator<=>(const TimerId &, const TimerId &) = default;
  };

  /// Throws std::system_error if the kernel has no descriptors left.
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Calls \p OnFault with each exception that a task, timer or watcher throws;
  /// the loop goes on. Without a handler, exceptions leave run(). Called before
  /// the loop runs.
  void setFaultHandler(FaultHandler OnFault) { m_OnFault = std::move(OnFault); }

  /// Calls \p OnTurn at the end of each turn. Called before the loop runs.
  void setTurnObserver(TurnObserver OnTurn) { m_OnTurn = std::move(OnTurn); }

  /// Runs until stop(); tasks posted before it are run first.
  void run();
  void stop();
  /// Runs \p Work on the loop's thread, in order of posting, and before the
  /// watchers and timers that are due after it.
  void post(Task Work);

  TimerId runAfter(std::chrono::microseconds Delay, Task Work);
  /// Does nothing if the timer has already run.
  void cancel(const TimerId &Timer);

  /// Watches \p Fd for \p Events (epoll bits, level-triggered); a second call
  /// replaces the first. unwatch() it before it is closed. Returns false, and
  /// tells the fault handler, if the kernel refuses.
  bool watch(int Fd, uint32_t Events, Watcher OnEvents);
  /// Changes the epoll bits and keeps the watcher.
  void setWatchedEvents(int Fd, uint32_t Events);
  void unwatch(int Fd);

private:
  struct Watch {
    uint32_t m_Serial = 0;
    Watcher m_OnEvents;
  };

  void guard(const Task &Work);
  void reportFault(const std::string &What);
  int millisToNextTimer() const;
  void runDueTimers();
  void runTasks();
  void dispatch(uint64_t Tag, uint32_t Events);

  FileDescriptor m_Epoll;
  FileDescriptor m_Wakeup;
  std::atomic<bool> m_Stopping = false;
  FaultHandler m_OnFault;
  TurnObserver m_OnTurn;

  std::mutex m_TaskMutex;
  std::vector<Task> m_Tasks;
  std::atomic<bool> m_HasTasks = false;

  std::map<TimerId, Task> m_Timers;
  uint64_t m_NextTimer = 1;
  std::unordered_map<int, std::shared_ptr<Watch>> m_Watches;
  uint32_t m_NextWatch = 1;
};

} // namespace bronzepass::core::adapters::net

#endif // BRONZEPASS_CORE_ADAPTERS_NET_EVENTLOOP_H
