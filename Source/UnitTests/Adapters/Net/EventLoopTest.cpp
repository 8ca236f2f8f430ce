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

} // namespace bronzepass::core::adapters::net
