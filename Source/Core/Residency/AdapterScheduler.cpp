#include "Core/Residency/AdapterScheduler.h"

#include <algorithm>

namespace bronzepass::core::residency {

using gateway::LoadedModel;
using gateway::ModelRef;
using gateway::OrderVerb;

void AdapterScheduler::request(const ModelRef &Use, model::TimePoint Until) {
  model::TimePoint &Expiry = m_RequestExpiry[Use];
  Expiry = std::max(Expiry, Until);
}

void AdapterScheduler::expire(model::TimePoint Now) {
  std::erase_if(m_RequestExpiry,
                [&](const auto &Entry) { return Now >= Entry.second; });
  m_LastUse.forgetOld(Now);
}

std::vector<ModelRef> AdapterScheduler::requested() const {
  std::vector<ModelRef> Uses;
  for (const auto &Entry : m_RequestExpiry)
    Uses.push_back(Entry.first);
  return Uses;
}

std::optional<AdapterOrder>
AdapterScheduler::nextOrder(const ModelRef &Use,
                            const gateway::EngineSpec &Spec,
                            const std::vector<const EngineRecord *> &Engines,
                            model::TimePoint Now) const {
  const gateway::ServedModel *const Model = Spec.model(Use.m_Model);
  if (!Model)
    return std::nullopt;
  const EngineRecord *Roomiest = nullptr;
  std::optional<AdapterOrder> Eviction;
  std::optional<model::TimePoint> OldestUse;
  for (const EngineRecord *const Engine : Engines) {
    if (!Engine->canTakeOrder() || !Engine->holds({Use.m_Model, ""}))
      continue;
    const bool HasRoom =
        Engine->freeAdapterSlots(Spec) > 0 &&
        Engine->freeMb(Spec) >= static_cast<int64_t>(Model->m_AdapterMb);
    if (HasRoom) {
      if (!Roomiest ||
          Engine->freeAdapterSlots(Spec) > Roomiest->freeAdapterSlots(Spec))
        Roomiest = Engine;
      continue;
    }
    for (const LoadedModel &Held : Engine->models()) {
      for (const std::string &Adapter : Held.m_Adapters) {
        const ModelRef Candidate{Held.m_Name, Adapter};
        const std::optional<model::TimePoint> At =
            m_LastUse.find(Candidate, Now);
        if ((At && Now - *At < m_MinIdle) || (Eviction && At >= OldestUse))
          continue;
        Eviction = {OrderVerb::Unload, Engine->entry().m_Id, Candidate};
        OldestUse = At;
      }
    }
  }
  if (Roomiest)
    return AdapterOrder{OrderVerb::Load, Roomiest->entry().m_Id, Use};
  return Eviction;
}

} // namespace bronzepass::core::residency
