#ifndef BRONZEPASS_CORE_MODEL_INTENT_H
#define BRONZEPASS_CORE_MODEL_INTENT_H

#include "Core/Model/Address.h"
#include "Core/Model/Artifact.h"
#include "Core/Model/Id.h"
#include "Core/Model/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::model {

using LabelMap = std::map<std::string, std::string>;

/// Labels that a selector requires. Whatever has all of them with the same
/// values matches; an empty match matches everything.
struct LabelMatch {
  LabelMap m_Labels;

  bool matches(const LabelMap &Labels) const;
  friend auto operator<=>(const LabelMatch &, const LabelMatch &) = default;
};

/// One version of a model. Memory in bytes, load time from a cold start.
struct VersionSpec {
  std::string m_Version;
  uint64_t m_MemoryBytes = 0;
  Duration m_LoadTime{0};
  /// Weight of the version among requests that name none, relative to the sum
  /// over the model's versions.
  uint32_t m_TrafficShare = 1;

  friend auto operator<=>(const VersionSpec &, const VersionSpec &) = default;
};

/// A model with its versions. Every listed version must stay reachable.
struct ModelSpec {
  ModelId m_Name;
  LabelMap m_Labels;
  std::vector<VersionSpec> m_Versions;
  /// Minimum number of copies of each version.
  uint32_t m_MinCopies = 1;

  friend auto operator<=>(const ModelSpec &, const ModelSpec &) = default;
};

/// An adapter for one model, served beside every version of that model.
struct AdapterSpec {
  AdapterId m_Name;
  ModelId m_Base;
  LabelMap m_Labels;
  uint64_t m_MemoryBytes = 0;
  Duration m_LoadTime{0};

  friend auto operator<=>(const AdapterSpec &, const AdapterSpec &) = default;
};

enum class PoolKind { Engine, Service };

/// What an engine does with an order that carries an old fencing token.
enum class FencingMode { Refuses, Ignores };

enum class EngineRole { Mixed, Prefill, Decode };

/// One engine or plain service.
struct EndpointSpec {
  EndpointId m_Name;
  /// The VM it runs on, as the platform's list names it.
  VmId m_Vm;
  Address m_Address;
  DomainId m_Domain;
  RegionId m_Region;
  /// Accelerator memory for weights and KV cache, bytes; 0 for a service.
  uint64_t m_MemoryBytes = 0;
  uint32_t m_Accelerators = 0;
  /// Sequences (or calls) it runs at once before they queue inside it.
  uint32_t m_Slots = 1;
  EngineRole m_Role = EngineRole::Mixed;

  friend auto operator<=>(const EndpointSpec &, const EndpointSpec &) = default;
};

/// A path of a plain service and whether calls to it may be repeated.
struct ServiceRoute {
  /// Relative to the pool's path prefix; matches every path that starts with
  /// it.
  std::string m_Path;
  bool m_Repeatable = true;

  friend auto operator<=>(const ServiceRoute &, const ServiceRoute &) = default;
};

/// A serving pool: endpoints of one kind under one set of rules.
struct PoolSpec {
  PoolId m_Name;
  PoolKind m_Kind = PoolKind::Engine;
  LabelMap m_Labels;
  std::vector<EndpointSpec> m_Endpoints;
  FencingMode m_Fencing = FencingMode::Refuses;
  /// Engines can resume a broken stream at an exact offset.
  bool m_CanResume = false;
  /// Endpoints themselves run requests with the same idempotency key only once.
  bool m_HonoursIdempotencyKeys = false;
  /// Part of each engine's memory kept free for KV cache, in percent.
  uint32_t m_KvReservePercent = 10;
  /// For services: the path under which callers reach them, e.g. "/booking".
  std::string m_PathPrefix;
  std::vector<ServiceRoute> m_Routes;

  friend auto operator<=>(const PoolSpec &, const PoolSpec &) = default;
};

enum class SelectorAction {
  /// Matching callers may use the matching models (default: all may).
  Allow,
  Deny,
  /// Matching models share an engine where there is room.
  Together,
  /// Matching models never share an engine.
  Apart,
  /// Matching models are placed only in the matching pools.
  Place,
  /// Endpoints matched by name or label get no new work and are emptied of
  /// models.
  Drain,
  /// Matching models are unloaded once they are no longer in use.
  Retire,
};

/// One rule of the operator's intent.
struct SelectorSpec {
  std::string m_Name;
  SelectorAction m_Action = SelectorAction::Allow;
  LabelMatch m_Callers;
  LabelMatch m_Models;
  LabelMatch m_Pools;
  /// For Drain: the endpoints by name; if empty, all of the matching pools.
  std::vector<EndpointId> m_Endpoints;

  friend auto operator<=>(const SelectorSpec &, const SelectorSpec &) = default;
};

enum class Priority { Interactive, Batch };

/// Limits of one caller over all nodes together. Zero means unlimited.
struct CallerLimits {
  double m_RequestsPerSecond = 0;
  double m_TokensPerSecond = 0;
  uint32_t m_Concurrent = 0;

  friend auto operator<=>(const CallerLimits &, const CallerLimits &) = default;
};

struct CallerSpec {
  CallerId m_Name;
  LabelMap m_Labels;
  Priority m_Priority = Priority::Interactive;
  CallerLimits m_Limits;
  /// Relative share of contended capacity among callers.
  uint32_t m_Weight = 1;

  friend auto operator<=>(const CallerSpec &, const CallerSpec &) = default;
};

/// Load limits of the platform's store of model weights.
struct WeightStoreSpec {
  double m_LoadsPerSecond = 2;
  uint32_t m_ConcurrentLoads = 8;

  friend auto operator<=>(const WeightStoreSpec &,
                          const WeightStoreSpec &) = default;
};

/// Weights of the placement objective: a model move costs m_Move of the units
/// in which a request answered in time earns m_Attainment.
struct PolicyWeights {
  double m_Attainment = 1;
  double m_Move = 1;

  friend auto operator<=>(const PolicyWeights &,
                          const PolicyWeights &) = default;
};

/// The complete configuration declared by the operators. Each accepted version
/// has its own generation.
struct Intent {
  Generation m_Generation;
  std::string m_Name;
  std::vector<ModelSpec> m_Models;
  std::vector<AdapterSpec> m_Adapters;
  std::vector<PoolSpec> m_Pools;
  std::vector<SelectorSpec> m_Selectors;
  std::vector<CallerSpec> m_Callers;
  WeightStoreSpec m_WeightStore;
  PolicyWeights m_Weights;

  friend auto operator<=>(const Intent &, const Intent &) = default;
};

/// Whether \p Caller may use the model with \p ModelLabels: the last selector
/// that matches decides, and where none does, it may.
bool mayUse(const Intent &Value, const LabelMap &CallerLabels,
            const LabelMap &ModelLabels);

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_INTENT_H
