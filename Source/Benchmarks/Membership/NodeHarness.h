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

/// What happens around the node that is measured.
struct Surroundings {
  int m_Nodes = 8;
  int m_Engines = 24;
  int m_Models = 60;
  double m_ChangesPerDay = 660;
  /// Processes that end and are replaced, over the whole system.
  double m_ReplacementsPerHour = 188.0 / 24;
  /// Changes of the copies on one engine.
  double m_MovesPerEnginePerHour = 6;
};

/// What it cost the node.
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

/// One real control core whose neighbours, engines, object API and list of VMs
/// are played to it under virtual time, with what they would say in a system
/// of the given size.
class DrivenNode {
public:
  explicit DrivenNode(const Surroundings &Around);

  /// Runs until the configuration is in force and the start's news has passed.
  void warmUp();
  /// Runs for \p Span and returns what it cost.
  Costs run(core::model::Duration Span);

private:
  core::model::NodeInfo info(int Number, int Process) const;
  core::ports::VmListReceived vmList() const;
  void give(const core::ports::Event &Event);
  void receive(const core::model::NodeId &From,
               const core::ports::PeerMessage &Message);
  void carryOut(const core::ports::EffectList &Effects);
  void link(const core::model::NodeInfo &Peer, bool Dialled);
  void beat(const core::model::NodeInfo &Peer);
  core::ports::TrafficReport demand();
  void step();
  void replaceOne();
  void moveOne();
  /// What a neighbour answers to this node's news of copies.
  void answerResidency(const core::model::NodeId &Peer,
                       const core::ports::PeerMessage &Message);
  void applyNext();
  core::model::EngineReport report(int Engine);

  Surroundings m_Around;
  core::model::TimePoint m_Now{std::chrono::hours(1000)};
  unit_tests::fakes::FixedRandom m_Random{3};
  unit_tests::fakes::FixedRandom m_Chance{4};
  unit_tests::fakes::FakeStore m_Store;
  core::adapters::yaml::YamlIntentReader m_Reader;
  core::adapters::codec::PeerCodec m_Codec;
  std::vector<int> m_Processes;
  std::set<core::model::VmId> m_Neighbours;
  std::map<core::model::NodeId, core::model::NodeInfo> m_Linked;
  std::map<core::model::NodeId, std::vector<core::model::NodeInfo>> m_News;
  std::map<core::model::NodeId, std::vector<uint64_t>> m_Progress;
  std::map<core::model::NodeId, uint64_t> m_Sequences;
  std::map<core::model::NodeId, uint64_t> m_Echoes;
  std::vector<uint64_t> m_ReportSequences;
  std::vector<int> m_Moves;
  std::map<core::model::EndpointId, core::model::EngineReport> m_Offered;
  std::deque<core::ports::Event> m_Queue;
  uint64_t m_Generation = 0;
  uint64_t m_OperatorCalls = 0;
  Costs m_Costs;
  core::node::ControlCore m_Core;
};

} // namespace bronzepass::benchmarks::membership

#endif // BRONZEPASS_BENCHMARKS_MEMBERSHIP_NODEHARNESS_H
