#ifndef BRONZEPASS_CORE_ADAPTERS_GATEWAY_PEERDATAGRAMS_H
#define BRONZEPASS_CORE_ADAPTERS_GATEWAY_PEERDATAGRAMS_H

#include "Core/Adapters/Net/EventLoop.h"
#include "Core/Adapters/Net/FileDescriptor.h"
#include "Core/Gateway/PeerNotice.h"
#include "Core/Model/Address.h"

#include <functional>
#include <optional>
#include <string>

namespace bronzepass::core::adapters::gateway {

/// Exchanges notices with other nodes over UDP: there is no connection that can
/// stall, and a lost notice is superseded by the next one.
class PeerDatagrams {
public:
  using Receiver = std::function<void(const core::gateway::PeerNotice &Notice,
                                      const model::Address &From)>;

  /// \p Loop must outlive this object; \p OnNotice is called on its thread.
  PeerDatagrams(net::EventLoop &Loop, Receiver OnNotice);
  ~PeerDatagrams();
  PeerDatagrams(const PeerDatagrams &) = delete;
  PeerDatagrams &operator=(const PeerDatagrams &) = delete;

  /// Returns the reason on failure.
  std::optional<std::string> listen(const model::Address &Address);
  /// Sends an encoded notice; drops it if it cannot be sent without blocking.
  void send(const model::Address &To, const std::string &Bytes);

  uint64_t malformedCount() const { return m_MalformedCount; }

private:
  void receiveAll();

  net::EventLoop &m_Loop;
  Receiver m_OnNotice;
  net::FileDescriptor m_Socket;
  uint64_t m_MalformedCount = 0;
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_PEERDATAGRAMS_H
