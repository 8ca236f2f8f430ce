#ifndef BRONZEPASS_UNITTESTS_GATEWAY_PEERFLEET_H
#define BRONZEPASS_UNITTESTS_GATEWAY_PEERFLEET_H

#include "Core/Gateway/PeerDirectory.h"
#include "Core/Gateway/PlacementCandidates.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace bronzepass::core::gateway {

/// Nodes that send each other notices over a network that loses some, beside
/// entries of nodes that are gone. Time goes on in steps of 20 ms.
class PeerFleet {
public:
  PeerFleet(size_t Live, size_t Gone, uint64_t Seed, double LossShare);

  void run(model::Duration Length);
  /// It ends without removing its entry.
  void kill(size_t Node) { m_Nodes[Node]->m_IsUp = false; }
  /// It runs on where it was, some time later.
  void freeze(size_t Node) { kill(Node); }
  void thaw(size_t Node) { m_Nodes[Node]->m_IsUp = true; }
  /// A new process, that knows nobody.
  void restart(size_t Node);
  /// A node that has registered just now; all others read that at once.
  void add();

  size_t size() const { return m_Nodes.size(); }
  bool isUp(size_t Node) const { return m_Nodes[Node]->m_IsUp; }
  /// The live nodes that take themselves for one of the first three.
  std::vector<size_t> firstThree() const;
  /// The live nodes to which \p Node sends its loads.
  size_t liveTargets(size_t Node);
  /// Datagrams of all nodes since the last call.
  size_t takeSent();

private:
  struct Node {
    model::NodeId m_Id;
    model::Address m_Address;
    PeerDirectory m_Directory;
    PlacementCandidates m_Candidates;
    bool m_IsUp = true;
    model::TimePoint m_LoadsAt;
    model::TimePoint m_ReportAt;
    model::TimePoint m_GreetAt;
  };
  struct Datagram {
    model::TimePoint m_At;
    size_t m_From = 0;
    size_t m_To = 0;
    bool m_HasLoads = false;
  };

  std::unique_ptr<Node> makeNode(size_t Number) const;
  static model::Address addressOf(size_t Number);
  void send(size_t From, const std::vector<model::Address> &To, bool HasLoads);
  void step();
  void readList(Node &Reader) const;

  std::mt19937_64 m_Random;
  const double m_LossShare;
  model::TimePoint m_Now{std::chrono::seconds(100)};
  std::vector<NodeEntry> m_Entries;
  std::vector<std::unique_ptr<Node>> m_Nodes;
  std::deque<Datagram> m_Network;
  size_t m_Sent = 0;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_UNITTESTS_GATEWAY_PEERFLEET_H
