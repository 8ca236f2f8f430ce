#ifndef BRONZEPASS_UNITTESTS_ADAPTERS_GATEWAY_RELAYNODE_H
#define BRONZEPASS_UNITTESTS_ADAPTERS_GATEWAY_RELAYNODE_H

#include "Core/Adapters/Daemon/SystemPorts.h"
#include "Core/Adapters/Front/FrontServer.h"
#include "Core/Adapters/Gateway/BootClock.h"
#include "Core/Adapters/Gateway/RelayDriver.h"
#include "Core/Adapters/Net/LoopThread.h"
#include "platform/PlatformDialect.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::unit_tests::adapters::gateway {

/// The traffic thread of a node in front of scripted endpoints. Its routes are
/// "/once/", "/again/" (repeatable), "/stream/" (resumable) and "/live/" (a
/// stream that is not resumable).
class RelayNode {
public:
  /// Each endpoint runs \p Slots requests at once; nullopt: the default.
  /// \p Organisations: whose keys callers need.
  explicit RelayNode(
      const std::vector<uint16_t> &Ports,
      std::optional<uint32_t> Slots = std::nullopt,
      std::optional<std::vector<core::organisations::OrganisationSpec>>
          Organisations = std::nullopt);
  ~RelayNode();
  RelayNode(const RelayNode &) = delete;
  RelayNode &operator=(const RelayNode &) = delete;

  uint16_t port() const { return m_Server.port(); }
  uint16_t forwardingPort() const { return m_ForwardingServer.port(); }
  /// Hears from now on of a node that takes requests at \p ForwardingPort.
  void setPeer(uint16_t ForwardingPort) { m_PeerPort = ForwardingPort; }
  /// The same of a second one.
  void setOtherPeer(uint16_t ForwardingPort) { m_OtherPort = ForwardingPort; }
  std::string metrics() const { return m_Metrics.text(); }
  /// Keeps the loop busy for \p Span and runs \p Work meanwhile.
  void whileBusy(std::chrono::milliseconds Span,
                 const std::function<void()> &Work);
  /// Returns once the loop has done what was there before, and what follows
  /// from it at once.
  void settle();

private:
  void tick();
  void hearOf(const char *Peer, uint16_t ForwardingPort);

  core::adapters::daemon::SystemRandom m_Random;
  core::adapters::gateway::BootClock m_Clock;
  core::adapters::gateway::GatewayLog m_Log;
  core::adapters::gateway::GatewayMetrics m_Metrics;
  platform::PlatformDialect m_Dialect;
  core::gateway::RelayCore m_Core;
  core::adapters::net::LoopThread m_Thread;
  core::adapters::gateway::RelayDriver m_Driver;
  core::adapters::front::FrontServer m_Server;
  core::adapters::front::FrontServer m_ForwardingServer;
  std::atomic<uint16_t> m_PeerPort = 0;
  std::atomic<uint16_t> m_OtherPort = 0;
  uint64_t m_PeerNotices = 0;
};

/// Status line, request id and seal of an endpoint's success; the framing
/// headers and the empty line are to follow.
extern const char *const Sealed;
/// The complete head of a sealed chunked success.
extern const std::string ChunkedHead;

/// The head of a request with id r1; \p ExtraHeaders end with a line end each.
std::string requestText(const std::string &Target,
                        const std::string &ExtraHeaders = "",
                        const std::string &Method = "POST");
/// A request to a route that must run at most once, on a connection that its
/// answer closes.
std::string onceRequest(const std::string &ExtraHeaders = "");
/// A complete event of a stream.
std::string event(int Id);
/// \p Text as one chunk of a chunked body.
std::string chunk(const std::string &Text);
/// Returns the whole response that a caller receives for \p Request.
std::string answerTo(const RelayNode &Node, const std::string &Request);

} // namespace bronzepass::unit_tests::adapters::gateway

#endif // BRONZEPASS_UNITTESTS_ADAPTERS_GATEWAY_RELAYNODE_H
