#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_FEEDRELAY_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_FEEDRELAY_H

#include "Core/Adapters/Front/FrontServer.h"
#include "Core/Adapters/Gateway/ControlCalls.h"
#include "Core/Adapters/Net/EventLoop.h"
#include "Core/Gateway/FeedPublisher.h"
#include "Core/Model/Address.h"
#include "Core/Ports/Ports.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace bronzepass::core::adapters::gateway {

/// Asks other nodes for changes in the store, and answers the same question of
/// theirs, over HTTP with CBOR bodies. Used on the control thread.
class FeedRelay : private front::FrontHandler {
public:
  /// Gets the reply, or nullopt and the reason if there is none.
  using ReplyHandler =
      std::function<void(const std::optional<core::gateway::FeedReply> &Reply,
                         const std::string &Reason)>;

  /// All arguments must outlive this object.
  FeedRelay(net::EventLoop &Loop, ControlCalls &Calls,
            const ports::Clock &Clock);

  /// Answers other nodes on \p Address; returns the reason on failure.
  std::optional<std::string> listen(const model::Address &Address);
  uint16_t port() const { return m_Server.port(); }

  /// Asks the watcher at \p Watcher; calls \p OnReply once, within \p Timeout.
  void ask(const model::Address &Watcher, const core::gateway::FeedQuery &Query,
           model::Duration Timeout, ReplyHandler OnReply);
  core::gateway::FeedPublisher &publisher(core::gateway::FeedKind Kind) {
    return m_Publishers[Kind];
  }
  /// Replies to the queries whose wait is over.
  void tick();
  /// Tells all others from now on to ask elsewhere.
  void close();

private:
  void onRequest(front::FrontRequest Request,
                 std::shared_ptr<pistache::HttpResponseWriter> Answer) override;

  ControlCalls &m_Calls;
  const ports::Clock &m_Clock;
  std::map<core::gateway::FeedKind, core::gateway::FeedPublisher> m_Publishers;
  bool m_Closed = false;
  front::FrontServer m_Server;
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_FEEDRELAY_H
