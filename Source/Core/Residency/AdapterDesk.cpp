#include "Core/Residency/AdapterDesk.h"

#include <algorithm>

namespace bronzepass::core::residency {

using gateway::LoadedModel;
using gateway::ModelRef;
using gateway::OrderVerb;

void AdapterDesk::want(const ModelRef &Use, model::TimePoint Until) {
  model::TimePoint &Known = m_Wanted[Use];
  Known = std::max(Known, Until);
}

void AdapterDesk::used(const ModelRef &Use, model::TimePoint Now) {
  m_UsedAt[Use] = Now;
}

void AdapterDesk::expire(model::TimePoint Now) {
  std::erase_if(m_Wanted,
                [&](const auto &Entry) { return Now >= Entry.second; });
}

std::vector<ModelRef> AdapterDesk::wanted() const {
  std::vector<ModelRef> Uses;
  for (const auto &Entry : m_Wanted)
    Uses.push_back(Entry.first);
  return Uses;
}

std::optional<model::TimePoint> AdapterDesk::usedAt(const ModelRef &Use) const {
  const auto Found = m_UsedAt.find(Use);
  if (Found == m_UsedAt.end())
    return std::nullopt;
  return Found->second;
}

std::optional<AdapterStep>
AdapterDesk::stepFor(const ModelRef &Use, const gateway::EngineSpec &Spec,
                     const std::vector<const EngineBook *> &Engines,
                     model::TimePoint Now) const {
  const gateway::ServedModel *const Model = Spec.model(Use.m_Model);
  if (!Model)
    return std::nullopt;
  const EngineBook *Roomiest = nullptr;
  std::optional<AdapterStep> Oldest;
  std::optional<model::TimePoint> OldestUse;
  for (const EngineBook *const Engine : Engines) {
    if (!Engine->isFree() || !Engine->holds({Use.m_Model, ""}))
      continue;
    const bool HasRoom =
        Engine->freeAdapterPlaces(Spec) > 0 &&
        Engine->freeMb(Spec) >= static_cast<int64_t>(Model->m_AdapterMb);
    if (HasRoom) {
      if (!Roomiest ||
          Engine->freeAdapterPlaces(Spec) > Roomiest->freeAdapterPlaces(Spec))
        Roomiest = Engine;
      continue;
    }
    for (const LoadedModel &Held : Engine->models()) {
      for (const std::string &Adapter : Held.m_Adapters) {
        const ModelRef Candidate{Held.m_Name, Adapter};
        const std::optional<model::TimePoint> At = usedAt(Candidate);
        if ((At && Now - *At < m_InUse) || (Oldest && At >= OldestUse))
          continue;
        Oldest = {OrderVerb::Unload, Engine->entry().m_Id, Candidate};
        OldestUse = At;
      }
    }
  }
  if (Roomiest)
    return AdapterStep{OrderVerb::Load, Roomiest->entry().m_Id, Use};
  return Oldest;
}

} // namespace bronzepass::core::residency
