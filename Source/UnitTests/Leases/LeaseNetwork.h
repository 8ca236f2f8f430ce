#ifndef BRONZEPASS_UNITTESTS_LEASES_LEASENETWORK_H
#define BRONZEPASS_UNITTESTS_LEASES_LEASENETWORK_H

#include "Core/Leases/LeaseKeeper.h"
#include "Core/Leases/StoreGovernor.h"
#include "UnitTests/Fakes/FakeStore.h"
#include "UnitTests/Fakes/FixedRandom.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bronzepass::unit_tests::leases {

/// Real LeaseKeepers over one FakeStore under virtual time, all trying for one
/// lease in the order of their numbers. Each node has a clock of its own, which
/// starts elsewhere and runs at another rate.
class LeaseNetwork {
public:
  struct Node {
    core::model::NodeId m_Id;
    std::unique_ptr<fakes::FixedRandom> m_Random;
    std::unique_ptr<core::leases::StoreGovernor> m_Governor;
    std::unique_ptr<core::leases::LeaseKeeper> m_Keeper;
    bool m_Alive = true;
    core::model::TimePoint m_PausedUntil;
    /// Clock: start, and rate in thousandths above true time.
    core::model::Duration m_Offset{0};
    int m_RatePerMille = 0;
    std::vector<core::ports::StoreAnswer> m_Waiting;
  };

  explicit LeaseNetwork(size_t Nodes) {
    for (size_t I = 0; I < Nodes; ++I)
      m_Nodes.push_back(makeNode(I));
    for (size_t I = 0; I < Nodes; ++I)
      setRank(I, static_cast<uint32_t>(I));
  }

  size_t size() const { return m_Nodes.size(); }
  Node &node(size_t Index) { return m_Nodes[Index]; }
  core::model::TimePoint now() const { return m_Now; }

  void setRank(size_t Index, uint32_t Rank) {
    core::ports::EffectList Out;
    m_Nodes[Index].m_Keeper->setDuties({{m_Lease, Rank}},
                                       clockOf(m_Nodes[Index]), Out);
    carryOut(m_Nodes[Index], Out);
  }

  void restart(size_t Index) {
    m_Nodes[Index] = makeNode(Index);
    setRank(Index, static_cast<uint32_t>(Index));
  }
  void kill(size_t Index) { m_Nodes[Index].m_Alive = false; }
  void pause(size_t Index, core::model::Duration For) {
    m_Nodes[Index].m_PausedUntil = m_Now + For;
  }
  void stop(size_t Index) {
    core::ports::EffectList Out;
    m_Nodes[Index].m_Keeper->stop(clockOf(m_Nodes[Index]), Out);
    carryOut(m_Nodes[Index], Out);
  }

  void run(core::model::Duration For) {
    const core::model::TimePoint End = m_Now + For;
    for (; m_Now < End; m_Now += m_Step)
      step();
  }

  std::optional<core::model::HeldLease> held(size_t Index) const {
    const Node &N = m_Nodes[Index];
    if (!N.m_Alive)
      return std::nullopt;
    return N.m_Keeper->find(m_Lease, clockOf(N));
  }

  size_t holders() const {
    size_t Count = 0;
    for (size_t I = 0; I < m_Nodes.size(); ++I)
      Count += held(I).has_value();
    return Count;
  }

  /// Most nodes that could act at one time.
  size_t mostHolders() const { return m_MostHolders; }
  /// Leases gained with a token that another had reached already.
  size_t tokensReused() const { return m_TokensReused; }
  /// Gained after its own end, by the clock of the node.
  size_t gainedLate() const { return m_GainedLate; }

  fakes::FakeStore m_Store;
  core::model::LeaseName m_Lease{"pool/assistants"};
  core::model::Duration m_Step = std::chrono::milliseconds(100);

private:
  Node makeNode(size_t Index) {
    Node N;
    N.m_Id = core::model::NodeId("node-" + std::to_string(++m_LastNode));
    N.m_Random = std::make_unique<fakes::FixedRandom>(m_LastNode);
    N.m_Governor = std::make_unique<core::leases::StoreGovernor>(
        core::leases::GovernorSettings(), *N.m_Random);
    N.m_Keeper = std::make_unique<core::leases::LeaseKeeper>(
        core::leases::LeaseSettings(), N.m_Id, *N.m_Governor, *N.m_Random);
    N.m_Offset = std::chrono::hours(Index);
    N.m_RatePerMille = Index % 2 == 0 ? 20 : -20;
    return N;
  }

  core::model::TimePoint clockOf(const Node &N) const {
    const core::model::Duration Passed = m_Now - m_Start;
    return m_Now + N.m_Offset + Passed * N.m_RatePerMille / 1000;
  }

  void step() {
    for (fakes::FakeStore::DueAnswer &Due : m_Store.takeDue(m_Now))
      for (Node &N : m_Nodes)
        if (N.m_Id == Due.m_Caller && N.m_Alive)
          N.m_Waiting.push_back(std::move(Due.m_Answer));
    for (Node &N : m_Nodes)
      if (N.m_Alive && N.m_PausedUntil <= m_Now)
        wake(N);
    m_MostHolders = std::max(m_MostHolders, holders());
  }

  void wake(Node &N) {
    core::ports::EffectList Out;
    const core::model::TimePoint Now = clockOf(N);
    for (const core::ports::StoreAnswer &Answer :
         std::exchange(N.m_Waiting, {})) {
      const auto Routed = N.m_Governor->onAnswer(Answer, Now, Out);
      if (Routed)
        note(N.m_Keeper->onStoreAnswer(Routed->m_Answer, Now, Out), Now);
    }
    for (const auto &Routed : N.m_Governor->tick(Now, Out))
      note(N.m_Keeper->onStoreAnswer(Routed.m_Answer, Now, Out), Now);
    note(N.m_Keeper->tick(Now, Out), Now);
    carryOut(N, Out);
  }

  void note(const std::vector<core::leases::LeaseNotice> &Notices,
            core::model::TimePoint Now) {
    for (const core::leases::LeaseNotice &Notice : Notices) {
      if (Notice.m_Change != core::leases::LeaseChange::Gained)
        continue;
      m_TokensReused += Notice.m_Lease.m_Token <= m_HighestToken;
      m_GainedLate += Now >= Notice.m_Lease.m_ValidUntil;
      m_HighestToken = std::max(m_HighestToken, Notice.m_Lease.m_Token);
    }
  }

  void carryOut(Node &From, const core::ports::EffectList &Out) {
    for (const core::ports::Effect &E : Out)
      if (const auto *Call = std::get_if<core::ports::StoreCall>(&E))
        m_Store.submit(From.m_Id, *Call, m_Now);
  }

  std::vector<Node> m_Nodes;
  uint64_t m_LastNode = 0;
  core::model::TimePoint m_Start{std::chrono::seconds(1'000'000)};
  core::model::TimePoint m_Now = m_Start;
  core::model::FencingToken m_HighestToken;
  size_t m_MostHolders = 0;
  size_t m_TokensReused = 0;
  size_t m_GainedLate = 0;
};

} // namespace bronzepass::unit_tests::leases

#endif // BRONZEPASS_UNITTESTS_LEASES_LEASENETWORK_H
