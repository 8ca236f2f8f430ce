#include "Core/Organisations/QuotaKeeper.h"

#include <algorithm>
#include <cmath>

namespace bronzepass::core::organisations {

namespace {

constexpr double MicrosPerSecond = 1e6;
constexpr double DemandUnit = 1e-3;
/// Of what is left after a node's need, the part that may go into its reserve.
constexpr double ReservePart = 0.25;
/// A node that was not heard for so long asks for nothing.
constexpr model::Duration DemandLifetime = std::chrono::seconds(1);
constexpr model::Duration SweepPeriod = std::chrono::milliseconds(500);
/// Answers on their way to one node; with more, the node keeps its share.
constexpr size_t MaxAnswered = 64;

double seconds(model::Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

double share(uint32_t Value) { return static_cast<double>(Value) / WholeShare; }

} // namespace

void QuotaKeeper::setPlans(const QuotaPlans &Plans, model::TimePoint Now) {
  for (auto Each = m_Organisations.begin(); Each != m_Organisations.end();)
    Each = Plans.contains(Each->first) ? std::next(Each)
                                       : m_Organisations.erase(Each);
  for (const auto &Each : Plans) {
    const auto [Found, IsNew] = m_Organisations.try_emplace(Each.first);
    Organisation &Value = Found->second;
    if (IsNew) {
      Value.m_FilledAt = Now;
      Value.m_UnreportedNodes = recentNodes(Now);
    }
    fill(Value, Now);
    Value.m_Plan = Each.second;
    Value.m_Level = std::min(Value.m_Level, Value.m_Plan.m_BucketSize);
  }
}

void QuotaKeeper::setNodes(const std::set<uint64_t> &Nodes,
                           model::TimePoint Now) {
  for (const uint64_t Each : m_Nodes)
    if (!Nodes.contains(Each))
      m_RemovedAt[Each] = Now;
  std::erase_if(m_RemovedAt, [&](const auto &Entry) {
    return Nodes.contains(Entry.first) ||
           Now - Entry.second > m_Timing.m_ShareLifetime;
  });
  for (const uint64_t Each : Nodes)
    if (!m_Nodes.contains(Each))
      for (auto &Known : m_Organisations)
        if (Known.second.m_Unknown > 0)
          Known.second.m_UnreportedNodes.insert(Each);
  m_Nodes = Nodes;
}

std::set<uint64_t> QuotaKeeper::recentNodes(model::TimePoint Now) const {
  std::set<uint64_t> Nodes = m_Nodes;
  for (const auto &Each : m_RemovedAt)
    if (Now - Each.second <= m_Timing.m_ShareLifetime)
      Nodes.insert(Each.first);
  return Nodes;
}

void QuotaKeeper::hold(uint64_t Holding, model::TimePoint ValidUntil,
                       model::TimePoint Now) {
  m_ValidUntil = ValidUntil;
  if (m_Holding == Holding)
    return;
  m_Holding = Holding;
  m_HeldSince = Now;
  m_LastAsks.clear();
  for (auto &Each : m_Organisations) {
    const QuotaPlan Plan = Each.second.m_Plan;
    Each.second = Organisation();
    Each.second.m_Plan = Plan;
    Each.second.m_FilledAt = Now;
    Each.second.m_UnreportedNodes = recentNodes(Now);
  }
}

void QuotaKeeper::fill(Organisation &Value, model::TimePoint Now) {
  if (Now <= Value.m_FilledAt)
    return;
  // What no node has of the standing rate is granted on request, too.
  const double Rate = Value.m_Plan.m_BucketPerSecond +
                      Value.m_Plan.m_StandingPerSecond *
                          static_cast<double>(freeShare(Value)) / WholeShare;
  Value.m_Level =
      std::min(Value.m_Plan.m_BucketSize,
               Value.m_Level + Rate * seconds(Now - Value.m_FilledAt));
  Value.m_FilledAt = Now;
}

uint64_t QuotaKeeper::freeShare(const Organisation &Value) {
  return WholeShare -
         std::min<uint64_t>(WholeShare, Value.m_ShareSum + Value.m_Unknown);
}

void QuotaKeeper::setMost(Organisation &Value, NodeShare &Node,
                          uint32_t Share) {
  Value.m_ShareSum += Share;
  Value.m_ShareSum -= Node.m_Most;
  Node.m_Most = Share;
}

void QuotaKeeper::sweep(Organisation &Value, model::TimePoint Now) const {
  if (Now - m_HeldSince > m_Timing.m_ShareLifetime)
    Value.m_Unknown = 0;
  if (Now - Value.m_SweptAt < SweepPeriod)
    return;
  Value.m_SweptAt = Now;
  for (auto Each = Value.m_Nodes.begin(); Each != Value.m_Nodes.end();) {
    NodeShare &Node = Each->second;
    if (Now - Node.m_HeardAt > DemandLifetime) {
      Value.m_DemandSum -= Node.m_Demand;
      Node.m_Demand = 0;
    }
    if (Now <= Node.m_ExpiresAt) {
      ++Each;
      continue;
    }
    setMost(Value, Node, 0);
    Each = Value.m_Nodes.erase(Each);
  }
  if (Value.m_Nodes.empty())
    Value.m_DemandSum = 0;
}

std::optional<QuotaNotice> QuotaKeeper::onAsk(const QuotaAsker &Asker,
                                              const QuotaNotice &Notice,
                                              model::TimePoint Now) {
  if (!holds(Now))
    return std::nullopt;
  LastAsk &Last = m_LastAsks[Asker];
  if (Notice.m_AskedAt <= Last.m_AskedAt)
    return std::nullopt;
  Last = {Notice.m_AskedAt, Now};
  QuotaNotice Answer;
  Answer.m_AskerStart = Notice.m_AskerStart;
  Answer.m_AskedAt = Notice.m_AskedAt;
  Answer.m_Holding = *m_Holding;
  for (const QuotaAsk &Ask : Notice.m_Asks) {
    const auto Found = m_Organisations.find(Ask.m_Organisation);
    if (Found != m_Organisations.end())
      Answer.m_Answers.push_back(
          answer(Found->second, Asker, Ask, Notice.m_AskedAt, Now));
  }
  return Answer;
}

void QuotaKeeper::hear(Organisation &Value, const QuotaAsker &Asker,
                       NodeShare &Node, const QuotaAsk &Ask,
                       model::TimePoint Now) {
  std::optional<model::TimePoint> HeardAnswerOf;
  uint32_t Most = Ask.m_Share;
  while (!Node.m_Answered.empty() &&
         Node.m_Answered.front().m_AskedAt <= Ask.m_HeardAt) {
    if (Node.m_Answered.front().m_AskedAt == Ask.m_HeardAt)
      Node.m_Heard = Node.m_Answered.front();
    Node.m_Answered.pop_front();
  }
  for (const Answered &Each : Node.m_Answered)
    Most = std::max(Most, Each.m_Share);
  if (Node.m_Heard.m_AskedAt > 0 && Node.m_Heard.m_AskedAt == Ask.m_HeardAt)
    HeardAnswerOf = Node.m_Heard.m_At;
  // Only an asking that was sent in this holding proves what the node has.
  if (HeardAnswerOf && !Node.m_IsKnown) {
    Node.m_IsKnown = true;
    Value.m_Unknown -= std::min<uint64_t>(Value.m_Unknown, Ask.m_Share);
    // An earlier start of the node has ended, and its share with it.
    if (Value.m_UnreportedNodes.erase(Asker.m_Node) != 0 &&
        Value.m_UnreportedNodes.empty())
      Value.m_Unknown = 0;
  }
  const uint32_t Before = Node.m_Most;
  setMost(Value, Node, Most);
  // Credited only if it certainly came to be lately: the asking is no older
  // than the answer that it names.
  const bool IsFresh = HeardAnswerOf &&
                       Now - *HeardAnswerOf <= m_Timing.m_MaxCreditAge &&
                       Now - Node.m_HeardAt <= m_Timing.m_MaxCreditAge;
  if (IsFresh && Ask.m_GivenUp > Node.m_GivenUp) {
    const double MaxCredit = share(Before) * Value.m_Plan.m_StandingPerSecond *
                             2 * seconds(m_Timing.m_MaxCreditAge);
    const auto GivenUp = static_cast<double>(Ask.m_GivenUp - Node.m_GivenUp);
    Value.m_Level = std::min(Value.m_Plan.m_BucketSize,
                             Value.m_Level + std::min(GivenUp, MaxCredit));
  }
  Node.m_GivenUp = std::max(Node.m_GivenUp, Ask.m_GivenUp);
  Node.m_HeardAt = Now;
  const double Demand = DemandUnit * static_cast<double>(Ask.m_Demand);
  Value.m_DemandSum = std::max(0.0, Value.m_DemandSum + Demand - Node.m_Demand);
  Node.m_Demand = Demand;
}

QuotaAnswer QuotaKeeper::answer(Organisation &Value, const QuotaAsker &From,
                                const QuotaAsk &Ask, int64_t AskedAt,
                                model::TimePoint Now) {
  fill(Value, Now);
  sweep(Value, Now);
  NodeShare &Asker = Value.m_Nodes[From];
  hear(Value, From, Asker, Ask, Now);
  QuotaAnswer Answer;
  Answer.m_Organisation = Ask.m_Organisation;

  uint32_t Share = Ask.m_Share;
  if (Asker.m_IsKnown && Asker.m_Answered.size() < MaxAnswered &&
      Value.m_DemandSum > 0) {
    const auto Target = static_cast<uint32_t>(
        WholeShare * std::min(1.0, Asker.m_Demand / Value.m_DemandSum));
    Answer.m_MayRaise = true;
    Share = Target <= Asker.m_Most
                ? Target
                : static_cast<uint32_t>(std::min<uint64_t>(
                      Target, Asker.m_Most + freeShare(Value)));
  }
  Answer.m_Share = Share;
  if (Asker.m_Answered.size() < MaxAnswered)
    Asker.m_Answered.push_back({AskedAt, Now, Share});
  else
    Asker.m_Answered.back() = {
        AskedAt, Now, std::max(Share, Asker.m_Answered.back().m_Share)};
  setMost(Value, Asker, std::max(Asker.m_Most, Share));
  Asker.m_ExpiresAt = Now + m_Timing.m_ShareLifetime;

  const auto Need = static_cast<double>(Ask.m_Need);
  const auto Least = static_cast<double>(Ask.m_Least);
  double Granted = 0;
  if (Value.m_Level >= Need) {
    Granted = Need + std::min(static_cast<double>(Ask.m_Reserve),
                              ReservePart * (Value.m_Level - Need));
  } else if (Value.m_Level >= Least) {
    Granted = Value.m_Level;
  } else {
    const double Rate =
        Value.m_Plan.m_BucketPerSecond + Value.m_Plan.m_StandingPerSecond;
    const double Wait =
        Rate > 0 ? (Least - Value.m_Level) / Rate : seconds(DemandLifetime);
    Answer.m_Wait = 1 + static_cast<int64_t>(MicrosPerSecond * Wait);
  }
  Answer.m_Granted = static_cast<uint64_t>(std::floor(Granted));
  Value.m_Level -= static_cast<double>(Answer.m_Granted);
  return Answer;
}

} // namespace bronzepass::core::organisations
