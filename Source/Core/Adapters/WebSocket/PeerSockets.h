#ifndef BRONZEPASS_CORE_ADAPTERS_WEBSOCKET_PEERSOCKETS_H
#define BRONZEPASS_CORE_ADAPTERS_WEBSOCKET_PEERSOCKETS_H

#include "Core/Adapters/Codec/PeerCodec.h"
#include "Core/Adapters/WebSocket/SocketTransport.h"
#include "Core/Model/Node.h"
#include "Core/Ports/Event.h"
#include "Core/Ports/PeerMessage.h"
#include "Core/Ports/Ports.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bronzepass::core::adapters::web_socket {

/// Links to peers over WebSocket with CBOR. Says Hello at both ends, numbers
/// messages, and keeps one link per peer. What a peer sends against the
/// protocol is counted and answered by closing the link. Reconnecting is the
/// membership core's business.
class PeerSockets : public ports::PeerLink, private TransportListener {
public:
  /// Events go to \p Sink, counts to \p Metrics, both from the links' own
  /// thread; they must outlive this object.
  PeerSockets(model::NodeInfo Self, ports::EventSink &Sink,
              ports::Metrics &Metrics, TransportLimits Limits = {});

  /// Listens at the node's peer address; port 0 takes a free one. Returns the
  /// port, or nullopt where it cannot; lastReason() says why.
  std::optional<uint16_t> listen();
  const std::string &lastReason() const { return m_LastReason; }

  void connect(const model::NodeInfo &Peer) override;
  void send(const model::NodeId &To,
            const ports::PeerMessage &Message) override;
  void disconnect(const model::NodeId &Peer) override;

private:
  struct Link {
    /// Set where this node dialled.
    model::VmId m_DialledVm;
    /// Empty until the peer's Hello.
    model::NodeId m_Peer;
    uint64_t m_Received = 0;
    uint64_t m_Sent = 0;
    /// Refused, or given up for another link to the same peer.
    bool m_Ending = false;
    bool m_Violation = false;
  };

  void onOpen(ConnectionId Connection) override;
  void onMessage(ConnectionId Connection, const std::string &Bytes) override;
  void onClose(ConnectionId Connection) override;
  void onRefused(ConnectionId Connection, const std::string &Reason) override;

  void greeted(ConnectionId Connection, Link &From, const ports::Hello &Hello);
  bool isPreferred(const Link &Fresh, const Link &Old) const;
  void write(ConnectionId Connection, Link &To,
             const ports::PeerMessage &Message);
  void reject(ConnectionId Connection, const std::string &Label);
  void giveUp(ConnectionId Connection, const std::string &Reason);

  model::NodeInfo m_Self;
  ports::EventSink &m_Sink;
  ports::Metrics &m_Metrics;
  std::string m_LastReason;
  codec::PeerCodec m_Codec;
  std::map<ConnectionId, Link> m_Links;
  std::map<model::NodeId, ConnectionId> m_ByPeer;
  /// Last: its thread ends before what it calls goes away.
  SocketTransport m_Transport;
};

} // namespace bronzepass::core::adapters::web_socket

#endif // BRONZEPASS_CORE_ADAPTERS_WEBSOCKET_PEERSOCKETS_H
