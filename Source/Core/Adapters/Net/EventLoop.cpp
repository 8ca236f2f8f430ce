#include "Core/Adapters/Net/EventLoop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <exception>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <system_error>

namespace bronzepass::core::adapters::net {

namespace {

constexpr size_t EventsPerWait = 256;
/// Serial of the wake-up descriptor; serials of watches start at 1.
constexpr uint32_t WakeupSerial = 0;

/// The serial distinguishes a watch from an earlier one on the same descriptor
/// number.
uint64_t makeTag(int Fd, uint32_t Serial) {
  return (static_cast<uint64_t>(Serial) << 32) | static_cast<uint32_t>(Fd);
}

} // namespace

EventLoop::EventLoop()
    : m_Epoll(::epoll_create1(EPOLL_CLOEXEC)),
      m_Wakeup(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  epoll_event Event{};
  Event.events = EPOLLIN;
  Event.data.u64 = makeTag(m_Wakeup.get(), WakeupSerial);
  if (!m_Epoll.valid() || !m_Wakeup.valid() ||
      ::epoll_ctl(m_Epoll.get(), EPOLL_CTL_ADD, m_Wakeup.get(), &Event) != 0)
    throw std::system_error(errno, std::generic_category(),
                            "cannot create an event loop");
}

EventLoop::~EventLoop() {
  // Destroying the objects that tasks, timers and watchers own may post new
  // tasks, so this repeats until none are left.
  m_Stopping = true;
  bool Left = true;
  while (Left) {
    std::vector<Task> Tasks;
    {
      const std::lock_guard<std::mutex> Lock(m_TaskMutex);
      Tasks.swap(m_Tasks);
    }
    const std::map<TimerId, Task> Timers = std::move(m_Timers);
    m_Timers.clear();
    const std::unordered_map<int, std::shared_ptr<Watch>> Watches =
        std::move(m_Watches);
    m_Watches.clear();
    Left = !Tasks.empty() || !Timers.empty() || !Watches.empty();
  }
}

void EventLoop::run() {
  std::array<epoll_event, EventsPerWait> Events{};
  while (!m_Stopping) {
    const int Count = ::epoll_wait(m_Epoll.get(), Events.data(), EventsPerWait,
                                   millisToNextTimer());
    const SteadyTime Begin = std::chrono::steady_clock::now();
    for (int I = 0; I < Count; ++I) {
      runTasks();
      dispatch(Events[I].data.u64, Events[I].events);
    }
    runTasks();
    runDueTimers();
    if (m_OnTurn)
      m_OnTurn({std::chrono::duration_cast<std::chrono::microseconds>(
                    std::chrono::steady_clock::now() - Begin),
                static_cast<size_t>(std::max(Count, 0))});
  }
}

void EventLoop::stop() {
  m_Stopping = true;
  ::eventfd_write(m_Wakeup.get(), 1);
}

void EventLoop::post(Task Work) {
  bool WasEmpty = false;
  {
    const std::lock_guard<std::mutex> Lock(m_TaskMutex);
    WasEmpty = m_Tasks.empty();
    m_Tasks.push_back(std::move(Work));
    m_HasTasks = true;
  }
  if (WasEmpty)
    ::eventfd_write(m_Wakeup.get(), 1);
}

EventLoop::TimerId EventLoop::runAfter(std::chrono::microseconds Delay,
                                       Task Work) {
  const TimerId Timer{std::chrono::steady_clock::now() + Delay, m_NextTimer++};
  m_Timers.emplace(Timer, std::move(Work));
  return Timer;
}

void EventLoop::cancel(const TimerId &Timer) { m_Timers.erase(Timer); }

bool EventLoop::watch(int Fd, uint32_t Events, Watcher OnEvents) {
  const bool Known = m_Watches.contains(Fd);
  const uint32_t Serial = m_NextWatch++;
  m_Watches[Fd] = std::make_shared<Watch>(Watch{Serial, std::move(OnEvents)});
  epoll_event Event{};
  Event.events = Events;
  Event.data.u64 = makeTag(Fd, Serial);
  // A descriptor that was closed while watched is no longer in the epoll set.
  if (Known && ::epoll_ctl(m_Epoll.get(), EPOLL_CTL_MOD, Fd, &Event) == 0)
    return true;
  if (::epoll_ctl(m_Epoll.get(), EPOLL_CTL_ADD, Fd, &Event) == 0)
    return true;
  reportFault("cannot watch descriptor " + std::to_string(Fd) + ": " +
              std::strerror(errno));
  m_Watches.erase(Fd);
  return false;
}

void EventLoop::setWatchedEvents(int Fd, uint32_t Events) {
  auto Found = m_Watches.find(Fd);
  if (Found == m_Watches.end())
    return;
  epoll_event Event{};
  Event.events = Events;
  Event.data.u64 = makeTag(Fd, Found->second->m_Serial);
  if (::epoll_ctl(m_Epoll.get(), EPOLL_CTL_MOD, Fd, &Event) != 0)
    reportFault("cannot change the events of descriptor " + std::to_string(Fd) +
                ": " + std::strerror(errno));
}

void EventLoop::unwatch(int Fd) {
  if (m_Watches.erase(Fd) != 0)
    ::epoll_ctl(m_Epoll.get(), EPOLL_CTL_DEL, Fd, nullptr);
}

int EventLoop::millisToNextTimer() const {
  if (m_Timers.empty())
    return -1;
  const std::chrono::steady_clock::duration Left =
      m_Timers.begin()->first.m_Due - std::chrono::steady_clock::now();
  const std::chrono::milliseconds Wait =
      std::chrono::ceil<std::chrono::milliseconds>(Left);
  return static_cast<int>(std::max<int64_t>(Wait.count(), 0));
}

void EventLoop::runDueTimers() {
  const SteadyTime Now = std::chrono::steady_clock::now();
  while (!m_Timers.empty() && m_Timers.begin()->first.m_Due <= Now) {
    const Task Work = std::move(m_Timers.begin()->second);
    m_Timers.erase(m_Timers.begin());
    guard(Work);
  }
}

void EventLoop::runTasks() {
  if (!m_HasTasks)
    return;
  std::vector<Task> Tasks;
  {
    const std::lock_guard<std::mutex> Lock(m_TaskMutex);
    Tasks.swap(m_Tasks);
    m_HasTasks = false;
  }
  for (const Task &Work : Tasks)
    guard(Work);
}

void EventLoop::dispatch(uint64_t Tag, uint32_t Events) {
  const uint32_t Serial = static_cast<uint32_t>(Tag >> 32);
  if (Serial == WakeupSerial) {
    eventfd_t Ignored = 0;
    ::eventfd_read(m_Wakeup.get(), &Ignored);
    return;
  }
  auto Found = m_Watches.find(static_cast<int>(Tag & 0xffffffff));
  if (Found == m_Watches.end() || Found->second->m_Serial != Serial)
    return;
  // The watcher may remove itself while it runs.
  const std::shared_ptr<Watch> Kept = Found->second;
  guard([&Kept, Events] { Kept->m_OnEvents(Events); });
}

void EventLoop::guard(const Task &Work) {
  if (!m_OnFault) {
    Work();
    return;
  }
  try {
    Work();
  } catch (const std::exception &Error) {
    reportFault(Error.what());
  }
}

void EventLoop::reportFault(const std::string &What) {
  if (m_OnFault)
    m_OnFault(What);
}

} // namespace bronzepass::core::adapters::net
