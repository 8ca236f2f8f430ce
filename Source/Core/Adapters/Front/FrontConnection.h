#ifndef BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTCONNECTION_H
#define BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTCONNECTION_H

#include "Core/Adapters/Front/FrontRequestParser.h"
#include "Core/Adapters/Front/FrontServer.h"
#include "Core/Adapters/Net/FileDescriptor.h"
#include "Core/Adapters/Pistache/HttpConnection.h"
#include "Core/Resources/CallerPlaces.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace bronzepass::core::adapters::front {

/// The receiving side of one caller's connection. Reads one request at a time;
/// while a request is answered, further input stays in the kernel's buffer.
class FrontConnection : public std::enable_shared_from_this<FrontConnection>,
                        private resources::MemoryHolder {
public:
  /// \p Address: IPv4 address of the caller.
  FrontConnection(FrontServer &Server, net::FileDescriptor Fd,
                  uint32_t Address);

  /// Returns false if no file descriptor was available, or none can be watched.
  bool start();
  /// Whether no request is being read or answered, all of the last answer is
  /// sent, and no received bytes wait to be read.
  bool isIdle() const;
  void close(pistache::ConnectionEnd End = pistache::ConnectionEnd::Aborted);
  resources::CallerPlace place() const;
  /// Closes the connection for a new one, with a refusal if a request has
  /// begun. False if it has something to do by now.
  bool giveUpPlace();
  /// Closes the connection without notifying the server, which is being
  /// destroyed.
  void detach();

private:
  void onRoom() override;
  void onRequestLost() override;
  void onAnswerLost() override;

  void onReadable(uint32_t Events);
  void parseInput(std::string_view Bytes);
  /// Whether received bytes wait in the kernel.
  bool hasUnreadInput() const;
  void awaitMoreInput();
  void awaitNextRequest(std::chrono::milliseconds Limit);
  /// The time for the next request is up.
  void onIdleLimit();
  /// The time for the rest of a request is up.
  void onInputLimit();
  void dispatchRequest();
  void rejectRequest();
  void refuse(int Status, const std::string &Reason,
              std::optional<model::Duration> RetryAfter);
  void discardInput();
  /// Whether memory allows to read; if not, reading pauses.
  bool mayRead();
  void settleMemory();
  void releaseMemory();
  void onAnswerSent();

  FrontServer *m_Server;
  net::EventLoop &m_Loop;
  net::FileDescriptor m_Fd;
  std::shared_ptr<pistache::HttpConnection> m_Writer;
  FrontRequestParser m_Parser;
  ParserState m_AwaitedState = ParserState::Idle;
  bool m_Answering = false;
  const uint32_t m_Address;
  /// The account of memory knows of the current request.
  bool m_IsCharged = false;
  /// Of a request that is complete and not dispatched yet.
  std::shared_ptr<const resources::HeldRequest> m_HeldRequest;
  model::TimePoint m_MovedAt;
  /// When the last answer ended.
  model::TimePoint m_IdleSince;
  /// When the body has to be complete.
  std::chrono::steady_clock::time_point m_BodyDeadline;
  size_t m_DiscardedBytes = 0;
};

} // namespace bronzepass::core::adapters::front

#endif // BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTCONNECTION_H
