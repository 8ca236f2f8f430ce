#include "Core/Routing/RoutingTable.h"

#include <algorithm>

namespace bronzepass::core::routing {

namespace {

bool isUnderPrefix(std::string_view Path, std::string_view Prefix) {
  if (Path.substr(0, Prefix.size()) != Prefix)
    return false;
  return Path.size() == Prefix.size() || Prefix.empty() ||
         Prefix.back() == '/' || Path[Prefix.size()] == '/' ||
         Path[Prefix.size()] == '?';
}

} // namespace

const TableModel *RoutingTable::findModel(const model::ModelId &Model) const {
  auto Found = m_ModelIndex.find(Model.str());
  return Found == m_ModelIndex.end() ? nullptr : &m_Models[Found->second];
}

const TableService *RoutingTable::findService(const model::PoolId &Pool) const {
  auto Found = std::find_if(m_Services.begin(), m_Services.end(),
                            [&Pool](const TableService &Entry) {
                              return Entry.m_Pool->m_Name == Pool;
                            });
  return Found == m_Services.end() ? nullptr : &*Found;
}

const TableEndpoint *
RoutingTable::findEndpoint(const model::EndpointId &Endpoint) const {
  auto Found = m_EndpointIndex.find(Endpoint.str());
  return Found == m_EndpointIndex.end() ? nullptr : &m_Endpoints[Found->second];
}

const model::CallerSpec *
RoutingTable::findCaller(const model::CallerId &Caller) const {
  auto Found = m_CallerIndex.find(Caller.str());
  return Found == m_CallerIndex.end() ? nullptr
                                      : &m_Intent->m_Callers[Found->second];
}

const TableVersion *RoutingTable::findVersion(const TableModel &Model,
                                              std::string_view Version) {
  auto Found = std::find_if(Model.m_Versions.begin(), Model.m_Versions.end(),
                            [Version](const TableVersion &Entry) {
                              return Entry.m_Spec->m_Version == Version;
                            });
  return Found == Model.m_Versions.end() ? nullptr : &*Found;
}

const TableAdapter *RoutingTable::findAdapter(const TableVersion &Version,
                                              const model::AdapterId &Adapter) {
  auto Found = std::lower_bound(
      Version.m_Adapters.begin(), Version.m_Adapters.end(), Adapter,
      [](const TableAdapter &Entry, const model::AdapterId &Name) {
        return Entry.m_Name < Name;
      });
  if (Found == Version.m_Adapters.end() || Found->m_Name != Adapter)
    return nullptr;
  return &*Found;
}

const TableVersion &RoutingTable::selectVersion(const TableModel &Model,
                                                const model::AdapterId &Adapter,
                                                uint64_t RandomValue) {
  const std::vector<TableVersion> &Versions = Model.m_Versions;
  if (Versions.size() == 1)
    return Versions.front();
  auto HasServingCopy = [&Adapter](const TableVersion &Version) {
    if (Adapter.empty())
      return !Version.m_Copies.m_Serving.empty();
    const TableAdapter *Found = findAdapter(Version, Adapter);
    return Found != nullptr && !Found->m_Copies.m_Serving.empty();
  };
  uint64_t Sum = 0;
  for (const TableVersion &Version : Versions)
    Sum += HasServingCopy(Version) ? Version.m_Spec->m_TrafficShare : 0;
  bool UseAllVersions = Sum == 0;
  if (UseAllVersions) {
    for (const TableVersion &Version : Versions)
      Sum += Version.m_Spec->m_TrafficShare;
  }
  if (Sum == 0)
    return Versions.front();
  uint64_t Remaining = RandomValue % Sum;
  for (const TableVersion &Version : Versions) {
    uint64_t Share = UseAllVersions || HasServingCopy(Version)
                         ? Version.m_Spec->m_TrafficShare
                         : 0;
    if (Remaining < Share)
      return Version;
    Remaining -= Share;
  }
  return Versions.back();
}

std::optional<model::ArtifactId>
RoutingTable::findByName(std::string_view Name) const {
  auto ByAdapterName = m_AdapterIndex.find(Name);
  if (ByAdapterName != m_AdapterIndex.end() && !m_ModelIndex.contains(Name)) {
    const model::AdapterSpec &Spec =
        m_Intent->m_Adapters[ByAdapterName->second];
    return model::ArtifactId{Spec.m_Base, "", Spec.m_Name};
  }
  size_t PlusSign = Name.find('+');
  std::string_view Base = Name.substr(0, PlusSign);
  size_t AtSign = Base.find('@');
  model::ArtifactId Found;
  Found.m_Model = model::ModelId(std::string(Base.substr(0, AtSign)));
  if (AtSign != std::string_view::npos)
    Found.m_Version = std::string(Base.substr(AtSign + 1));
  if (PlusSign != std::string_view::npos)
    Found.m_Adapter = model::AdapterId(std::string(Name.substr(PlusSign + 1)));
  const TableModel *Model = findModel(Found.m_Model);
  if (Model == nullptr)
    return std::nullopt;
  if (!Found.m_Version.empty() && !findVersion(*Model, Found.m_Version))
    return std::nullopt;
  if (Found.isAdapter() &&
      (Model->m_Versions.empty() ||
       !findAdapter(Model->m_Versions.front(), Found.m_Adapter)))
    return std::nullopt;
  return Found;
}

std::optional<ServiceMatch>
RoutingTable::findServiceByPath(std::string_view Path) const {
  const model::PoolSpec *Best = nullptr;
  for (const TableService &Entry : m_Services) {
    const std::string &Prefix = Entry.m_Pool->m_PathPrefix;
    if (Prefix.empty() || !isUnderPrefix(Path, Prefix))
      continue;
    if (Best == nullptr || Prefix.size() > Best->m_PathPrefix.size())
      Best = Entry.m_Pool;
  }
  if (Best == nullptr)
    return std::nullopt;
  ServiceMatch Match{Best->m_Name, true};
  std::string_view SubPath = Path.substr(Best->m_PathPrefix.size());
  size_t Longest = 0;
  for (const model::ServiceRoute &Route : Best->m_Routes) {
    if (!SubPath.starts_with(Route.m_Path) || Route.m_Path.size() < Longest)
      continue;
    Longest = Route.m_Path.size();
    Match.m_Repeatable = Route.m_Repeatable;
  }
  return Match;
}

bool RoutingTable::mayUse(const model::CallerId &Caller,
                          const TableModel &Model) const {
  static const model::LabelMap NoLabels;
  const model::CallerSpec *Spec = findCaller(Caller);
  return model::mayUse(*m_Intent, Spec ? Spec->m_Labels : NoLabels,
                       Model.m_Spec->m_Labels);
}

std::vector<ModelListing>
RoutingTable::listModels(const model::CallerId &Caller) const {
  std::vector<ModelListing> Listing;
  for (const TableModel &Model : m_Models) {
    if (!mayUse(Caller, Model))
      continue;
    ModelListing Entry{Model.m_Spec->m_Name, model::AdapterId(), false};
    for (const TableVersion &Version : Model.m_Versions)
      Entry.m_Ready |= !Version.m_Copies.m_Serving.empty();
    Listing.push_back(Entry);
    if (Model.m_Versions.empty())
      continue;
    const std::vector<TableAdapter> &First =
        Model.m_Versions.front().m_Adapters;
    for (size_t Index = 0; Index < First.size(); ++Index) {
      ModelListing Adapter{Model.m_Spec->m_Name, First[Index].m_Name, false};
      for (const TableVersion &Version : Model.m_Versions)
        Adapter.m_Ready |=
            !Version.m_Adapters[Index].m_Copies.m_Serving.empty();
      Listing.push_back(Adapter);
    }
  }
  return Listing;
}

bool RoutingTable::sendsDirectlyTo(const model::EndpointId &Endpoint) const {
  const TableEndpoint *Entry = findEndpoint(Endpoint);
  return Entry != nullptr && Entry->m_IsDirect;
}

} // namespace bronzepass::core::routing
