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

/// Buffer limit and idle timeout of one connection.
struct ConnectionLimits {
  /// Bytes of responses that are buffered for a slow caller. If more are
  /// needed, the connection is closed.
  size_t m_BufferBytes = 1 << 20;
  /// Limit from the end of a response to the next request.
  std::chrono::milliseconds m_KeepAlive = std::chrono::seconds(60);
};

/// Why a connection has ended.
enum class ConnectionEnd {
  /// The caller has closed or reset it.
  ByCaller,
  /// The caller reads more slowly than its buffer allows.
  UnreadAnswer,
  /// Memory for answers that callers have not read is short.
  MemoryShort,
  /// The answer was given up, or the connection was closed by its server.
  Aborted,
  /// Nothing came, or was read, within the limit.
  TimedOut
};

const char *toString(ConnectionEnd Value);

/// The write side of one connection to a Pistache server, on a duplicate of its
/// descriptor. Pistache queues responses by descriptor number, which the kernel
/// may have reused for another caller by then; the duplicate always refers to
/// this connection. Everything except the constructor, the busy flag and the
/// discard flag is used on the loop's thread only.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  /// Duplicates \p PeerFd. Called on the reactor thread that owns it.
  HttpConnection(net::EventLoop &Loop, int PeerFd, ConnectionLimits Limits);
  ~HttpConnection();
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// Starts a timer for the next request or the rest of one. If it is not
  /// received within \p Limit, \p OnTimeout is called or, if that is empty, the
  /// connection is closed.
  void expectInput(std::chrono::milliseconds Limit,
                   std::function<void()> OnTimeout);
  /// Called when a request has been read. Calls \p OnDisconnect once if the
  /// connection is closed before endAnswer().
  void startAnswer(std::function<void()> OnDisconnect);
  /// Sends or buffers the bytes. False if the connection is closed, also if
  /// this call closed it because its caller reads too slowly.
  bool write(std::string_view Bytes);
  /// Called when the response has been written. The connection becomes idle or,
  /// with \p Close, ends once everything is sent.
  void endAnswer(bool Close);
  /// Calls \p OnSent once nothing is buffered for the caller any more, or the
  /// connection is closed; immediately if that is already so.
  void whenSent(std::function<void()> OnSent);
  /// Calls \p OnIdle each time a response has ended, so that reading from the
  /// connection continues.
  void setOnIdle(std::function<void()> OnIdle) { m_OnIdle = std::move(OnIdle); }
  /// Called instead of closing the connection when no next request has come in
  /// time.
  void setOnKeepAliveEnd(std::function<void()> OnEnd) {
    m_OnKeepAliveEnd = std::move(OnEnd);
  }
  /// Calls \p OnPending with the number of bytes that are buffered for the
  /// caller each time it changes. False: the connection is closed.
  void setOnPending(std::function<bool(size_t)> OnPending) {
    m_OnPending = std::move(OnPending);
  }
  /// Takes effect at the end of the next response.
  void setKeepAlive(std::chrono::milliseconds Limit) {
    m_Limits.m_KeepAlive = Limit;
  }
  /// Called for a response that ends with the connection: until all of it is
  /// sent, closing the connection resets it, also if the process is killed.
  /// Only the reset tells the caller that the response is incomplete.
  void setResetOnClose();
  /// Closes the connection and drops the buffered bytes, so that the caller
  /// sees an incomplete response.
  void abort(ConnectionEnd End = ConnectionEnd::Aborted);
  bool isOpen() const { return m_Open; }
  /// Whether the caller has closed or reset the connection, also if the loop
  /// has not been told yet.
  bool hasCallerLeft() const;
  /// Whether bytes are buffered for the caller.
  bool hasUnsentBytes() const { return !m_Pending.empty(); }
  /// Why the connection has ended; meaningful once it has.
  ConnectionEnd end() const { return m_End; }
  /// Bytes that were still to be sent when it ended.
  size_t lostBytes() const { return m_LostBytes; }
  /// False if the process had no descriptor left for the duplicate.
  bool hasDescriptor() const { return m_Fd.valid(); }
  net::EventLoop &loop() { return m_Loop; }

  /// A request is being answered; input received meanwhile is a pipelined
  /// request.
  bool isBusy() const { return m_Busy; }
  /// False if the connection was busy already.
  bool tryMarkBusy() { return !m_Busy.exchange(true); }
  void clearBusy() { m_Busy = false; }
  /// Further input is discarded; the last response has told the caller why.
  bool isDiscarding() const { return m_Discarding; }
  void setDiscarding() { m_Discarding = true; }

private:
  void open();
  void close(ConnectionEnd End);
  void reset();
  void setLingerReset(bool Enabled);
  void onEvents(uint32_t Events);
  void flush();
  void updateWatch();
  void notifySent();
  /// Closes the connection if its caller takes no byte for long.
  void startSendingTimer();
  /// The answer has ended and nothing of it is left to be sent.
  void awaitNextRequest();
  void shutdownWrites();
  void startTimer(std::chrono::milliseconds Delay,
                  std::function<void()> OnTimeout);
  void stopTimer();

  net::EventLoop &m_Loop;
  net::FileDescriptor m_Fd;
  ConnectionLimits m_Limits;
  std::atomic<bool> m_Busy = false;
  std::atomic<bool> m_Discarding = false;

  bool m_Open = false;
  ConnectionEnd m_End = ConnectionEnd::ByCaller;
  size_t m_LostBytes = 0;
  bool m_WasOpened = false;
  bool m_CloseWhenSent = false;
  bool m_ResetOnClose = false;
  std::string m_Pending;
  std::function<void()> m_OnDisconnect;
  std::function<void()> m_OnIdle;
  std::function<void()> m_OnKeepAliveEnd;
  std::function<bool(size_t)> m_OnPending;
  std::vector<std::function<void()>> m_OnSent;
  bool m_TimerRuns = false;
  /// The timer that runs is that of startSendingTimer().
  bool m_TimesSending = false;
  net::EventLoop::TimerId m_Timer;
};

} // namespace bronzepass::core::adapters::pistache

#endif // BRONZEPASS_CORE_ADAPTERS_PISTACHE_HTTPCONNECTION_H
