#ifndef BRONZEPASS_CORE_ADAPTERS_NET_LOOPTHREAD_H
#define BRONZEPASS_CORE_ADAPTERS_NET_LOOPTHREAD_H

#include "Core/Adapters/Net/EventLoop.h"

#include <thread>

namespace bronzepass::core::adapters::net {

/// An EventLoop on a thread of its own; the destructor stops and joins it.
class LoopThread {
public:
  LoopThread() = default;
  LoopThread(const LoopThread &) = delete;
  LoopThread &operator=(const LoopThread &) = delete;
  ~LoopThread() { stop(); }

  EventLoop &loop() { return m_Loop; }

  void start() {
    m_Thread = std::thread([this] { m_Loop.run(); });
  }

  void stop() {
    if (!m_Thread.joinable())
      return;
    m_Loop.stop();
    m_Thread.join();
  }

private:
  EventLoop m_Loop;
  std::thread m_Thread;
};

} // namespace bronzepass::core::adapters::net

#endif // BRONZEPASS_CORE_ADAPTERS_NET_LOOPTHREAD_H
