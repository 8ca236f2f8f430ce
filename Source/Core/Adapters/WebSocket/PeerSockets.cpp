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
    const auto Found = m_ByPeer.find(To);
    if (Found != m_ByPeer.end())
      write(Found->second, m_Links.at(Found->second), Message);
  });
}

void PeerSockets::disconnect(const model::NodeId &Peer) {
  m_Transport.post([this, Peer] {
    const auto Found = m_ByPeer.find(Peer);
    if (Found != m_ByPeer.end())
      m_Transport.close(Found->second, "no longer needed");
  });
}

void PeerSockets::write(ConnectionId Connection, Link &To,
                        const ports::PeerMessage &Message) {
  if (To.m_Ending)
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
  if (From.m_Ending)
    return;
  std::optional<codec::NumberedMessage> Message = m_Codec.decode(Bytes);
  if (!Message)
    return reject(Connection, "malformed");
  if (Message->m_Number != From.m_Received + 1)
    return reject(Connection, "replayed");
  ++From.m_Received;
  const auto *Greeting = std::get_if<ports::Hello>(&Message->m_Message);
  const bool IsFirst = From.m_Received == 1;
  if (IsFirst != (Greeting != nullptr))
    return reject(Connection, "out of order");
  if (Greeting)
    return greeted(Connection, From, *Greeting);
  m_Sink.post(
      ports::PeerMessageReceived{From.m_Peer, std::move(Message->m_Message)});
}

void PeerSockets::greeted(ConnectionId Connection, Link &From,
                          const ports::Hello &Hello) {
  const model::NodeInfo &Peer = Hello.m_Node;
  if (Peer.m_Node.empty() || Hello.m_ProtocolVersion == 0)
    return reject(Connection, "malformed");
  const bool IsOther =
      !From.m_DialledVm.empty() && From.m_DialledVm != Peer.m_Vm;
  // Addresses are given anew: another VM may answer at an old one.
  if (IsOther || Peer.m_Node == m_Self.m_Node) {
    m_Transport.close(Connection, "not the VM that was meant");
    return;
  }
  From.m_Peer = Peer.m_Node;
  const auto Old = m_ByPeer.find(Peer.m_Node);
  if (Old != m_ByPeer.end()) {
    if (!isPreferred(From, m_Links.at(Old->second)))
      return giveUp(Connection, "already linked");
    m_Sink.post(ports::PeerLinkChanged{Peer.m_Node, false});
    giveUp(Old->second, "linked anew");
  }
  m_ByPeer[Peer.m_Node] = Connection;
  m_Sink.post(ports::PeerLinkChanged{Peer.m_Node, true, From.m_DialledVm});
  m_Sink.post(ports::PeerMessageReceived{Peer.m_Node, Hello});
}

bool PeerSockets::isPreferred(const Link &Fresh, const Link &Old) const {
  const bool FreshIsOwn = !Fresh.m_DialledVm.empty();
  const bool OldIsOwn = !Old.m_DialledVm.empty();
  // Both ends dialled the same way twice: the old link is dead or dying.
  if (FreshIsOwn == OldIsOwn)
    return true;
  // Else both ends keep the link that the lower node dialled.
  return FreshIsOwn == (m_Self.m_Node < Fresh.m_Peer);
}

void PeerSockets::giveUp(ConnectionId Connection, const std::string &Reason) {
  m_Links.at(Connection).m_Ending = true;
  m_Transport.close(Connection, Reason);
}

void PeerSockets::reject(ConnectionId Connection, const std::string &Label) {
  onRefused(Connection, Label);
  m_Links[Connection].m_Ending = true;
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
  const auto Current = m_ByPeer.find(Closed.m_Peer);
  const bool WasCurrent =
      Current != m_ByPeer.end() && Current->second == Connection;
  if (WasCurrent)
    m_ByPeer.erase(Current);
  const bool NeverLinked = Closed.m_Peer.empty() && !Closed.m_DialledVm.empty();
  if (WasCurrent || NeverLinked)
    m_Sink.post(ports::PeerLinkChanged{Closed.m_Peer, false, Closed.m_DialledVm,
                                       Closed.m_Violation});
}

} // namespace bronzepass::core::adapters::web_socket
