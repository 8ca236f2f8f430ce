#ifndef BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTCONNECTION_H
#define BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTCONNECTION_H

#include "Core/Adapters/Front/FrontRequestParser.h"
#include "Core/Adapters/Front/FrontServer.h"
#include "Core/Adapters/Net/FileDescriptor.h"
#include "Core/Adapters/Pistache/HttpConnection.h"

#include <memory>

namespace bronzepass::core::adapters::front {

/// The receiving side of one caller's connection. Reads one request at a time;
/// while a request is answered, further input stays in the kernel's buffer.
class FrontConnection : public std::enable_shared_from_this<FrontConnection> {
public:
  FrontConnection(FrontServer &Server, net::FileDescriptor Fd);

  /// Returns false if no file descriptor was available, or none can be watched.
  bool start();
  /// Whether no request is being read or answered, and no received bytes wait
  /// to be read.
  bool isIdle() const;
  void close();
  /// Closes the connection without notifying the server, which is being
  /// destroyed.
  void detach();

private:
  void onReadable(uint32_t Events);
  void parseInput(std::string_view Bytes);
  void awaitMoreInput();
  void dispatchRequest();
  void rejectRequest();
  void onAnswerSent();

  FrontServer *m_Server;
  net::EventLoop &m_Loop;
  net::FileDescriptor m_Fd;
  std::shared_ptr<pistache::HttpConnection> m_Writer;
  FrontRequestParser m_Parser;
  ParserState m_AwaitedState = ParserState::Idle;
  bool m_Answering = false;
};

} // namespace bronzepass::core::adapters::front

#endif // BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTCONNECTION_H
