#ifndef BRONZEPASS_CORE_ROUTING_ROUTINGTABLE_H
#define BRONZEPASS_CORE_ROUTING_ROUTINGTABLE_H

#include "Core/Model/Artifact.h"
#include "Core/Model/Intent.h"
#include "Core/Model/Node.h"
#include "Core/Routing/RoutingInputs.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzepass::core::routing {

/// Index of an endpoint in one routing table.
using EndpointIndex = uint32_t;

/// An endpoint and how this node reaches it.
struct TableEndpoint {
  const model::EndpointSpec *m_Spec = nullptr;
  const model::PoolSpec *m_Pool = nullptr;
  model::Liveness m_Liveness = model::Liveness::Live;
  /// Takes new requests: it is live or suspect, and no selector drains it.
  bool m_AcceptsRequests = true;
  /// This node sends to it directly.
  bool m_IsDirect = true;
  /// One-way delay from this node.
  model::Duration m_NetworkDelay{0};
  /// Nodes that send to it directly, as indices into RoutingTable::nodes().
  std::vector<uint32_t> m_DirectNodes;
};

/// Endpoints that hold copies of one artifact or run one plain service.
struct TableCopies {
  /// Endpoints that serve it and take new requests, ascending.
  std::vector<EndpointIndex> m_Serving;
  /// Some endpoint is loading a copy.
  bool m_Loading = false;
  /// Time to load a copy from a cold start.
  model::Duration m_LoadTime{0};
};

struct TableAdapter {
  model::AdapterId m_Name;
  TableCopies m_Copies;
};

struct TableVersion {
  const model::VersionSpec *m_Spec = nullptr;
  TableCopies m_Copies;
  /// Sorted by name.
  std::vector<TableAdapter> m_Adapters;
};

struct TableModel {
  const model::ModelSpec *m_Spec = nullptr;
  std::vector<TableVersion> m_Versions;
};

/// The pool of a plain service and the endpoints that take new calls.
struct TableService {
  const model::PoolSpec *m_Pool = nullptr;
  TableCopies m_Copies;
};

/// The plain service that a request path belongs to.
struct ServiceMatch {
  model::PoolId m_Pool;
  bool m_Repeatable = true;

  friend bool operator==(const ServiceMatch &, const ServiceMatch &) = default;
};

/// One entry of /v1/models.
struct ModelListing {
  model::ModelId m_Model;
  /// Empty for the base model.
  model::AdapterId m_Adapter;
  /// Some copy serves requests now.
  bool m_Ready = false;

  friend bool operator==(const ModelListing &, const ModelListing &) = default;
};

/// Immutable snapshot of the endpoints, models and nodes that traffic threads
/// route by. The control thread builds and shares a new one on each change.
class RoutingTable {
public:
  /// \p Inputs must hold an intent. With the same nodes, the direct nodes of
  /// each endpoint are copied from \p Previous, which may be null.
  static std::shared_ptr<const RoutingTable>
  build(const RoutingInputs &Inputs, const RoutingTable *Previous = nullptr);

  const model::Intent &intent() const { return *m_Intent; }
  const model::NodeInfo &self() const { return m_Self; }
  const TableSettings &settings() const { return m_Settings; }
  /// Nodes that take requests, this one included, sorted by id.
  const std::vector<model::NodeInfo> &nodes() const { return m_Nodes; }
  const std::vector<TableEndpoint> &endpoints() const { return m_Endpoints; }

  /// These lookups return null for what the intent doesn't declare.
  const TableModel *findModel(const model::ModelId &Model) const;
  const TableService *findService(const model::PoolId &Pool) const;
  const TableEndpoint *findEndpoint(const model::EndpointId &Endpoint) const;
  const model::CallerSpec *findCaller(const model::CallerId &Caller) const;
  static const TableVersion *findVersion(const TableModel &Model,
                                         std::string_view Version);
  static const TableAdapter *findAdapter(const TableVersion &Version,
                                         const model::AdapterId &Adapter);
  /// Selects a version at random by the traffic shares of the versions with a
  /// serving copy, or of all versions if none has one. \p Model must have a
  /// version; \p RandomValue is uniform.
  static const TableVersion &selectVersion(const TableModel &Model,
                                           const model::AdapterId &Adapter,
                                           uint64_t RandomValue);

  /// Parses a request's model name: "model", "model@version", "model+adapter",
  /// "model@version+adapter", or an adapter's own name. The version stays
  /// empty if none is named. Returns nothing if no such model is declared.
  std::optional<model::ArtifactId> findByName(std::string_view Name) const;

  /// Finds the plain service of \p Path (the longest prefix wins) and whether
  /// the call may be repeated (the longest route wins; repeatable if none).
  std::optional<ServiceMatch> findServiceByPath(std::string_view Path) const;

  /// Whether selectors allow \p Caller to use \p Model; an undeclared caller is
  /// treated as one without labels.
  bool mayUse(const model::CallerId &Caller, const TableModel &Model) const;

  /// Models and adapters that \p Caller may use, in the intent's order.
  std::vector<ModelListing> listModels(const model::CallerId &Caller) const;

  /// Whether this node sends to \p Endpoint directly.
  bool sendsDirectlyTo(const model::EndpointId &Endpoint) const;

private:
  RoutingTable() = default;

  void addNodes(const RoutingInputs &Inputs);
  void addEndpoints(const RoutingInputs &Inputs, const RoutingTable *Previous);
  bool hasSameNodesAs(const RoutingTable &Other) const;
  void addDirectNodes(TableEndpoint &Endpoint);
  void addModels();
  void addCopies(const RoutingInputs &Inputs);
  void addServices();
  model::Duration delayTo(const model::DomainId &Domain,
                          const model::RegionId &Region) const;

  std::shared_ptr<const model::Intent> m_Intent;
  model::NodeInfo m_Self;
  TableSettings m_Settings;
  std::vector<model::NodeInfo> m_Nodes;
  std::vector<TableEndpoint> m_Endpoints;
  std::vector<TableModel> m_Models;
  std::vector<TableService> m_Services;
  // Used for lookups only, never iterated, so that no decision depends on hash
  // order.
  std::unordered_map<std::string_view, EndpointIndex> m_EndpointIndex;
  std::unordered_map<std::string_view, uint32_t> m_ModelIndex;
  std::unordered_map<std::string_view, uint32_t> m_AdapterIndex;
  std::unordered_map<std::string_view, uint32_t> m_CallerIndex;
};

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_ROUTINGTABLE_H
