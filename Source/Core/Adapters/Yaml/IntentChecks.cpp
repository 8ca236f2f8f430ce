#include "Core/Adapters/Yaml/IntentChecks.h"

#include "Core/Model/NearMatch.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace bronzepass::core::adapters::yaml {

namespace {

using namespace model;

/// Returns the position of \p Field in element \p Index of the list \p Key, or
/// of the element itself if it lacks the field.
YAML::Mark fieldMark(const YAML::Node &Document, const std::string &Key,
                     size_t Index, const std::string &Field) {
  const YAML::Node Element = Document[Key][Index];
  if (!Element.IsMap())
    return Element.Mark();
  const YAML::Node Value = Element[Field];
  return Value.IsDefined() ? Value.Mark() : Element.Mark();
}

/// Whether \p Name has only allowed characters: names are used in URLs and
/// object names.
bool hasOnlyNameCharacters(const std::string &Name) {
  return std::all_of(Name.begin(), Name.end(), [](unsigned char C) {
    return std::isalnum(C) || C == '-' || C == '.' || C == '_';
  });
}

template <typename SpecT>
void checkNames(const std::vector<SpecT> &Specs, const YAML::Node &Document,
                const std::string &Key, FindingSink &Sink) {
  std::set<std::string> Seen;
  for (size_t I = 0; I < Specs.size(); ++I) {
    std::string Name;
    if constexpr (std::is_same_v<decltype(Specs[I].m_Name), std::string>)
      Name = Specs[I].m_Name;
    else
      Name = Specs[I].m_Name.str();
    if (Name.empty())
      continue;
    if (!hasOnlyNameCharacters(Name))
      Sink.error(fieldMark(Document, Key, I, "name"),
                 "name '" + Name +
                     "' may have only letters, digits, '-', '.' and '_'");
    if (!Seen.insert(Name).second)
      Sink.error(fieldMark(Document, Key, I, "name"),
                 Key + ": name '" + Name + "' is given twice");
  }
}

void checkEndpointNames(const Intent &Value, const YAML::Node &Document,
                        FindingSink &Sink) {
  std::set<EndpointId> Names;
  std::map<Address, EndpointId> Addresses;
  for (size_t P = 0; P < Value.m_Pools.size(); ++P) {
    const std::vector<EndpointSpec> &Endpoints = Value.m_Pools[P].m_Endpoints;
    for (size_t E = 0; E < Endpoints.size(); ++E) {
      const EndpointSpec &Spec = Endpoints[E];
      const YAML::Mark Position = Document["pools"][P]["endpoints"][E].Mark();
      if (!Spec.m_Name.empty() && !Names.insert(Spec.m_Name).second)
        Sink.error(Position,
                   "endpoint '" + Spec.m_Name.str() + "' is given twice");
      if (Spec.m_Address.m_Ip.empty())
        continue;
      auto Added = Addresses.emplace(Spec.m_Address, Spec.m_Name);
      if (!Added.second)
        Sink.error(Position, "endpoint '" + Spec.m_Name.str() +
                                 "' has the address of '" +
                                 Added.first->second.str() + "'");
    }
  }
}

void checkAdapters(const Intent &Value, const YAML::Node &Document,
                   FindingSink &Sink) {
  std::vector<std::string> Models;
  for (const ModelSpec &Model : Value.m_Models)
    Models.push_back(Model.m_Name.str());
  for (size_t I = 0; I < Value.m_Adapters.size(); ++I) {
    const std::string &Base = Value.m_Adapters[I].m_Base.str();
    if (Base.empty() ||
        std::find(Models.begin(), Models.end(), Base) != Models.end())
      continue;
    Sink.error(fieldMark(Document, "adapters", I, "base"),
               "adapter '" + Value.m_Adapters[I].m_Name.str() +
                   "': no model '" + Base + "'" + nearMatchHint(Base, Models));
  }
}

uint64_t maxModelMemoryBytes(const Intent &Value) {
  uint64_t MaxBytes = 0;
  for (const PoolSpec &Pool : Value.m_Pools)
    for (const EndpointSpec &Endpoint : Pool.m_Endpoints)
      MaxBytes = std::max(MaxBytes, Endpoint.m_MemoryBytes / 100 *
                                        (100 - Pool.m_KvReservePercent));
  return MaxBytes;
}

void checkModels(const Intent &Value, const YAML::Node &Document,
                 FindingSink &Sink) {
  const uint64_t MaxMemoryBytes = maxModelMemoryBytes(Value);
  for (size_t I = 0; I < Value.m_Models.size(); ++I) {
    const ModelSpec &Model = Value.m_Models[I];
    std::set<std::string> Versions;
    uint64_t Shares = 0;
    for (size_t V = 0; V < Model.m_Versions.size(); ++V) {
      const VersionSpec &Version = Model.m_Versions[V];
      const YAML::Mark Position = Document["models"][I]["versions"][V].Mark();
      Shares += Version.m_TrafficShare;
      if (!Versions.insert(Version.m_Version).second)
        Sink.error(Position, "model '" + Model.m_Name.str() + "': version '" +
                                 Version.m_Version + "' is given twice");
      if (Version.m_MemoryBytes > MaxMemoryBytes)
        Sink.error(Position, "model '" + Model.m_Name.str() + "': version '" +
                                 Version.m_Version +
                                 "' fits on no engine (greatest room " +
                                 std::to_string(MaxMemoryBytes) + " bytes)");
    }
    if (!Model.m_Versions.empty() && Shares == 0)
      Sink.error(fieldMark(Document, "models", I, "versions"),
                 "model '" + Model.m_Name.str() +
                     "': every version has traffic-share 0");
  }
}

void checkPathPrefixes(const Intent &Value, const YAML::Node &Document,
                       FindingSink &Sink) {
  for (size_t I = 0; I < Value.m_Pools.size(); ++I) {
    const std::string &Prefix = Value.m_Pools[I].m_PathPrefix;
    if (Prefix.empty())
      continue;
    if (Prefix.rfind("/v1", 0) == 0)
      Sink.error(fieldMark(Document, "pools", I, "path"),
                 "path '" + Prefix + "' is kept for model requests");
    for (size_t J = 0; J < I; ++J)
      if (Value.m_Pools[J].m_PathPrefix == Prefix)
        Sink.error(fieldMark(Document, "pools", I, "path"),
                   "path '" + Prefix + "' is that of pool '" +
                       Value.m_Pools[J].m_Name.str() + "'");
  }
}

void checkConcurrentLoads(const Intent &Value, const YAML::Node &Document,
                          FindingSink &Sink) {
  uint32_t EnginePools = 0;
  for (const PoolSpec &Pool : Value.m_Pools)
    EnginePools += Pool.m_Kind == PoolKind::Engine ? 1 : 0;
  if (EnginePools <= Value.m_WeightStore.m_ConcurrentLoads)
    return;
  Sink.error(Document["pools"].Mark(),
             std::to_string(EnginePools) + " engine pools share " +
                 std::to_string(Value.m_WeightStore.m_ConcurrentLoads) +
                 " concurrent loads of the weight store: a pool without a "
                 "share could load nothing");
}

void checkSelectors(const Intent &Value, const YAML::Node &Document,
                    FindingSink &Sink) {
  std::vector<std::string> Endpoints;
  for (const PoolSpec &Pool : Value.m_Pools)
    for (const EndpointSpec &Endpoint : Pool.m_Endpoints)
      Endpoints.push_back(Endpoint.m_Name.str());
  for (size_t I = 0; I < Value.m_Selectors.size(); ++I)
    for (const EndpointId &Name : Value.m_Selectors[I].m_Endpoints)
      if (std::find(Endpoints.begin(), Endpoints.end(), Name.str()) ==
          Endpoints.end())
        Sink.error(fieldMark(Document, "selectors", I, "endpoints"),
                   "selector '" + Value.m_Selectors[I].m_Name +
                       "': no endpoint '" + Name.str() + "'" +
                       nearMatchHint(Name.str(), Endpoints));
}

} // namespace

void checkIntent(const Intent &Value, const YAML::Node &Document,
                 FindingSink &Sink) {
  checkNames(Value.m_Models, Document, "models", Sink);
  checkNames(Value.m_Adapters, Document, "adapters", Sink);
  checkNames(Value.m_Pools, Document, "pools", Sink);
  checkNames(Value.m_Callers, Document, "callers", Sink);
  checkNames(Value.m_Selectors, Document, "selectors", Sink);
  checkEndpointNames(Value, Document, Sink);
  checkModels(Value, Document, Sink);
  checkAdapters(Value, Document, Sink);
  checkPathPrefixes(Value, Document, Sink);
  checkSelectors(Value, Document, Sink);
  checkConcurrentLoads(Value, Document, Sink);
}

} // namespace bronzepass::core::adapters::yaml
