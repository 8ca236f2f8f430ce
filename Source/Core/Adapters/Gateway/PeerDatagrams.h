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

/// Notices to and from other nodes by UDP: there is no connection that could
/// go silent, and one that is lost is replaced by the next.
class PeerDatagrams {
public:
  using Receiver = std::function<void(const core::gateway::PeerNotice &Notice,
                                      const model::Address &From)>;

  /// \p Loop outlives it; \p OnNotice is called on its thread.
  PeerDatagrams(net::EventLoop &Loop, Receiver OnNotice);
  ~PeerDatagrams();
  PeerDatagrams(const PeerDatagrams &) = delete;
  PeerDatagrams &operator=(const PeerDatagrams &) = delete;

  /// The reason where it fails.
  std::optional<std::string> listen(const model::Address &Address);
  /// Encoded notices; what can't leave at once is dropped.
  void send(const model::Address &To, const std::string &Bytes);

  uint64_t malformed() const { return m_Malformed; }

private:
  void receiveAll();

  net::EventLoop &m_Loop;
  Receiver m_OnNotice;
  net::FileDescriptor m_Socket;
  uint64_t m_Malformed = 0;
};

} // namespace bronzepass::core::adapters::gateway

#endif // BRONZEPASS_CORE_ADAPTERS_GATEWAY_PEERDATAGRAMS_H
