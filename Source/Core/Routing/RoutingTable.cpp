#include "Core/Routing/RoutingTable.h"

#include "Core/Model/Hash.h"

#include <algorithm>

namespace bronzepass::core::routing {

namespace {

bool isDrained(const model::Intent &Intent, const model::PoolSpec &Pool,
               const model::EndpointId &Endpoint) {
  return std::any_of(
      Intent.m_Selectors.begin(), Intent.m_Selectors.end(),
      [&Pool, &Endpoint](const model::SelectorSpec &Selector) {
        if (Selector.m_Action != model::SelectorAction::Drain ||
            !Selector.m_Pools.matches(Pool.m_Labels))
          return false;
        const std::vector<model::EndpointId> &Named = Selector.m_Endpoints;
        return Named.empty() ||
               std::find(Named.begin(), Named.end(), Endpoint) != Named.end();
      });
}

void noteCopy(TableCopies &Copies, EndpointIndex Endpoint,
              model::CopyState State, bool TakesNew) {
  if (State == model::CopyState::Loading)
    Copies.m_Loading = true;
  if (State == model::CopyState::Serving && TakesNew)
    Copies.m_Serving.push_back(Endpoint);
}

void sortUnique(std::vector<EndpointIndex> &Values) {
  std::sort(Values.begin(), Values.end());
  Values.erase(std::unique(Values.begin(), Values.end()), Values.end());
}

/// An adapter answers only where its base version does.
void keepCommon(std::vector<EndpointIndex> &Values,
                const std::vector<EndpointIndex> &Base) {
  Values.erase(std::remove_if(Values.begin(), Values.end(),
                              [&Base](EndpointIndex Value) {
                                return !std::binary_search(Base.begin(),
                                                           Base.end(), Value);
                              }),
               Values.end());
}

bool isBelow(std::string_view Path, std::string_view Prefix) {
  if (Path.substr(0, Prefix.size()) != Prefix)
    return false;
  return Path.size() == Prefix.size() || Prefix.empty() ||
         Prefix.back() == '/' || Path[Prefix.size()] == '/' ||
         Path[Prefix.size()] == '?';
}

} // namespace

std::shared_ptr<const RoutingTable>
RoutingTable::build(const RoutingInputs &Inputs, const RoutingTable *Previous) {
  std::shared_ptr<RoutingTable> Table(new RoutingTable());
  Table->m_Intent = Inputs.m_Intent;
  Table->m_Self = Inputs.m_Self;
  Table->m_Settings = Inputs.m_Settings;
  Table->addNodes(Inputs);
  Table->addEndpoints(Inputs, Previous);
  Table->addModels();
  Table->addCopies(Inputs);
  Table->addServices();
  const std::vector<model::CallerSpec> &Callers = Table->m_Intent->m_Callers;
  for (uint32_t Index = 0; Index < Callers.size(); ++Index)
    Table->m_CallerIndex.emplace(Callers[Index].m_Name.str(), Index);
  return Table;
}

void RoutingTable::addNodes(const RoutingInputs &Inputs) {
  for (const model::NodeInfo &Node : Inputs.m_Nodes) {
    if (Node.m_Liveness == model::Liveness::Live ||
        Node.m_Liveness == model::Liveness::Suspect)
      m_Nodes.push_back(Node);
  }
  std::sort(m_Nodes.begin(), m_Nodes.end(),
            [](const model::NodeInfo &Left, const model::NodeInfo &Right) {
              return Left.m_Node < Right.m_Node;
            });
}

model::Duration RoutingTable::delayTo(const model::DomainId &Domain,
                                      const model::RegionId &Region) const {
  if (Region != m_Self.m_Region)
    return m_Settings.m_RegionDelay;
  if (Domain != m_Self.m_Domain)
    return m_Settings.m_DomainDelay;
  return model::Duration(0);
}

bool RoutingTable::hasNodesOf(const RoutingTable &Other) const {
  return m_Self == Other.m_Self && m_Settings == Other.m_Settings &&
         m_Nodes == Other.m_Nodes;
}

void RoutingTable::addEndpoints(const RoutingInputs &Inputs,
                                const RoutingTable *Previous) {
  bool SameNodes = Previous != nullptr && hasNodesOf(*Previous);
  for (const model::PoolSpec &Pool : m_Intent->m_Pools) {
    for (const model::EndpointSpec &Spec : Pool.m_Endpoints) {
      TableEndpoint Entry;
      Entry.m_Spec = &Spec;
      Entry.m_Pool = &Pool;
      Entry.m_TakesNew = !isDrained(*m_Intent, Pool, Spec.m_Name);
      Entry.m_Delay = delayTo(Spec.m_Domain, Spec.m_Region);
      const TableEndpoint *Known =
          SameNodes ? Previous->findEndpoint(Spec.m_Name) : nullptr;
      if (Known != nullptr && Known->m_Spec->m_Region == Spec.m_Region) {
        Entry.m_Drivers = Known->m_Drivers;
        Entry.m_Driven = Known->m_Driven;
      } else {
        addDrivers(Entry);
      }
      m_EndpointIndex.emplace(Spec.m_Name.str(), m_Endpoints.size());
      m_Endpoints.push_back(std::move(Entry));
    }
  }
  for (const model::EndpointState &State : Inputs.m_EndpointStates) {
    auto Found = m_EndpointIndex.find(State.m_Endpoint.str());
    if (Found == m_EndpointIndex.end())
      continue;
    TableEndpoint &Entry = m_Endpoints[Found->second];
    Entry.m_Liveness = State.m_Liveness;
    if (State.m_Liveness == model::Liveness::Leaving ||
        State.m_Liveness == model::Liveness::Gone)
      Entry.m_TakesNew = false;
  }
}

void RoutingTable::addDrivers(TableEndpoint &Endpoint) {
  if (m_Nodes.size() <= m_Settings.m_DriveDegree) {
    for (uint32_t Index = 0; Index < m_Nodes.size(); ++Index)
      Endpoint.m_Drivers.push_back(Index);
    return;
  }
  struct Weighed {
    bool m_SameRegion;
    uint64_t m_Weight;
    uint32_t m_Index;
  };
  std::vector<Weighed> Order;
  const std::string &Duty = Endpoint.m_Spec->m_Name.str();
  for (uint32_t Index = 0; Index < m_Nodes.size(); ++Index) {
    const model::NodeInfo &Node = m_Nodes[Index];
    Order.push_back({Node.m_Region == Endpoint.m_Spec->m_Region,
                     model::rendezvousWeight(Duty, Node.m_Node.str()), Index});
  }
  std::partial_sort(Order.begin(), Order.begin() + m_Settings.m_DriveDegree,
                    Order.end(), [](const Weighed &Left, const Weighed &Right) {
                      if (Left.m_SameRegion != Right.m_SameRegion)
                        return Left.m_SameRegion;
                      if (Left.m_Weight != Right.m_Weight)
                        return Left.m_Weight > Right.m_Weight;
                      return Left.m_Index < Right.m_Index;
                    });
  Endpoint.m_Driven = false;
  for (uint32_t Rank = 0; Rank < m_Settings.m_DriveDegree; ++Rank) {
    uint32_t Index = Order[Rank].m_Index;
    Endpoint.m_Drivers.push_back(Index);
    Endpoint.m_Driven |= m_Nodes[Index].m_Node == m_Self.m_Node;
  }
}

void RoutingTable::addModels() {
  for (const model::ModelSpec &Spec : m_Intent->m_Models) {
    TableModel Entry;
    Entry.m_Spec = &Spec;
    for (const model::VersionSpec &Version : Spec.m_Versions) {
      TableVersion Added;
      Added.m_Spec = &Version;
      Added.m_Copies.m_LoadTime = Version.m_LoadTime;
      Entry.m_Versions.push_back(std::move(Added));
    }
    m_ModelIndex.emplace(Spec.m_Name.str(), m_Models.size());
    m_Models.push_back(std::move(Entry));
  }
  const std::vector<model::AdapterSpec> &Adapters = m_Intent->m_Adapters;
  for (uint32_t Index = 0; Index < Adapters.size(); ++Index) {
    const model::AdapterSpec &Spec = Adapters[Index];
    m_AdapterIndex.emplace(Spec.m_Name.str(), Index);
    auto Found = m_ModelIndex.find(Spec.m_Base.str());
    if (Found == m_ModelIndex.end())
      continue;
    for (TableVersion &Version : m_Models[Found->second].m_Versions)
      Version.m_Adapters.push_back({Spec.m_Name, {{}, false, Spec.m_LoadTime}});
  }
  for (TableModel &Entry : m_Models) {
    for (TableVersion &Version : Entry.m_Versions)
      std::sort(Version.m_Adapters.begin(), Version.m_Adapters.end(),
                [](const TableAdapter &Left, const TableAdapter &Right) {
                  return Left.m_Name < Right.m_Name;
                });
  }
}

void RoutingTable::addCopies(const RoutingInputs &Inputs) {
  for (const model::Copy &Value : Inputs.m_Copies) {
    auto Endpoint = m_EndpointIndex.find(Value.m_Endpoint.str());
    auto Model = m_ModelIndex.find(Value.m_Artifact.m_Model.str());
    if (Endpoint == m_EndpointIndex.end() || Model == m_ModelIndex.end())
      continue;
    bool TakesNew = m_Endpoints[Endpoint->second].m_TakesNew;
    for (TableVersion &Version : m_Models[Model->second].m_Versions) {
      if (Version.m_Spec->m_Version != Value.m_Artifact.m_Version)
        continue;
      if (!Value.m_Artifact.isAdapter()) {
        noteCopy(Version.m_Copies, Endpoint->second, Value.m_State, TakesNew);
        continue;
      }
      for (TableAdapter &Adapter : Version.m_Adapters) {
        if (Adapter.m_Name == Value.m_Artifact.m_Adapter)
          noteCopy(Adapter.m_Copies, Endpoint->second, Value.m_State, TakesNew);
      }
    }
  }
  for (TableModel &Model : m_Models) {
    for (TableVersion &Version : Model.m_Versions) {
      sortUnique(Version.m_Copies.m_Serving);
      for (TableAdapter &Adapter : Version.m_Adapters) {
        sortUnique(Adapter.m_Copies.m_Serving);
        keepCommon(Adapter.m_Copies.m_Serving, Version.m_Copies.m_Serving);
      }
    }
  }
}

void RoutingTable::addServices() {
  for (const model::PoolSpec &Pool : m_Intent->m_Pools) {
    if (Pool.m_Kind != model::PoolKind::Service)
      continue;
    TableService Entry;
    Entry.m_Pool = &Pool;
    for (EndpointIndex Index = 0; Index < m_Endpoints.size(); ++Index) {
      if (m_Endpoints[Index].m_Pool == &Pool && m_Endpoints[Index].m_TakesNew)
        Entry.m_Copies.m_Serving.push_back(Index);
    }
    m_Services.push_back(std::move(Entry));
  }
}

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

const TableVersion &RoutingTable::drawVersion(const TableModel &Model,
                                              const model::AdapterId &Adapter,
                                              uint64_t Draw) {
  const std::vector<TableVersion> &Versions = Model.m_Versions;
  if (Versions.size() == 1)
    return Versions.front();
  auto Answers = [&Adapter](const TableVersion &Version) {
    if (Adapter.empty())
      return !Version.m_Copies.m_Serving.empty();
    const TableAdapter *Found = findAdapter(Version, Adapter);
    return Found != nullptr && !Found->m_Copies.m_Serving.empty();
  };
  uint64_t Sum = 0;
  for (const TableVersion &Version : Versions)
    Sum += Answers(Version) ? Version.m_Spec->m_TrafficShare : 0;
  bool Any = Sum == 0;
  if (Any) {
    for (const TableVersion &Version : Versions)
      Sum += Version.m_Spec->m_TrafficShare;
  }
  if (Sum == 0)
    return Versions.front();
  uint64_t Left = Draw % Sum;
  for (const TableVersion &Version : Versions) {
    uint64_t Share =
        Any || Answers(Version) ? Version.m_Spec->m_TrafficShare : 0;
    if (Left < Share)
      return Version;
    Left -= Share;
  }
  return Versions.back();
}

std::optional<model::ArtifactId>
RoutingTable::findByName(std::string_view Name) const {
  auto Named = m_AdapterIndex.find(Name);
  if (Named != m_AdapterIndex.end() && !m_ModelIndex.contains(Name)) {
    const model::AdapterSpec &Spec = m_Intent->m_Adapters[Named->second];
    return model::ArtifactId{Spec.m_Base, "", Spec.m_Name};
  }
  size_t Plus = Name.find('+');
  std::string_view Base = Name.substr(0, Plus);
  size_t At = Base.find('@');
  model::ArtifactId Found;
  Found.m_Model = model::ModelId(std::string(Base.substr(0, At)));
  if (At != std::string_view::npos)
    Found.m_Version = std::string(Base.substr(At + 1));
  if (Plus != std::string_view::npos)
    Found.m_Adapter = model::AdapterId(std::string(Name.substr(Plus + 1)));
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
    if (Prefix.empty() || !isBelow(Path, Prefix))
      continue;
    if (Best == nullptr || Prefix.size() > Best->m_PathPrefix.size())
      Best = Entry.m_Pool;
  }
  if (Best == nullptr)
    return std::nullopt;
  ServiceMatch Match{Best->m_Name, true};
  std::string_view Rest = Path.substr(Best->m_PathPrefix.size());
  size_t Longest = 0;
  for (const model::ServiceRoute &Route : Best->m_Routes) {
    if (!Rest.starts_with(Route.m_Path) || Route.m_Path.size() < Longest)
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
  std::vector<ModelListing> Lines;
  for (const TableModel &Model : m_Models) {
    if (!mayUse(Caller, Model))
      continue;
    ModelListing Line{Model.m_Spec->m_Name, model::AdapterId(), false};
    for (const TableVersion &Version : Model.m_Versions)
      Line.m_Ready |= !Version.m_Copies.m_Serving.empty();
    Lines.push_back(Line);
    if (Model.m_Versions.empty())
      continue;
    const std::vector<TableAdapter> &First =
        Model.m_Versions.front().m_Adapters;
    for (size_t Index = 0; Index < First.size(); ++Index) {
      ModelListing Adapter{Model.m_Spec->m_Name, First[Index].m_Name, false};
      for (const TableVersion &Version : Model.m_Versions)
        Adapter.m_Ready |=
            !Version.m_Adapters[Index].m_Copies.m_Serving.empty();
      Lines.push_back(Adapter);
    }
  }
  return Lines;
}

bool RoutingTable::drives(const model::EndpointId &Endpoint) const {
  const TableEndpoint *Entry = findEndpoint(Endpoint);
  return Entry != nullptr && Entry->m_Driven;
}

} // namespace bronzepass::core::routing
