#ifndef BRONZEPASS_CORE_ADAPTERS_PISTACHE_HTTPCONNECTION_H
#define BRONZEPASS_CORE_ADAPTERS_PISTACHE_HTTPCONNECTION_H

#include "Core/Adapters/Net/EventLoop.h"
#include "Core/Adapters/Net/FileDescriptor.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bronzepass::core::adapters::pistache {

/// What one connection may hold and how long it may idle.
struct ConnectionLimits {
  /// Bytes of answers that a caller has not taken yet; past it, it is cut.
  size_t m_BufferBytes = 1 << 20;
  /// From the end of an answer to the next request.
  std::chrono::milliseconds m_KeepAlive = std::chrono::seconds(60);
};

/// The writing side of one connection to a Pistache server, on a duplicate of
/// its descriptor: Pistache queues answers by descriptor number, which the
/// kernel may have given to another caller by then; a duplicate goes on naming
/// this connection. All but the constructor, busy and discard flags belong to
/// the loop's thread.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  /// Duplicates \p PeerFd; called on the reactor's thread that owns it.
  HttpConnection(net::EventLoop &Loop, int PeerFd, ConnectionLimits Limits);
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// The next request, or the rest of one, is to come within \p Limit; else
  /// \p OnTimeout is called, or without one the connection is closed.
  void expectInput(std::chrono::milliseconds Limit,
                   std::function<void()> OnTimeout);
  /// A request has been read; \p OnGone is called once if the caller leaves
  /// before endAnswer().
  void startAnswer(std::function<void()> OnGone);
  /// Sends or keeps the bytes; false where the connection is gone, or was cut
  /// because its caller reads too slowly.
  bool write(std::string_view Bytes);
  /// The answer has been written; the connection idles or, with \p Close,
  /// ends once all is sent.
  void endAnswer(bool Close);
  /// Calls \p OnSent once nothing is kept for the caller any more, or the
  /// connection is gone; at once where that is so already.
  void whenSent(std::function<void()> OnSent);
  /// Calls \p OnIdle each time that an answer has ended, so that whoever reads
  /// from the connection goes on.
  void setOnIdle(std::function<void()> OnIdle) { m_OnIdle = std::move(OnIdle); }
  /// From the next answer's end on.
  void setKeepAlive(std::chrono::milliseconds Limit) {
    m_Limits.m_KeepAlive = Limit;
  }
  /// Ends it visibly: what is kept is dropped, nothing is ended cleanly.
  void abort();
  bool isOpen() const { return m_Open; }
  /// False where no descriptor was left for the duplicate.
  bool hasDescriptor() const { return m_Fd.valid(); }
  net::EventLoop &loop() { return m_Loop; }

  /// A request is being answered: what comes in is a pipelined one.
  bool isBusy() const { return m_Busy; }
  /// False where it was busy already.
  bool tryMarkBusy() { return !m_Busy.exchange(true); }
  void clearBusy() { m_Busy = false; }
  /// What still comes in is thrown away: the last answer told why.
  bool isDiscarding() const { return m_Discarding; }
  void setDiscarding() { m_Discarding = true; }

private:
  void open();
  void close();
  void onEvents(uint32_t Events);
  void flush();
  void updateWatch();
  void tellSent();
  void finishSending();
  void startTimer(std::chrono::milliseconds Delay,
                  std::function<void()> OnTimeout);
  void stopTimer();

  net::EventLoop &m_Loop;
  net::FileDescriptor m_Fd;
  ConnectionLimits m_Limits;
  std::atomic<bool> m_Busy = false;
  std::atomic<bool> m_Discarding = false;

  bool m_Open = false;
  bool m_WasOpened = false;
  bool m_CloseWhenSent = false;
  std::string m_Pending;
  std::function<void()> m_OnGone;
  std::function<void()> m_OnIdle;
  std::vector<std::function<void()>> m_OnSent;
  bool m_TimerRuns = false;
  net::EventLoop::TimerId m_Timer;
};

} // namespace bronzepass::core::adapters::pistache

#endif // BRONZEPASS_CORE_ADAPTERS_PISTACHE_HTTPCONNECTION_H
