#ifndef BRONZEPASS_UNITTESTS_FAKES_FAKEPEERNETWORK_H
#define BRONZEPASS_UNITTESTS_FAKES_FAKEPEERNETWORK_H

#include "Core/Ports/Event.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace bronzepass::unit_tests::fakes {

/// In-memory links between nodes under virtual time. A link delivers messages
/// in order. Messages between VMs that cannot reach each other are lost. A
/// message for which m_ShouldBreakLink returns true breaks its link at both
/// ends.
class FakePeerNetwork {
public:
  struct DueEvent {
    core::model::TimePoint m_At;
    core::model::NodeId m_To;
    core::ports::Event m_Event;
  };

  std::function<bool(const core::model::VmId &, const core::model::VmId &)>
      m_Reachable = [](const auto &, const auto &) { return true; };
  /// A paused process accepts a connection but never says Hello.
  std::function<bool(const core::model::VmId &)> m_IsResponsive =
      [](const auto &) { return true; };
  std::function<bool()> m_ShouldBreakLink = [] { return false; };
  core::model::Duration m_Latency = std::chrono::microseconds(1500);
  core::model::Duration m_DialTimeout = std::chrono::milliseconds(1500);
  uint64_t m_Messages = 0;

  void join(const core::model::NodeInfo &Node) { m_Nodes[Node.m_Vm] = Node; }

  /// Removes the node; its peers see their links break.
  void leave(const core::model::NodeId &Node, core::model::TimePoint Now) {
    std::erase_if(m_Nodes, [&Node](const auto &Entry) {
      return Entry.second.m_Node == Node;
    });
    for (const auto &[A, B] : std::set(m_Links))
      if (A == Node || B == Node)
        breakLink(A, B, Now);
  }

  void connect(const core::model::NodeInfo &From, const core::model::VmId &To,
               core::model::TimePoint Now) {
    const auto Found = m_Nodes.find(To);
    const bool Refused = Found == m_Nodes.end();
    if (Refused || !m_Reachable(From.m_Vm, To) || !m_IsResponsive(To)) {
      post(From.m_Node, core::ports::PeerLinkChanged{{}, false, To},
           Now + (Refused ? m_Latency : m_DialTimeout));
      return;
    }
    const core::model::NodeInfo &Peer = Found->second;
    if (!m_Links.insert(std::minmax(From.m_Node, Peer.m_Node)).second)
      return;
    const core::model::TimePoint At = Now + m_Latency * 3;
    post(From.m_Node, core::ports::PeerLinkChanged{Peer.m_Node, true, To}, At);
    post(Peer.m_Node, core::ports::PeerLinkChanged{From.m_Node, true, {}}, At);
    post(From.m_Node,
         core::ports::PeerMessageReceived{Peer.m_Node,
                                          core::ports::Hello{1, Peer}},
         At);
    post(Peer.m_Node,
         core::ports::PeerMessageReceived{From.m_Node,
                                          core::ports::Hello{1, From}},
         At);
  }

  void send(const core::model::NodeInfo &From, const core::model::NodeId &To,
            const core::ports::PeerMessage &Message,
            core::model::TimePoint Now) {
    ++m_Messages;
    if (!m_Links.contains(std::minmax(From.m_Node, To)))
      return;
    const auto Peer =
        std::find_if(m_Nodes.begin(), m_Nodes.end(), [&To](const auto &Entry) {
          return Entry.second.m_Node == To;
        });
    if (Peer == m_Nodes.end() || !m_Reachable(From.m_Vm, Peer->first))
      return;
    if (m_ShouldBreakLink())
      breakLink(From.m_Node, To, Now);
    else
      post(To, core::ports::PeerMessageReceived{From.m_Node, Message},
           Now + m_Latency);
  }

  void breakLink(const core::model::NodeId &A, const core::model::NodeId &B,
                 core::model::TimePoint Now) {
    if (m_Links.erase(std::minmax(A, B)) == 0)
      return;
    post(A, core::ports::PeerLinkChanged{B, false, {}}, Now + m_Latency);
    post(B, core::ports::PeerLinkChanged{A, false, {}}, Now + m_Latency);
  }

  /// Removes and returns the events due by \p Now, in the order of sending.
  std::vector<DueEvent> takeDue(core::model::TimePoint Now) {
    const auto Later = std::stable_partition(
        m_Due.begin(), m_Due.end(),
        [Now](const DueEvent &Due) { return Due.m_At <= Now; });
    std::vector<DueEvent> Taken(m_Due.begin(), Later);
    m_Due.erase(m_Due.begin(), Later);
    return Taken;
  }

private:
  void post(const core::model::NodeId &To, core::ports::Event Event,
            core::model::TimePoint At) {
    m_Due.push_back({At, To, std::move(Event)});
  }

  std::map<core::model::VmId, core::model::NodeInfo> m_Nodes;
  std::set<std::pair<core::model::NodeId, core::model::NodeId>> m_Links;
  std::vector<DueEvent> m_Due;
};

} // namespace bronzepass::unit_tests::fakes

#endif // BRONZEPASS_UNITTESTS_FAKES_FAKEPEERNETWORK_H
