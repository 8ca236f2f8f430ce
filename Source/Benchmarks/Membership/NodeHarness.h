#ifndef BRONZEPASS_BENCHMARKS_MEMBERSHIP_NODEHARNESS_H
#define BRONZEPASS_BENCHMARKS_MEMBERSHIP_NODEHARNESS_H

#include "Core/Adapters/Codec/PeerCodec.h"
#include "Core/Adapters/Yaml/YamlIntentReader.h"
#include "Core/Membership/Overlay.h"
#include "Core/Node/ControlCore.h"
#include "UnitTests/Fakes/FakeStore.h"
#include "UnitTests/Fakes/FixedRandom.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace bronzepass::benchmarks::membership {

/// Size of the simulated system and the rates of its changes.
struct Workload {
  int m_Nodes = 8;
  int m_Engines = 24;
  int m_Models = 60;
  /// Changes of the intent.
  double m_ChangesPerDay = 660;
  /// Processes that end and are replaced, over the whole system.
  double m_ReplacementsPerHour = 188.0 / 24;
  /// Changes of the copies on one engine.
  double m_MovesPerEnginePerHour = 6;
};

/// Resources that the measured node used.
struct Costs {
  std::map<std::string, uint64_t> m_BytesOut;
  std::map<std::string, uint64_t> m_StoreCalls;
  uint64_t m_BytesIn = 0;
  double m_CpuSeconds = 0;
  double m_WorstEventSeconds = 0;
  double m_VirtualSeconds = 0;
  uint64_t m_Links = 0;

  uint64_t bytesOut() const;
  uint64_t storeCalls() const;
};

/// Runs one real control core in virtual time. Its neighbours, engines, object
/// API and list of VMs are simulated and send what they would send in a system
/// of the given size.
class NodeHarness {
public:
  explicit NodeHarness(const Workload &Load);

  /// Runs until the intent is in force and the updates of the start are done.
  void warmUp();
  /// Runs for \p Span and returns the cost.
  Costs run(core::model::Duration Span);

private:
  core::model::NodeInfo nodeInfo(int Number, int Process) const;
  core::ports::VmListReceived vmList() const;
  void handleEvent(const core::ports::Event &Event);
  void receive(const core::model::NodeId &From,
               const core::ports::PeerMessage &Message);
  void applyEffects(const core::ports::EffectList &Effects);
  void addLink(const core::model::NodeInfo &Peer, bool Dialled);
  void deliverHeartbeat(const core::model::NodeInfo &Peer);
  core::ports::TrafficReport trafficReport();
  void step();
  void replaceNode();
  void moveCopy();
  /// Queues the neighbour's response to a residency message of this node.
  void answerResidencyMessage(const core::model::NodeId &Peer,
                              const core::ports::PeerMessage &Message);
  void applyNextIntent();
  core::model::EngineReport report(int Engine);

  Workload m_Workload;
  core::model::TimePoint m_Now{std::chrono::hours(1000)};
  unit_tests::fakes::FixedRandom m_Random{3};
  unit_tests::fakes::FixedRandom m_WorkloadRandom{4};
  unit_tests::fakes::FakeStore m_Store;
  core::adapters::yaml::YamlIntentReader m_Reader;
  core::adapters::codec::PeerCodec m_Codec;
  std::vector<int> m_ProcessNumbers;
  std::set<core::model::VmId> m_Neighbours;
  std::map<core::model::NodeId, core::model::NodeInfo> m_LinkedPeers;
  std::map<core::model::NodeId, std::vector<core::model::NodeInfo>>
      m_PendingNodeUpdates;
  std::map<core::model::NodeId, std::vector<uint64_t>> m_PendingProgress;
  std::map<core::model::NodeId, uint64_t> m_HeartbeatSequences;
  std::map<core::model::NodeId, uint64_t> m_LastReceivedSequences;
  std::vector<uint64_t> m_ReportSequences;
  std::vector<int> m_MoveCounts;
  std::map<core::model::EndpointId, core::model::EngineReport> m_MovedReports;
  std::deque<core::ports::Event> m_EventQueue;
  uint64_t m_Generation = 0;
  uint64_t m_OperatorCalls = 0;
  Costs m_Costs;
  core::node::ControlCore m_Core;
};

} // namespace bronzepass::benchmarks::membership

#endif // BRONZEPASS_BENCHMARKS_MEMBERSHIP_NODEHARNESS_H
