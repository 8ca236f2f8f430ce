#include "Core/Node/ReportPoller.h"

#include "Core/Model/Hash.h"

namespace bronzepass::core::node {

void ReportPoller::setEngines(
    const std::map<model::EndpointId, model::Address> &Engines,
    model::TimePoint Now) {
  std::map<model::EndpointId, Engine> Kept;
  for (const auto &Entry : Engines) {
    auto Known = m_Engines.find(Entry.first);
    if (Known != m_Engines.end() && Known->second.m_Address == Entry.second) {
      Kept.insert(*Known);
      continue;
    }
    // The first request is sent at once; the hash spreads the later ones.
    Kept.emplace(Entry.first,
                 Engine{.m_Address = Entry.second, .m_NextAt = Now});
  }
  m_Engines = std::move(Kept);
}

void ReportPoller::onAnswer(const model::EndpointId &Endpoint) {
  auto Found = m_Engines.find(Endpoint);
  if (Found != m_Engines.end())
    Found->second.m_AwaitingAnswer = false;
}

void ReportPoller::tick(model::TimePoint Now, ports::EffectList &Out) {
  for (auto &Entry : m_Engines) {
    Engine &Each = Entry.second;
    if (Now < Each.m_NextAt)
      continue;
    if (Each.m_AwaitingAnswer && Now < Each.m_RequestedAt + AnswerTimeout)
      continue;
    Out.push_back(ports::ReportRequest{Entry.first, Each.m_Address});
    Each.m_AwaitingAnswer = true;
    Each.m_RequestedAt = Now;
    // A fixed phase per engine keeps requests spread whenever ticks occur.
    const model::Duration Phase(
        static_cast<int64_t>(model::stableHash(Entry.first.str()) %
                             static_cast<uint64_t>(m_Period.count())));
    const model::Duration Since = Now.time_since_epoch() - Phase;
    Each.m_NextAt = Now + m_Period - Since % m_Period;
  }
}

} // namespace bronzepass::core::node
