#ifndef BRONZEPASS_STANDINS_STANDIN_H
#define BRONZEPASS_STANDINS_STANDIN_H

#include "Core/Adapters/Net/LoopThread.h"
#include "Core/Adapters/Pistache/HttpServer.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace bronzepass::stand_ins {

using core::adapters::pistache::HttpHeader;
using core::adapters::pistache::HttpReply;
using core::adapters::pistache::HttpRequest;
using core::adapters::pistache::HttpResponseWriter;

/// A small HTTP server whose state is used only on the thread of its event
/// loop.
class StandIn : private core::adapters::pistache::HttpHandler {
public:
  explicit StandIn(core::model::Address Address);
  ~StandIn() override;

  /// Returns the error if it can't listen.
  std::optional<std::string> start();
  /// Derived classes must call it in their destructors, before their members
  /// are destroyed.
  void stop();
  uint16_t port() const;
  core::model::Address address() const;

protected:
  /// Called on the loop's thread.
  virtual void handle(const HttpRequest &Request,
                      const std::shared_ptr<HttpResponseWriter> &Answer) = 0;

  core::adapters::net::EventLoop &loop() { return m_Thread.loop(); }

private:
  void onRequest(HttpRequest Request,
                 std::shared_ptr<HttpResponseWriter> Answer) override;
  HttpReply onRequestError(core::adapters::pistache::HttpRequestError Error,
                           const std::string &Message) override;

  core::model::Address m_Address;
  core::adapters::net::LoopThread m_Thread;
  std::unique_ptr<core::adapters::pistache::HttpServer> m_Server;
};

/// A reply with the JSON body {"error": Message}.
HttpReply errorReply(int Status, const std::string &Message);

} // namespace bronzepass::stand_ins

#endif // BRONZEPASS_STANDINS_STANDIN_H
