#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_CONTROLCALLS_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_CONTROLCALLS_H

#include "Core/Adapters/Curl/CurlMulti.h"
#include "Core/Adapters/Net/EventLoop.h"
#include "Core/Gateway/Dialect.h"
#include "Core/Model/Address.h"
#include "Core/Model/Time.h"

#include <functional>

namespace bronzepass::core::adapters::gateway {

/// HTTP client of the control thread: calls the store, and sends orders and
/// report requests to engines.
class ControlCalls {
public:
  using CallDone = std::function<void(const core::gateway::HttpResult &)>;

  enum class ConnectionUse {
    Kept,
    /// A new connection for this call alone. For servers that may send a second
    /// copy of an answer: on a kept connection it would be taken for the answer
    /// to the next call.
    Single,
  };

  /// \p Loop must outlive this object.
  explicit ControlCalls(net::EventLoop &Loop);

  /// Calls \p OnDone once, with status 0 if no complete answer arrived within
  /// \p Timeout.
  void call(const model::Address &To, const core::gateway::HttpCall &Call,
            model::Duration Timeout, ConnectionUse Use, CallDone OnDone);

private:
  curl::CurlMulti m_Curl;
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_CONTROLCALLS_H
