#include "Core/Node/ResidencyTable.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::node {

ResidencyTable::UpdateResult
ResidencyTable::update(const model::EngineReport &Report) {
  auto Found = m_Reports.find(Report.m_Endpoint);
  if (Found == m_Reports.end()) {
    m_Reports.emplace(Report.m_Endpoint, Report);
    return UpdateResult::Changed;
  }
  model::EngineReport &Known = Found->second;
  if (Report.m_MadeAt <= Known.m_MadeAt)
    return UpdateResult::Stale;
  const bool Unchanged = Report.m_Copies == Known.m_Copies &&
                         Report.m_HighestToken == Known.m_HighestToken;
  Known = Report;
  return Unchanged ? UpdateResult::Unchanged : UpdateResult::Changed;
}

void ResidencyTable::keepOnly(const std::set<model::EndpointId> &Declared) {
  std::erase_if(m_Reports, [&Declared](const auto &Entry) {
    return Declared.count(Entry.first) == 0;
  });
}

std::vector<model::Copy>
ResidencyTable::copies(const std::vector<model::Copy> &Draining) const {
  std::set<std::pair<model::EndpointId, model::ArtifactId>> DrainingKeys;
  for (const model::Copy &Each : Draining)
    DrainingKeys.emplace(Each.m_Endpoint, Each.m_Artifact);
  std::vector<model::Copy> Copies;
  for (const auto &Entry : m_Reports)
    for (const model::CopyReport &Each : Entry.second.m_Copies) {
      const bool IsDraining =
          Each.m_State == model::CopyState::Serving &&
          DrainingKeys.count({Entry.first, Each.m_Artifact}) != 0;
      Copies.push_back(
          {Each.m_Artifact, Entry.first,
           IsDraining ? model::CopyState::Draining : Each.m_State});
    }
  return Copies;
}

const model::EngineReport *
ResidencyTable::find(const model::EndpointId &Endpoint) const {
  auto Found = m_Reports.find(Endpoint);
  return Found == m_Reports.end() ? nullptr : &Found->second;
}

std::set<model::EndpointId> ResidencyTable::endpoints() const {
  std::set<model::EndpointId> Names;
  for (const auto &Entry : m_Reports)
    Names.insert(Entry.first);
  return Names;
}

} // namespace bronzepass::core::node
