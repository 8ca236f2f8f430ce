#ifndef BRONZEPASS_UNITTESTS_MEMBERSHIP_MEMBERSHIPCLUSTER_H
#define BRONZEPASS_UNITTESTS_MEMBERSHIP_MEMBERSHIPCLUSTER_H

#include "UnitTests/Fakes/FakeIntentReader.h"
#include "UnitTests/Fakes/FakePeerNetwork.h"
#include "UnitTests/Fakes/FakeStore.h"
#include "UnitTests/Fakes/FixedRandom.h"
#include "UnitTests/Membership/MembershipNode.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bronzepass::unit_tests::membership {

/// Several real MembershipNodes on a fake store and network, under virtual
/// time.
class MembershipCluster {
public:
  struct Node {
    core::model::NodeInfo m_Info;
    fakes::FixedRandom m_Random;
    std::unique_ptr<MembershipNode> m_Core;
    uint64_t m_LastCall = 0;
    core::model::TimePoint m_PausedUntil;
    /// Events that wait while the process is paused.
    std::deque<core::ports::Event> m_PendingEvents;
    std::vector<core::model::Decision> m_Log;
    /// Every generation that was in force on the node, in order.
    std::vector<uint64_t> m_Generations;
  };

  static constexpr core::model::Duration Step = std::chrono::milliseconds(10);
  static constexpr core::model::Duration TickPeriod =
      std::chrono::milliseconds(50);

  /// Starts a node's process on \p Vm.
  Node &boot(const std::string &Vm, const std::string &Domain,
             const std::string &Region = "caribbean");
  /// Ends the process without telling its peers.
  void kill(const std::string &Vm);
  void pause(const std::string &Vm, core::model::Duration Span);
  void runFor(core::model::Duration Span);

  /// Writes a generation to the object API as an operator's command does.
  void apply(uint64_t Generation, const std::string &Text);

  Node &node(const std::string &Vm) { return *m_Nodes.at(Vm); }
  MembershipNode &core(const std::string &Vm) { return *node(Vm).m_Core; }
  bool allAtGeneration(uint64_t Generation) const;
  /// Whether every node considers exactly the running nodes Live.
  bool allAgree() const;
  MembershipCluster();

  core::model::TimePoint now() const { return m_Now; }
  const std::map<std::string, std::unique_ptr<Node>> &nodes() const {
    return m_Nodes;
  }
  /// Lets the node on \p Vm handle \p Event now.
  void handleEvent(const std::string &Vm, const core::ports::Event &Event);

  fakes::FakeStore m_Store;
  fakes::FakePeerNetwork m_Network;
  /// The platform's VM list; boot() adds to it, kill() does not remove from it.
  std::map<std::string, core::model::VmState> m_VmList;
  bool m_VmListDown = false;
  /// Called to alter an answer of the object API before a node receives it.
  std::function<void(core::ports::StoreAnswer &)> m_AlterAnswer =
      [](core::ports::StoreAnswer &) {};

private:
  void deliver(const core::model::NodeId &To, const core::ports::Event &Event);
  void applyEffects(Node &On, core::ports::EffectList &Effects);

  core::model::TimePoint m_Now{std::chrono::seconds(1'000'000)};
  std::map<std::string, std::unique_ptr<Node>> m_Nodes;
  fakes::FakeIntentReader m_Reader;
  uint64_t m_Booted = 0;
  uint64_t m_OperatorCalls = 0;
};

} // namespace bronzepass::unit_tests::membership

#endif // BRONZEPASS_UNITTESTS_MEMBERSHIP_MEMBERSHIPCLUSTER_H
