#ifndef BRONZEPASS_UNITTESTS_ORGANISATIONS_QUOTAFLEET_H
#define BRONZEPASS_UNITTESTS_ORGANISATIONS_QUOTAFLEET_H

#include "Core/Organisations/QuotaGate.h"
#include "Core/Organisations/QuotaKeeper.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace bronzepass::unit_tests {

/// A fault planted between the nodes, which the checks have to find.
enum class QuotaFault {
  None,
  /// A new holder grants as if nothing were out.
  HolderStartsFull,
  /// What nodes were granted and did not spend is credited again without their
  /// word.
  CreditWithoutWord,
  /// Shares do not expire at the nodes.
  SharesNeverExpire,
  /// An old holder goes on after its lease.
  HolderNeverStops,
};

/// Nodes that spend quotas, and the datagrams between them, in virtual time.
class QuotaFleet {
public:
  using Gate = core::organisations::QuotaGate;
  using Keeper = core::organisations::QuotaKeeper;
  using Spec = core::organisations::OrganisationSpec;
  using Notice = core::organisations::QuotaNotice;
  using TimePoint = core::model::TimePoint;
  using Duration = core::model::Duration;

  struct Spend {
    TimePoint m_At;
    double m_Amount = 0;
  };

  QuotaFleet(size_t Nodes, std::vector<Spec> Organisations,
             const core::organisations::QuotaSettings &Settings, uint64_t Seed,
             QuotaFault Fault = QuotaFault::None,
             const core::organisations::QuotaTiming &Timing = {})
      : m_NodeCount(Nodes), m_Settings(Settings), m_Timing(Timing),
        m_Fault(Fault), m_Random(Seed),
        m_Organisations(std::move(Organisations)) {
    m_Spends.resize(m_Organisations.size());
    m_Refused.resize(m_Organisations.size());
    for (size_t I = 0; I < Nodes; ++I) {
      m_Nodes.push_back(std::make_unique<Node>());
      start(I);
    }
  }

  TimePoint now() const { return m_Now; }
  size_t nodeCount() const { return m_Nodes.size(); }
  std::mt19937_64 &random() { return m_Random; }
  bool chance(double Share) {
    return std::uniform_real_distribution<double>()(m_Random) < Share;
  }

  void setLoss(double Share) { m_Loss = Share; }
  /// Part of the sends that never ran.
  void setGiveBack(double Share) { m_GiveBack = Share; }
  void setDoubling(double Share) { m_Doubling = Share; }
  void setMaxDelay(Duration Delay) { m_MaxDelay = Delay; }
  void cut(size_t From, size_t To, bool IsCut) { m_Cuts[{From, To}] = IsCut; }
  void freeze(size_t Index, Duration Length) {
    m_Nodes[Index]->m_FrozenUntil = m_Now + Length;
  }
  void restart(size_t Index) { start(Index); }
  void setQuota(size_t Organisation, double PerSecond) {
    m_Organisations[Organisation].m_Quota->m_PerSecond = PerSecond;
    for (const std::unique_ptr<Node> &Each : m_Nodes) {
      Each->m_Gate->setPlans(plans(), m_Now);
      Each->m_Keeper->setPlans(plans(), m_Now);
    }
  }
  /// The lease passes to \p Index, or to nobody; the old holder believes that
  /// it has it until its term ends, when the new one begins.
  void changeHolder(std::optional<size_t> Index) {
    if (m_Holder) {
      Node &Old = *m_Nodes[*m_Holder];
      m_NextHolderAt = std::max(m_NextHolderAt, Old.m_ValidUntil);
    }
    m_Holder.reset();
    m_NextHolder = Index;
  }
  std::optional<size_t> holder() const { return m_Holder; }

  /// A request at a node. It waits for the holder as long as a node lets it.
  void request(size_t Index, size_t Organisation, uint64_t Tokens) {
    if (isFrozen(Index))
      return;
    if (!take(Index, Organisation, Tokens, true))
      m_Nodes[Index]->m_Waiting.push_back(
          {Organisation, Tokens, m_Now + MaxWait});
    ask(Index);
  }

  void advance(Duration Step) {
    const TimePoint End = m_Now + Step;
    while (!m_Flights.empty() && m_Flights.begin()->first <= End) {
      const auto First = m_Flights.begin();
      m_Now = std::max(m_Now, First->first);
      const Flight Value = First->second;
      m_Flights.erase(First);
      deliver(Value);
    }
    m_Now = End;
    elect();
    for (size_t I = 0; I < m_Nodes.size(); ++I) {
      if (isFrozen(I))
        continue;
      wake(I);
      ask(I);
    }
  }

  const std::vector<Spend> &spends(size_t Organisation) const {
    return m_Spends[Organisation];
  }
  uint64_t refused(size_t Organisation) const {
    return m_Refused[Organisation];
  }
  uint64_t datagrams() const { return m_Datagrams; }
  uint64_t asksSent() const { return m_AsksSent; }
  double spentSince(size_t Organisation, TimePoint Since) const {
    double Sum = 0;
    for (const Spend &Each : m_Spends[Organisation])
      Sum += Each.m_At >= Since ? Each.m_Amount : 0;
    return Sum;
  }
  /// The most that was spent in any window that begins at \p Since or later.
  double mostInWindow(size_t Organisation, TimePoint Since = {}) const {
    const std::vector<Spend> &All = m_Spends[Organisation];
    double Sum = 0;
    double Most = 0;
    size_t First = 0;
    while (First < All.size() && All[First].m_At < Since)
      ++First;
    for (size_t I = First; I < All.size(); ++I) {
      const Spend &Each = All[I];
      Sum += Each.m_Amount;
      while (All[First].m_At < Each.m_At - m_Settings.m_Window)
        Sum -= All[First++].m_Amount;
      Most = std::max(Most, Sum);
    }
    return Most;
  }

private:
  static constexpr Duration MaxWait = std::chrono::milliseconds(60);
  static constexpr Duration Term = std::chrono::seconds(3);
  /// A holder acts no longer than this after its last renewal.
  static constexpr Duration HoldTime = std::chrono::milliseconds(2500);

  struct Waiting {
    size_t m_Organisation = 0;
    uint64_t m_Tokens = 0;
    TimePoint m_Until;
  };
  struct Node {
    uint64_t m_Start = 0;
    std::unique_ptr<Gate> m_Gate;
    std::unique_ptr<Keeper> m_Keeper;
    TimePoint m_FrozenUntil;
    TimePoint m_ValidUntil;
    std::deque<Waiting> m_Waiting;
    /// What arrived while it was frozen.
    std::vector<std::pair<size_t, Notice>> m_Inbox;
    /// Which node it takes for the holder.
    size_t m_Believed = 0;
  };
  struct Flight {
    size_t m_From = 0;
    size_t m_To = 0;
    Notice m_Notice;
  };

  core::organisations::QuotaPlans plans() const {
    return core::organisations::plansOf(m_Organisations, m_Settings, m_Timing);
  }
  bool isFrozen(size_t Index) const {
    return m_Now < m_Nodes[Index]->m_FrozenUntil;
  }

  void start(size_t Index) {
    Node &Value = *m_Nodes[Index];
    if (m_Holder == Index)
      changeHolder(std::nullopt);
    Value.m_Start = ++m_LastStart;
    core::organisations::QuotaTiming Timing = m_Timing;
    if (m_Fault == QuotaFault::SharesNeverExpire)
      Timing.m_ShareLifetime = std::chrono::hours(1);
    Value.m_Gate = std::make_unique<Gate>(Timing, Value.m_Start);
    Value.m_Keeper = std::make_unique<Keeper>(m_Timing);
    Value.m_Gate->setPlans(plans(), m_Now);
    Value.m_Keeper->setPlans(plans(), m_Now);
    std::set<uint64_t> All;
    for (size_t I = 0; I < m_NodeCount; ++I)
      All.insert(I);
    Value.m_Keeper->setNodes(All, m_Now);
    Value.m_Waiting.clear();
    Value.m_Inbox.clear();
  }

  void elect() {
    if (!m_Holder && m_NextHolder && m_Now >= m_NextHolderAt &&
        !isFrozen(*m_NextHolder)) {
      m_Holder = m_NextHolder;
      m_NextHolder.reset();
      m_RenewedAt = m_Now;
      ++m_Holding;
    }
    if (!m_Holder || isFrozen(*m_Holder))
      return;
    Node &Value = *m_Nodes[*m_Holder];
    if (Value.m_ValidUntil > TimePoint() && m_Now >= Value.m_ValidUntil &&
        m_RenewedAt < m_Now - HoldTime) {
      // It lost the lease while it stood still.
      m_Holder.reset();
      return;
    }
    m_RenewedAt = m_Now;
    Value.m_ValidUntil = m_Now + HoldTime;
    Value.m_Keeper->hold(
        m_Holding,
        m_Fault == QuotaFault::HolderNeverStops ? m_Now + std::chrono::hours(1)
                                                : Value.m_ValidUntil,
        m_Fault == QuotaFault::HolderStartsFull ? m_Now - std::chrono::hours(1)
                                                : m_Now);
    for (size_t I = 0; I < m_Nodes.size(); ++I)
      if (!m_Cuts[{*m_Holder, I}] && !isFrozen(I)) {
        m_Nodes[I]->m_Believed = *m_Holder;
        m_Nodes[I]->m_Gate->onHolder(m_Holding);
      }
  }

  bool take(size_t Index, size_t Organisation, uint64_t Tokens, bool IsNew) {
    using Result = core::organisations::QuotaDecision::Result;
    Gate &Value = *m_Nodes[Index]->m_Gate;
    const core::organisations::QuotaDecision Decision =
        Value.tryTake(m_Organisations[Organisation], Tokens, IsNew, m_Now);
    if (Decision.m_Result == Result::Waits)
      return false;
    if (Decision.m_Result == Result::Refused)
      ++m_Refused[Organisation];
    else if (chance(m_GiveBack))
      Value.giveBack(Decision.m_Taken, m_Now);
    else
      m_Spends[Organisation].push_back({m_Now, Decision.m_Taken.m_Amount});
    return true;
  }

  void retryWaiting(size_t Index) {
    std::deque<Waiting> All;
    All.swap(m_Nodes[Index]->m_Waiting);
    for (const Waiting &Each : All) {
      if (m_Now >= Each.m_Until)
        ++m_Refused[Each.m_Organisation];
      else if (!take(Index, Each.m_Organisation, Each.m_Tokens, false))
        m_Nodes[Index]->m_Waiting.push_back(Each);
    }
  }

  void wake(size_t Index) {
    std::vector<std::pair<size_t, Notice>> Inbox;
    Inbox.swap(m_Nodes[Index]->m_Inbox);
    for (const std::pair<size_t, Notice> &Each : Inbox)
      receive(Index, Each.first, Each.second);
    retryWaiting(Index);
  }

  void ask(size_t Index) {
    std::optional<Notice> Asked = m_Nodes[Index]->m_Gate->takeAsk(m_Now);
    if (!Asked)
      return;
    ++m_AsksSent;
    if (m_Fault == QuotaFault::CreditWithoutWord)
      for (core::organisations::QuotaAsk &Each : Asked->m_Asks)
        Each.m_GivenUp += m_Forged += 4000;
    send(Index, m_Nodes[Index]->m_Believed, *Asked);
  }

  void send(size_t From, size_t To, const Notice &Value) {
    ++m_Datagrams;
    if (From == To) {
      receive(To, From, Value);
      return;
    }
    const auto Cut = m_Cuts.find({From, To});
    if ((Cut != m_Cuts.end() && Cut->second) || chance(m_Loss))
      return;
    const int Copies = chance(m_Doubling) ? 2 : 1;
    for (int I = 0; I < Copies; ++I) {
      const auto Delay = Duration(
          500 + static_cast<int64_t>(
                    m_Random() % static_cast<uint64_t>(m_MaxDelay.count())));
      m_Flights.emplace(m_Now + Delay, Flight{From, To, Value});
    }
  }

  void deliver(const Flight &Value) {
    if (isFrozen(Value.m_To))
      m_Nodes[Value.m_To]->m_Inbox.emplace_back(Value.m_From, Value.m_Notice);
    else
      receive(Value.m_To, Value.m_From, Value.m_Notice);
  }

  void receive(size_t To, size_t From, const Notice &Value) {
    Node &Receiver = *m_Nodes[To];
    if (!Value.m_Answers.empty() && Receiver.m_Gate->onAnswer(Value, m_Now))
      retryWaiting(To);
    if (Value.m_Asks.empty())
      return;
    const std::optional<Notice> Answer =
        Receiver.m_Keeper->onAsk({From, Value.m_AskerStart}, Value, m_Now);
    if (Answer)
      send(To, From, *Answer);
  }

  const size_t m_NodeCount;
  const core::organisations::QuotaSettings m_Settings;
  const core::organisations::QuotaTiming m_Timing;
  const QuotaFault m_Fault;
  std::mt19937_64 m_Random;
  std::vector<Spec> m_Organisations;
  TimePoint m_Now{std::chrono::hours(24)};
  std::vector<std::unique_ptr<Node>> m_Nodes;
  std::multimap<TimePoint, Flight> m_Flights;
  std::map<std::pair<size_t, size_t>, bool> m_Cuts;
  double m_Loss = 0;
  double m_Doubling = 0;
  double m_GiveBack = 0;
  Duration m_MaxDelay = std::chrono::milliseconds(2);
  uint64_t m_LastStart = 0;
  uint64_t m_Holding = 0;
  uint64_t m_Forged = 0;
  uint64_t m_Datagrams = 0;
  uint64_t m_AsksSent = 0;
  std::optional<size_t> m_Holder;
  std::optional<size_t> m_NextHolder;
  TimePoint m_NextHolderAt;
  TimePoint m_RenewedAt;
  std::vector<std::vector<Spend>> m_Spends;
  std::vector<uint64_t> m_Refused;
};

} // namespace bronzepass::unit_tests

#endif // BRONZEPASS_UNITTESTS_ORGANISATIONS_QUOTAFLEET_H
