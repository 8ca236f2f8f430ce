#include "Core/Node/TrafficReporter.h"

#include "Core/Placement/PlacementCore.h"

#include <set>

namespace bronzepass::core::node {

namespace {

bool isLimited(const model::Intent &Intent, const model::CallerId &Caller) {
  for (const model::CallerSpec &Each : Intent.m_Callers)
    if (Each.m_Name == Caller)
      return !(Each.m_Limits == model::CallerLimits());
  return false;
}

void addSample(model::DemandSample &Sum, const model::DemandSample &Sample) {
  Sum.m_Artifact = Sample.m_Artifact;
  Sum.m_Arrivals += Sample.m_Arrivals;
  Sum.m_InTime += Sample.m_InTime;
  Sum.m_Refused += Sample.m_Refused;
  Sum.m_Waiting = Sample.m_Waiting;
  Sum.m_SlotSeconds += Sample.m_SlotSeconds;
}

} // namespace

model::NodeId TrafficReporter::ownerOf(const model::CallerId &Caller) const {
  return m_View.duties().ownerOf("caller/" + Caller.str());
}

void TrafficReporter::onTrafficReport(const ports::TrafficReport &Report,
                                      const model::Intent &Intent,
                                      model::TimePoint Now,
                                      ports::EffectList &Out) {
  for (const model::DemandSample &Sample : Report.m_Demand)
    addSample(m_Demand[Sample.m_Artifact], Sample);

  const model::NodeId &Self = m_View.self().m_Node;
  std::map<model::NodeId, std::vector<ports::CallerUsage>> ByOwner;
  for (const ports::CallerUsage &Usage : Report.m_Usage)
    if (isLimited(Intent, Usage.m_Caller))
      ByOwner[ownerOf(Usage.m_Caller)].push_back(Usage);
  for (const auto &Entry : ByOwner) {
    if (Entry.first == Self) {
      m_Usage.update(Self, Entry.second, Now);
      Out.push_back(
          ports::PeerUsageUpdated{makeReply(Self, Entry.second, Now).m_Usage});
      continue;
    }
    m_View.requestLink(Entry.first, Now);
    Out.push_back(
        ports::PeerSend{Entry.first, ports::UsageReport{Entry.second}});
  }
}

ports::UsageReport
TrafficReporter::makeReply(const model::NodeId &Requester,
                           const std::vector<ports::CallerUsage> &Usage,
                           model::TimePoint Now) const {
  ports::UsageReport Answer;
  for (const ports::CallerUsage &Each : Usage)
    Answer.m_Usage.push_back(
        m_Usage.usageOfOthers(Each.m_Caller, Requester, Now));
  return Answer;
}

void TrafficReporter::onUsageReport(const model::NodeId &From,
                                    const ports::UsageReport &Report,
                                    model::TimePoint Now,
                                    ports::EffectList &Out) {
  const model::NodeId &Self = m_View.self().m_Node;
  std::vector<ports::CallerUsage> Owned;
  std::vector<ports::CallerUsage> Answers;
  // For callers that this node sums, the entry is a report from the peer; for
  // others, it is the reply of the node that sums them.
  for (const ports::CallerUsage &Each : Report.m_Usage)
    (ownerOf(Each.m_Caller) == Self ? Owned : Answers).push_back(Each);
  if (!Answers.empty())
    Out.push_back(ports::PeerUsageUpdated{Answers});
  if (Owned.empty())
    return;
  m_Usage.update(From, Owned, Now);
  Out.push_back(ports::PeerSend{From, makeReply(From, Owned, Now)});
}

std::vector<model::DemandSample>
TrafficReporter::tick(const model::Intent &Intent, model::TimePoint Now,
                      ports::EffectList &Out) {
  if (m_NextReportAt && Now < *m_NextReportAt)
    return {};
  m_NextReportAt = Now + m_Period;
  m_Usage.removeExpired(Now);
  std::vector<model::DemandSample> Samples;
  for (const auto &Entry : m_Demand)
    Samples.push_back(Entry.second);
  m_Demand.clear();
  if (Samples.empty())
    return {};

  // A node that places several pools gets the report once.
  std::map<model::NodeId, model::PoolId> Placers;
  for (const model::PoolSpec &Pool : Intent.m_Pools) {
    if (Pool.m_Kind != model::PoolKind::Engine)
      continue;
    const model::NodeId Placer =
        m_View.duties().preferredHolder(placement::poolLease(Pool.m_Name));
    if (!Placer.empty())
      Placers.emplace(Placer, Pool.m_Name);
  }
  bool IsOwnPlacer = false;
  for (const auto &Entry : Placers) {
    if (Entry.first == m_View.self().m_Node) {
      IsOwnPlacer = true;
      continue;
    }
    m_View.requestLink(Entry.first, Now);
    Out.push_back(ports::PeerSend{Entry.first,
                                  ports::DemandReport{Entry.second, Samples}});
  }
  return IsOwnPlacer ? Samples : std::vector<model::DemandSample>();
}

} // namespace bronzepass::core::node
