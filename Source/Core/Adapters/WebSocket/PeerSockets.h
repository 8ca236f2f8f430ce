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

/// Links to peers that exchange CBOR messages over WebSocket. Both ends send a
/// Hello first, messages are numbered, and one link per peer is kept. Protocol
/// violations are counted and close the link. The membership core decides when
/// to reconnect.
class PeerSockets : public ports::PeerLink, private TransportListener {
public:
  /// \p Sink and \p Metrics are called on the transport's thread and must
  /// outlive this object.
  PeerSockets(model::NodeInfo Self, ports::EventSink &Sink,
              ports::Metrics &Metrics, TransportLimits Limits = {});

  /// Listens on the node's peer address; port 0 selects a free port. Returns
  /// the port, or nullopt on failure; lastReason() says why.
  std::optional<uint16_t> listen();
  const std::string &lastReason() const { return m_LastReason; }

  void connect(const model::NodeInfo &Peer) override;
  void send(const model::NodeId &To,
            const ports::PeerMessage &Message) override;
  void disconnect(const model::NodeId &Peer) override;

private:
  struct Link {
    /// The VM that this node dialled; empty if the peer dialled.
    model::VmId m_DialledVm;
    /// Empty until the peer's Hello.
    model::NodeId m_Peer;
    uint64_t m_Received = 0;
    uint64_t m_Sent = 0;
    /// Being closed: rejected, or replaced by another link to the same peer.
    bool m_Closing = false;
    bool m_Violation = false;
  };

  void onOpen(ConnectionId Connection) override;
  void onMessage(ConnectionId Connection, const std::string &Bytes) override;
  void onClose(ConnectionId Connection) override;
  void onRefused(ConnectionId Connection, const std::string &Reason) override;

  void handleHello(ConnectionId Connection, Link &From,
                   const ports::Hello &Hello);
  bool isPreferred(const Link &New, const Link &Old) const;
  void write(ConnectionId Connection, Link &To,
             const ports::PeerMessage &Message);
  void reject(ConnectionId Connection, const std::string &Label);
  void abandon(ConnectionId Connection, const std::string &Reason);

  model::NodeInfo m_Self;
  ports::EventSink &m_Sink;
  ports::Metrics &m_Metrics;
  std::string m_LastReason;
  codec::PeerCodec m_Codec;
  std::map<ConnectionId, Link> m_Links;
  std::map<model::NodeId, ConnectionId> m_ConnectionByPeer;
  /// Declared last: its thread must end before the members that it uses are
  /// destroyed.
  SocketTransport m_Transport;
};

} // namespace bronzepass::core::adapters::web_socket

#endif // BRONZEPASS_CORE_ADAPTERS_WEBSOCKET_PEERSOCKETS_H
