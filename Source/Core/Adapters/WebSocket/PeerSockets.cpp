#include "Core/Adapters/WebSocket/PeerSockets.h"

#include <utility>
#include <variant>

namespace bronzepass::core::adapters::web_socket {

PeerSockets::PeerSockets(model::NodeInfo Self, ports::EventSink &Sink,
                         ports::Metrics &Metrics, TransportLimits Limits)
    : m_Self(std::move(Self)), m_Sink(Sink), m_Metrics(Metrics),
      m_Transport(*this, Limits) {}

std::optional<uint16_t> PeerSockets::listen() {
  const model::Address &Address = m_Self.m_PeerAddress;
  if (!m_Transport.listen(Address.m_Ip, Address.m_Port, m_LastReason))
    return std::nullopt;
  return m_Transport.port();
}

void PeerSockets::connect(const model::NodeInfo &Peer) {
  m_Transport.post([this, Peer] {
    const ConnectionId Connection =
        m_Transport.dial(Peer.m_PeerAddress.m_Ip, Peer.m_PeerAddress.m_Port);
    m_Links[Connection].m_DialledVm = Peer.m_Vm;
  });
}

void PeerSockets::send(const model::NodeId &To,
                       const ports::PeerMessage &Message) {
  m_Transport.post([this, To, Message] {
    const auto Found = m_ConnectionByPeer.find(To);
    if (Found != m_ConnectionByPeer.end())
      write(Found->second, m_Links.at(Found->second), Message);
  });
}

void PeerSockets::disconnect(const model::NodeId &Peer) {
  m_Transport.post([this, Peer] {
    const auto Found = m_ConnectionByPeer.find(Peer);
    if (Found != m_ConnectionByPeer.end())
      m_Transport.close(Found->second, "no longer needed");
  });
}

void PeerSockets::write(ConnectionId Connection, Link &To,
                        const ports::PeerMessage &Message) {
  if (To.m_Closing)
    return;
  const std::optional<std::string> Bytes =
      m_Codec.encode({To.m_Sent + 1, Message});
  const std::string Type(codec::typeName(Message));
  if (!Bytes) {
    m_Metrics.add(ports::Metric::PeerMessagesRejected, "unsendable " + Type, 1);
    return;
  }
  ++To.m_Sent;
  m_Metrics.add(ports::Metric::PeerBytesOut, Type,
                static_cast<double>(Bytes->size()));
  m_Transport.send(Connection, *Bytes);
}

void PeerSockets::onOpen(ConnectionId Connection) {
  write(Connection, m_Links[Connection], ports::Hello{1, m_Self, {}});
}

void PeerSockets::onMessage(ConnectionId Connection, const std::string &Bytes) {
  Link &From = m_Links[Connection];
  if (From.m_Closing)
    return;
  std::optional<codec::NumberedMessage> Message = m_Codec.decode(Bytes);
  if (!Message)
    return reject(Connection, "malformed");
  if (Message->m_Number != From.m_Received + 1)
    return reject(Connection, "replayed");
  ++From.m_Received;
  const auto *HelloMessage = std::get_if<ports::Hello>(&Message->m_Message);
  const bool IsFirst = From.m_Received == 1;
  if (IsFirst != (HelloMessage != nullptr))
    return reject(Connection, "out of order");
  if (HelloMessage)
    return handleHello(Connection, From, *HelloMessage);
  m_Sink.post(
      ports::PeerMessageReceived{From.m_Peer, std::move(Message->m_Message)});
}

void PeerSockets::handleHello(ConnectionId Connection, Link &From,
                              const ports::Hello &Hello) {
  const model::NodeInfo &Peer = Hello.m_Node;
  if (Peer.m_Node.empty() || Hello.m_ProtocolVersion == 0)
    return reject(Connection, "malformed");
  const bool IsWrongVm =
      !From.m_DialledVm.empty() && From.m_DialledVm != Peer.m_Vm;
  // Addresses are reused: another VM may answer at an old one.
  if (IsWrongVm || Peer.m_Node == m_Self.m_Node) {
    m_Transport.close(Connection, "not the VM that was meant");
    return;
  }
  From.m_Peer = Peer.m_Node;
  const auto Old = m_ConnectionByPeer.find(Peer.m_Node);
  if (Old != m_ConnectionByPeer.end()) {
    if (!isPreferred(From, m_Links.at(Old->second)))
      return abandon(Connection, "already linked");
    m_Sink.post(ports::PeerLinkChanged{Peer.m_Node, false});
    abandon(Old->second, "linked anew");
  }
  m_ConnectionByPeer[Peer.m_Node] = Connection;
  m_Sink.post(ports::PeerLinkChanged{Peer.m_Node, true, From.m_DialledVm});
  m_Sink.post(ports::PeerMessageReceived{Peer.m_Node, Hello});
}

bool PeerSockets::isPreferred(const Link &New, const Link &Old) const {
  const bool NewIsDialled = !New.m_DialledVm.empty();
  const bool OldIsDialled = !Old.m_DialledVm.empty();
  // The same end dialled both links: the old one is dead or dying.
  if (NewIsDialled == OldIsDialled)
    return true;
  // Otherwise both ends keep the link dialled by the node with the lower ID.
  return NewIsDialled == (m_Self.m_Node < New.m_Peer);
}

void PeerSockets::abandon(ConnectionId Connection, const std::string &Reason) {
  m_Links.at(Connection).m_Closing = true;
  m_Transport.close(Connection, Reason);
}

void PeerSockets::reject(ConnectionId Connection, const std::string &Label) {
  onRefused(Connection, Label);
  m_Links[Connection].m_Closing = true;
  m_Transport.close(Connection, Label);
}

void PeerSockets::onRefused(ConnectionId Connection,
                            const std::string &Reason) {
  m_Metrics.add(ports::Metric::PeerMessagesRejected, Reason, 1);
  const auto Found = m_Links.find(Connection);
  if (Found != m_Links.end())
    Found->second.m_Violation = true;
}

void PeerSockets::onClose(ConnectionId Connection) {
  const auto Found = m_Links.find(Connection);
  if (Found == m_Links.end())
    return;
  const Link Closed = std::move(Found->second);
  m_Links.erase(Found);
  const auto Current = m_ConnectionByPeer.find(Closed.m_Peer);
  const bool WasCurrent =
      Current != m_ConnectionByPeer.end() && Current->second == Connection;
  if (WasCurrent)
    m_ConnectionByPeer.erase(Current);
  const bool NeverLinked = Closed.m_Peer.empty() && !Closed.m_DialledVm.empty();
  if (WasCurrent || NeverLinked)
    m_Sink.post(ports::PeerLinkChanged{Closed.m_Peer, false, Closed.m_DialledVm,
                                       Closed.m_Violation});
}

} // namespace bronzepass::core::adapters::web_socket
