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

void recordCopy(TableCopies &Copies, EndpointIndex Endpoint,
                model::CopyState State, bool AcceptsRequests) {
  if (State == model::CopyState::Loading)
    Copies.m_Loading = true;
  if (State == model::CopyState::Serving && AcceptsRequests)
    Copies.m_Serving.push_back(Endpoint);
}

void sortUnique(std::vector<EndpointIndex> &Values) {
  std::sort(Values.begin(), Values.end());
  Values.erase(std::unique(Values.begin(), Values.end()), Values.end());
}

/// Removes the endpoints that don't serve the base version, without which an
/// adapter can't answer.
void keepOnlyWithBase(std::vector<EndpointIndex> &Values,
                      const std::vector<EndpointIndex> &Base) {
  Values.erase(std::remove_if(Values.begin(), Values.end(),
                              [&Base](EndpointIndex Value) {
                                return !std::binary_search(Base.begin(),
                                                           Base.end(), Value);
                              }),
               Values.end());
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

bool RoutingTable::hasSameNodesAs(const RoutingTable &Other) const {
  return m_Self == Other.m_Self && m_Settings == Other.m_Settings &&
         m_Nodes == Other.m_Nodes;
}

void RoutingTable::addEndpoints(const RoutingInputs &Inputs,
                                const RoutingTable *Previous) {
  bool SameNodes = Previous != nullptr && hasSameNodesAs(*Previous);
  for (const model::PoolSpec &Pool : m_Intent->m_Pools) {
    for (const model::EndpointSpec &Spec : Pool.m_Endpoints) {
      TableEndpoint Entry;
      Entry.m_Spec = &Spec;
      Entry.m_Pool = &Pool;
      Entry.m_AcceptsRequests = !isDrained(*m_Intent, Pool, Spec.m_Name);
      Entry.m_NetworkDelay = delayTo(Spec.m_Domain, Spec.m_Region);
      const TableEndpoint *Known =
          SameNodes ? Previous->findEndpoint(Spec.m_Name) : nullptr;
      if (Known != nullptr && Known->m_Spec->m_Region == Spec.m_Region) {
        Entry.m_DirectNodes = Known->m_DirectNodes;
        Entry.m_IsDirect = Known->m_IsDirect;
      } else {
        addDirectNodes(Entry);
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
      Entry.m_AcceptsRequests = false;
  }
}

void RoutingTable::addDirectNodes(TableEndpoint &Endpoint) {
  if (m_Nodes.size() <= m_Settings.m_DirectNodesPerEndpoint) {
    for (uint32_t Index = 0; Index < m_Nodes.size(); ++Index)
      Endpoint.m_DirectNodes.push_back(Index);
    return;
  }
  struct RankedNode {
    bool m_SameRegion;
    uint64_t m_Weight;
    uint32_t m_Index;
  };
  std::vector<RankedNode> Order;
  const std::string &EndpointName = Endpoint.m_Spec->m_Name.str();
  for (uint32_t Index = 0; Index < m_Nodes.size(); ++Index) {
    const model::NodeInfo &Node = m_Nodes[Index];
    Order.push_back({Node.m_Region == Endpoint.m_Spec->m_Region,
                     model::rendezvousWeight(EndpointName, Node.m_Node.str()),
                     Index});
  }
  std::partial_sort(
      Order.begin(), Order.begin() + m_Settings.m_DirectNodesPerEndpoint,
      Order.end(), [](const RankedNode &Left, const RankedNode &Right) {
        if (Left.m_SameRegion != Right.m_SameRegion)
          return Left.m_SameRegion;
        if (Left.m_Weight != Right.m_Weight)
          return Left.m_Weight > Right.m_Weight;
        return Left.m_Index < Right.m_Index;
      });
  Endpoint.m_IsDirect = false;
  for (uint32_t Rank = 0; Rank < m_Settings.m_DirectNodesPerEndpoint; ++Rank) {
    uint32_t Index = Order[Rank].m_Index;
    Endpoint.m_DirectNodes.push_back(Index);
    Endpoint.m_IsDirect |= m_Nodes[Index].m_Node == m_Self.m_Node;
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
    bool AcceptsRequests = m_Endpoints[Endpoint->second].m_AcceptsRequests;
    for (TableVersion &Version : m_Models[Model->second].m_Versions) {
      if (Version.m_Spec->m_Version != Value.m_Artifact.m_Version)
        continue;
      if (!Value.m_Artifact.isAdapter()) {
        recordCopy(Version.m_Copies, Endpoint->second, Value.m_State,
                   AcceptsRequests);
        continue;
      }
      for (TableAdapter &Adapter : Version.m_Adapters) {
        if (Adapter.m_Name == Value.m_Artifact.m_Adapter)
          recordCopy(Adapter.m_Copies, Endpoint->second, Value.m_State,
                     AcceptsRequests);
      }
    }
  }
  for (TableModel &Model : m_Models) {
    for (TableVersion &Version : Model.m_Versions) {
      sortUnique(Version.m_Copies.m_Serving);
      for (TableAdapter &Adapter : Version.m_Adapters) {
        sortUnique(Adapter.m_Copies.m_Serving);
        keepOnlyWithBase(Adapter.m_Copies.m_Serving,
                         Version.m_Copies.m_Serving);
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
      if (m_Endpoints[Index].m_Pool == &Pool &&
          m_Endpoints[Index].m_AcceptsRequests)
        Entry.m_Copies.m_Serving.push_back(Index);
    }
    m_Services.push_back(std::move(Entry));
  }
}

} // namespace bronzepass::core::routing
