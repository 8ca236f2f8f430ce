#include "Core/Adapters/Net/EventLoop.h"

#include <algorithm>
#include <chrono>
#include <doctest/doctest.h>
#include <stdexcept>
#include <string>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <vector>

namespace bronzepass::core::adapters::net {

using namespace std::chrono_literals;

// Guards against one unexpected exception ending the process.
TEST_CASE("a loop goes on after a task, a timer or a watcher has thrown") {
  EventLoop Loop;
  std::vector<std::string> Faults;
  Loop.setFaultHandler(
      [&](const std::string &What) { Faults.push_back(What); });
  const FileDescriptor Event(::eventfd(1, EFD_CLOEXEC | EFD_NONBLOCK));
  Loop.watch(Event.get(), EPOLLIN, [&](uint32_t) {
    Loop.unwatch(Event.get());
    throw std::runtime_error("watcher");
  });
  Loop.post([] { throw std::runtime_error("task"); });
  bool RanNextTask = false;
  Loop.post([&] { RanNextTask = true; });
  Loop.runAfter(1ms, [] { throw std::out_of_range("timer"); });
  Loop.runAfter(50ms, [&] { Loop.stop(); });
  Loop.run();
  CHECK(RanNextTask);
  CHECK(Faults.size() == 3);
  for (const std::string Origin : {"watcher", "task", "timer"})
    CHECK(std::find(Faults.begin(), Faults.end(), Origin) != Faults.end());
}

// Guards against requests that are decided by what was known before, although
// the news came first: a busy loop finds both at once.
TEST_CASE("what is posted runs before the events that follow, also within a "
          "turn") {
  EventLoop Loop;
  std::vector<std::string> Order;
  const FileDescriptor First(::eventfd(1, EFD_CLOEXEC | EFD_NONBLOCK));
  const FileDescriptor Second(::eventfd(1, EFD_CLOEXEC | EFD_NONBLOCK));
  const auto Watch = [&](const FileDescriptor &Event, const std::string &Name) {
    Loop.watch(Event.get(), EPOLLIN, [&Loop, &Order, &Event, Name](uint32_t) {
      Loop.unwatch(Event.get());
      Order.push_back(Name);
      Loop.post([&Order, Name] { Order.push_back("news of " + Name); });
    });
  };
  Watch(First, "first");
  Watch(Second, "second");
  Loop.runAfter(0ms, [&] { Order.emplace_back("timer"); });
  Loop.runAfter(20ms, [&] { Loop.stop(); });
  Loop.run();
  const std::vector<std::string> Expected = {"first", "news of first", "second",
                                             "news of second", "timer"};
  CHECK(Order == Expected);
}

} // namespace bronzepass::core::adapters::net
