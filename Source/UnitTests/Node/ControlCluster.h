#ifndef BRONZEPASS_UNITTESTS_NODE_CONTROLCLUSTER_H
#define BRONZEPASS_UNITTESTS_NODE_CONTROLCLUSTER_H

#include "Core/Adapters/Yaml/YamlIntentReader.h"
#include "Core/Node/ControlCore.h"
#include "UnitTests/Fakes/FakeEngine.h"
#include "UnitTests/Fakes/FakeStore.h"
#include "UnitTests/Fakes/FixedRandom.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzepass::unit_tests::node {

/// Runs several control cores in one process under virtual time, with a fake
/// store and fake engines. Each effect is carried out after a fixed delay.
class ControlCluster {
public:
  struct Node {
    core::model::NodeInfo m_Info;
    std::unique_ptr<fakes::FixedRandom> m_Random;
    std::unique_ptr<core::node::ControlCore> m_Core;
    std::shared_ptr<const core::routing::RoutingTable> m_Table;
    std::vector<core::ports::ClaimVerdict> m_Verdicts;
    bool m_Paused = false;
    bool m_Stopped = false;
    /// Events received while the node is paused.
    std::vector<core::ports::Event> m_DeferredEvents;
    std::set<core::model::NodeId> m_Links;
    uint64_t m_OrdersSent = 0;
    bool m_WasReady = false;
  };

  ControlCluster();

  /// Starts a node in failure domain \p Domain on VM \p Vm. An earlier node on
  /// the VM must have been killed.
  Node &addNode(const std::string &Vm, const std::string &Domain);
  /// Ends the node's process at once and breaks its links.
  void kill(const std::string &Vm);
  Node &on(const std::string &Vm) { return m_Nodes.at(Vm); }
  std::map<std::string, Node> &nodes() { return m_Nodes; }

  /// Writes \p Text to the store as the accepted intent, and creates its
  /// engines.
  void apply(const std::string &Text);
  const core::model::Intent &intent() const { return m_Intent; }

  void post(const std::string &Vm, core::ports::Event Event,
            core::model::Duration Delay = HopLatency);
  void runFor(core::model::Duration Span);
  /// Runs until \p Done holds, for at most \p Limit. Returns whether it holds.
  bool runUntil(const std::function<bool()> &Done, core::model::Duration Limit);

  /// Whether each version of each declared model is served by a live engine.
  bool allServed() const;
  bool allReady() const;
  bool allInForce(core::model::Generation Wanted) const;
  uint64_t loadsStarted() const;
  /// The largest share of its memory that any engine ever used.
  double peakMemoryShare() const;

  fakes::FakeStore m_Store;
  std::map<core::model::EndpointId, fakes::FakeEngine> m_Engines;
  /// Engines that refuse connections.
  std::set<core::model::EndpointId> m_DeadEngines;
  /// VMs on the platform's list, whether or not a node runs there.
  std::map<core::model::VmId, core::model::VmState> m_VmList;
  core::model::TimePoint m_Now{std::chrono::hours(500'000)};
  /// Checked after every step.
  std::function<void()> m_Invariant = [] {};

  /// Whether the nodes of two VMs can reach each other.
  std::function<bool(const std::string &, const std::string &)> m_Reachable =
      [](const std::string &, const std::string &) { return true; };
  /// Called with every decision.
  std::function<void(const core::model::NodeId &,
                     const core::model::Decision &)>
      m_OnDecision;

  static constexpr core::model::Duration HopLatency =
      std::chrono::microseconds(1500);

private:
  struct ScheduledEvent {
    std::string m_Vm;
    core::model::NodeId m_Node;
    core::ports::Event m_Event;
  };

  void deliver(Node &To, const core::ports::Event &Event);
  void carryOut(Node &From, const core::ports::EffectList &Effects);
  void send(Node &From, const core::ports::PeerSend &Send);
  void connect(Node &From, const core::model::NodeInfo &Peer);
  void breakLink(Node &From, const core::model::NodeId &Peer);
  void order(Node &From, const core::ports::OrderSend &Send);
  void report(Node &From, const core::ports::ReportRequest &Request);
  Node *find(const core::model::NodeId &Id);
  void step();

  core::adapters::yaml::YamlIntentReader m_Reader;
  core::model::Intent m_Intent;
  std::map<std::string, Node> m_Nodes;
  std::multimap<core::model::TimePoint, ScheduledEvent> m_ScheduledEvents;
  core::model::TimePoint m_NextTick;
  uint64_t m_Seed = 1;
  uint64_t m_StoreCall = 0;
};

} // namespace bronzepass::unit_tests::node

#endif // BRONZEPASS_UNITTESTS_NODE_CONTROLCLUSTER_H
