#ifndef BRONZEPASS_UNITTESTS_LEASES_LEASENETWORK_H
#define BRONZEPASS_UNITTESTS_LEASES_LEASENETWORK_H

#include "Core/Leases/LeaseManager.h"
#include "Core/Leases/StoreEraTracker.h"
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

/// Real LeaseManagers over one FakeStore in virtual time, all candidates for
/// one lease, ranked by index. Each node's clock has its own offset and rate.
class LeaseNetwork {
public:
  struct Node {
    core::model::NodeId m_Id;
    std::unique_ptr<fakes::FixedRandom> m_Random;
    std::unique_ptr<core::leases::StoreGovernor> m_Governor;
    std::unique_ptr<core::leases::LeaseManager> m_Manager;
    bool m_Alive = true;
    core::model::TimePoint m_PausedUntil;
    /// Clock offset, and rate deviation from true time in thousandths.
    core::model::Duration m_Offset{0};
    int m_RatePerMille = 0;
    std::vector<fakes::FakeStore::DueAnswer> m_UndeliveredAnswers;
    core::leases::StoreEraTracker m_Eras;
    std::map<core::model::CallId, core::leases::CallEra> m_CallEras;
    /// Cut off from the store until then: calls are lost.
    core::model::TimePoint m_CutUntil;
  };

  /// \p WithEras: answers name the store's era, as on the users' platform.
  explicit LeaseNetwork(size_t Nodes, bool WithEras = false,
                        const core::leases::LeaseSettings &Settings = {})
      : m_Settings(Settings), m_WithEras(WithEras) {
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
    m_Nodes[Index].m_Manager->setCandidacies({{m_Lease, Rank}},
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
  void cut(size_t Index, core::model::Duration For) {
    m_Nodes[Index].m_CutUntil = m_Now + For;
  }
  void stop(size_t Index) {
    core::ports::EffectList Out;
    m_Nodes[Index].m_Manager->stop(clockOf(m_Nodes[Index]), Out);
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
    return N.m_Manager->find(m_Lease, clockOf(N));
  }

  size_t holders() const {
    size_t Count = 0;
    for (size_t I = 0; I < m_Nodes.size(); ++I)
      Count += held(I).has_value();
    return Count;
  }

  /// Maximum number of nodes that could act at the same time.
  size_t maxHolders() const { return m_MaxHolders; }
  /// Leases gained with a token that is not higher than all earlier ones.
  size_t reusedTokens() const { return m_ReusedTokens; }
  /// Leases gained after their own end, by the node's clock.
  size_t lateGains() const { return m_LateGains; }

  fakes::FakeStore m_Store;
  core::model::LeaseName m_Lease{"pool/assistants"};
  core::model::Duration m_Step = std::chrono::milliseconds(100);

private:
  const core::leases::LeaseSettings m_Settings;

  Node makeNode(size_t Index) {
    Node N;
    N.m_Id = core::model::NodeId("node-" + std::to_string(++m_LastNode));
    N.m_Random = std::make_unique<fakes::FixedRandom>(m_LastNode);
    N.m_Governor = std::make_unique<core::leases::StoreGovernor>(
        core::leases::GovernorSettings(), *N.m_Random);
    N.m_Manager = std::make_unique<core::leases::LeaseManager>(
        m_Settings, N.m_Id, *N.m_Governor, *N.m_Random);
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
        if (N.m_Id == Due.m_Caller && N.m_Alive) {
          N.m_UndeliveredAnswers.push_back(std::move(Due));
          break;
        }
    for (Node &N : m_Nodes)
      if (N.m_Alive && N.m_PausedUntil <= m_Now)
        advanceNode(N);
    m_MaxHolders = std::max(m_MaxHolders, holders());
  }

  void advanceNode(Node &N) {
    core::ports::EffectList Out;
    const core::model::TimePoint Now = clockOf(N);
    for (fakes::FakeStore::DueAnswer &Due :
         std::exchange(N.m_UndeliveredAnswers, {})) {
      if (m_WithEras)
        checkEra(N, Due, Now, Out);
      const auto Routed = N.m_Governor->onAnswer(Due.m_Answer, Now, Out);
      if (Routed)
        checkNotices(N.m_Manager->onStoreAnswer(Routed->m_Answer, Now, Out),
                     Now);
    }
    for (const auto &Routed : N.m_Governor->tick(Now, Out))
      checkNotices(N.m_Manager->onStoreAnswer(Routed.m_Answer, Now, Out), Now);
    checkNotices(N.m_Manager->tick(Now, Out), Now);
    carryOut(N, Out);
  }

  /// What the adapter does with the era of an answer.
  void checkEra(Node &N, fakes::FakeStore::DueAnswer &Due,
                core::model::TimePoint Now, core::ports::EffectList &Out) {
    if (!Due.m_Era)
      return;
    const std::optional<core::model::StoreEra> Old = N.m_Eras.current();
    const core::leases::EraVerdict Verdict =
        N.m_Eras.onAnswer(N.m_CallEras[Due.m_Answer.m_Id], Due.m_Era);
    if (N.m_Eras.current() != Old)
      checkNotices(N.m_Manager->setStoreEra(*N.m_Eras.current(), Now, Out),
                   Now);
    if (Verdict != core::leases::EraVerdict::Current)
      Due.m_Answer = {.m_Id = Due.m_Answer.m_Id,
                      .m_Status = core::ports::StoreStatus::Unknown};
  }

  void checkNotices(const std::vector<core::leases::LeaseNotice> &Notices,
                    core::model::TimePoint Now) {
    for (const core::leases::LeaseNotice &Notice : Notices) {
      if (Notice.m_Change != core::leases::LeaseChange::Gained)
        continue;
      m_ReusedTokens += Notice.m_Lease.m_Token <= m_HighestToken;
      m_LateGains += Now >= Notice.m_Lease.m_ValidUntil;
      m_HighestToken = std::max(m_HighestToken, Notice.m_Lease.m_Token);
    }
  }

  void carryOut(Node &From, const core::ports::EffectList &Out) {
    for (const core::ports::Effect &E : Out) {
      const auto *const Call = std::get_if<core::ports::StoreCall>(&E);
      if (!Call)
        continue;
      From.m_CallEras[Call->m_Id] = From.m_Eras.onCall(false);
      const bool IsOfEarlierEra =
          Call->m_ExpectedEra && Call->m_ExpectedEra != From.m_Eras.current();
      if (m_WithEras && IsOfEarlierEra)
        From.m_UndeliveredAnswers.push_back(
            {m_Now,
             From.m_Id,
             {.m_Id = Call->m_Id,
              .m_Status = core::ports::StoreStatus::Rejected},
             std::nullopt});
      else if (m_Now < From.m_CutUntil)
        From.m_UndeliveredAnswers.push_back(
            {m_Now,
             From.m_Id,
             {.m_Id = Call->m_Id,
              .m_Status = core::ports::StoreStatus::Unknown},
             std::nullopt});
      else
        m_Store.submit(From.m_Id, *Call, m_Now);
    }
  }

  bool m_WithEras = false;
  std::vector<Node> m_Nodes;
  uint64_t m_LastNode = 0;
  core::model::TimePoint m_Start{std::chrono::seconds(1'000'000)};
  core::model::TimePoint m_Now = m_Start;
  core::model::FencingToken m_HighestToken;
  size_t m_MaxHolders = 0;
  size_t m_ReusedTokens = 0;
  size_t m_LateGains = 0;
};

} // namespace bronzepass::unit_tests::leases

#endif // BRONZEPASS_UNITTESTS_LEASES_LEASENETWORK_H
