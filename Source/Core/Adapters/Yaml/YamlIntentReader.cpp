#include "Core/Adapters/Yaml/YamlIntentReader.h"

#include "Core/Adapters/Yaml/IntentChecks.h"
#include "Core/Adapters/Yaml/MapReader.h"

#include <limits>

namespace bronzepass::core::adapters::yaml {

namespace {

using namespace model;

/// Returns the given labels and a "name" label, by which a selector can match
/// a single object.
LabelMap labelsWithName(MapReader &Map, const std::string &Name) {
  LabelMap Labels = Map.labels("labels");
  Labels.emplace("name", Name);
  return Labels;
}

constexpr uint64_t MaxCount = std::numeric_limits<uint32_t>::max();
constexpr double MaxRate = 1e9;

VersionSpec readVersion(const YAML::Node &Node, FindingSink &Sink) {
  MapReader Map(Node, "version",
                {"version", "memory", "load-time", "traffic-share"}, Sink);
  VersionSpec Spec;
  Spec.m_Version = Map.requiredText("version");
  Spec.m_MemoryBytes = Map.requiredBytes("memory");
  Spec.m_LoadTime = Map.requiredDuration("load-time");
  Spec.m_TrafficShare = Map.count("traffic-share", 1, 0, 1000000);
  return Spec;
}

ModelSpec readModel(const YAML::Node &Node, FindingSink &Sink) {
  MapReader Map(Node, "model", {"name", "labels", "versions", "min-copies"},
                Sink);
  ModelSpec Spec;
  Spec.m_Name = ModelId(Map.requiredText("name"));
  Spec.m_Labels = labelsWithName(Map, Spec.m_Name.str());
  Spec.m_MinCopies = Map.count("min-copies", 1, 1, 1000);
  Map.each("versions", [&Spec, &Sink](const YAML::Node &Each) {
    Spec.m_Versions.push_back(readVersion(Each, Sink));
  });
  if (Spec.m_Versions.empty())
    Map.error("versions", "must name one version at least");
  return Spec;
}

AdapterSpec readAdapter(const YAML::Node &Node, FindingSink &Sink) {
  MapReader Map(Node, "adapter",
                {"name", "base", "labels", "memory", "load-time"}, Sink);
  AdapterSpec Spec;
  Spec.m_Name = AdapterId(Map.requiredText("name"));
  Spec.m_Base = ModelId(Map.requiredText("base"));
  Spec.m_Labels = labelsWithName(Map, Spec.m_Name.str());
  Spec.m_MemoryBytes = Map.requiredBytes("memory");
  Spec.m_LoadTime = Map.requiredDuration("load-time");
  return Spec;
}

EndpointSpec readEndpoint(const YAML::Node &Node, PoolKind Kind,
                          FindingSink &Sink) {
  MapReader Map(Node, "endpoint",
                {"name", "vm", "address", "failure-domain", "region", "memory",
                 "accelerators", "slots", "role"},
                Sink);
  EndpointSpec Spec;
  Spec.m_Name = EndpointId(Map.requiredText("name"));
  Spec.m_Vm = VmId(Map.text("vm", Spec.m_Name.str()));
  Spec.m_Address = Map.requiredAddress("address");
  Spec.m_Domain = DomainId(Map.requiredText("failure-domain"));
  Spec.m_Region = RegionId(Map.text("region", ""));
  if (Kind == PoolKind::Engine)
    Spec.m_MemoryBytes = Map.requiredBytes("memory");
  Spec.m_Accelerators = Map.count("accelerators", 1, 0, 1024);
  Spec.m_Slots = Map.count("slots", 16, 1, 100000);
  Spec.m_Role = Map.choice<EngineRole>("role", EngineRole::Mixed,
                                       {{"mixed", EngineRole::Mixed},
                                        {"prefill", EngineRole::Prefill},
                                        {"decode", EngineRole::Decode}});
  return Spec;
}

ServiceRoute readRoute(const YAML::Node &Node, FindingSink &Sink) {
  MapReader Map(Node, "route", {"path", "repeatable"}, Sink);
  ServiceRoute Route;
  Route.m_Path = Map.requiredText("path");
  Route.m_Repeatable = Map.flag("repeatable", true);
  if (!Route.m_Path.empty() && Route.m_Path.front() != '/')
    Map.error("path", "must begin with '/'");
  return Route;
}

PoolSpec readPool(const YAML::Node &Node, FindingSink &Sink) {
  MapReader Map(Node, "pool",
                {"name", "kind", "labels", "fencing", "can-resume",
                 "honours-idempotency-keys", "kv-reserve-percent", "path",
                 "routes", "endpoints"},
                Sink);
  PoolSpec Spec;
  Spec.m_Name = PoolId(Map.requiredText("name"));
  Spec.m_Kind = Map.choice<PoolKind>(
      "kind", PoolKind::Engine,
      {{"engine", PoolKind::Engine}, {"service", PoolKind::Service}});
  Spec.m_Labels = labelsWithName(Map, Spec.m_Name.str());
  Spec.m_Fencing = Map.choice<FencingMode>(
      "fencing", FencingMode::Ignores,
      {{"refuses", FencingMode::Refuses}, {"ignores", FencingMode::Ignores}});
  Spec.m_CanResume = Map.flag("can-resume", false);
  Spec.m_HonoursIdempotencyKeys = Map.flag("honours-idempotency-keys", false);
  Spec.m_KvReservePercent = Map.count("kv-reserve-percent", 10, 0, 90);
  Spec.m_PathPrefix = Map.text("path", "");
  Map.each("routes", [&Spec, &Sink](const YAML::Node &Each) {
    Spec.m_Routes.push_back(readRoute(Each, Sink));
  });
  Map.each("endpoints", [&Spec, &Sink](const YAML::Node &Each) {
    Spec.m_Endpoints.push_back(readEndpoint(Each, Spec.m_Kind, Sink));
  });
  const bool IsService = Spec.m_Kind == PoolKind::Service;
  if (IsService && (Spec.m_PathPrefix.empty() || Spec.m_PathPrefix[0] != '/'))
    Map.error("path", "of a service pool must begin with '/'");
  if (!IsService && Map.has("path"))
    Map.error("path", "belongs to pools of kind service");
  if (!IsService && Map.has("routes"))
    Map.error("routes", "belong to pools of kind service");
  return Spec;
}

SelectorSpec readSelector(const YAML::Node &Node, FindingSink &Sink) {
  MapReader Map(Node, "selector",
                {"name", "action", "callers", "models", "pools", "endpoints"},
                Sink);
  SelectorSpec Spec;
  Spec.m_Name = Map.requiredText("name");
  if (!Map.has("action"))
    Map.error("action", "is missing");
  Spec.m_Action =
      Map.choice<SelectorAction>("action", SelectorAction::Allow,
                                 {{"allow", SelectorAction::Allow},
                                  {"deny", SelectorAction::Deny},
                                  {"together", SelectorAction::Together},
                                  {"apart", SelectorAction::Apart},
                                  {"place", SelectorAction::Place},
                                  {"drain", SelectorAction::Drain},
                                  {"retire", SelectorAction::Retire}});
  Spec.m_Callers = {Map.labels("callers")};
  Spec.m_Models = {Map.labels("models")};
  Spec.m_Pools = {Map.labels("pools")};
  for (const std::string &Name : Map.texts("endpoints"))
    Spec.m_Endpoints.emplace_back(Name);
  // An empty match selects everything, which is never intended for these two.
  if (Spec.m_Action == SelectorAction::Retire && Spec.m_Models.m_Labels.empty())
    Map.error("models", "must be given for retire");
  if (Spec.m_Action == SelectorAction::Drain && Spec.m_Endpoints.empty() &&
      Spec.m_Pools.m_Labels.empty())
    Map.error("endpoints", "or 'pools' must be given for drain");
  return Spec;
}

CallerSpec readCaller(const YAML::Node &Node, FindingSink &Sink) {
  MapReader Map(Node, "caller",
                {"name", "labels", "priority", "weight", "limits"}, Sink);
  CallerSpec Spec;
  Spec.m_Name = CallerId(Map.requiredText("name"));
  Spec.m_Labels = labelsWithName(Map, Spec.m_Name.str());
  Spec.m_Priority = Map.choice<Priority>(
      "priority", Priority::Interactive,
      {{"interactive", Priority::Interactive}, {"batch", Priority::Batch}});
  Spec.m_Weight = Map.count("weight", 1, 1, 1000000);
  if (!Map.has("limits"))
    return Spec;
  MapReader Limits(Map.at("limits"), "limits",
                   {"requests-per-second", "tokens-per-second", "concurrent"},
                   Sink);
  Spec.m_Limits.m_RequestsPerSecond =
      Limits.number("requests-per-second", 0, 0, MaxRate);
  Spec.m_Limits.m_TokensPerSecond =
      Limits.number("tokens-per-second", 0, 0, MaxRate);
  Spec.m_Limits.m_Concurrent = Limits.count("concurrent", 0, 0, MaxCount);
  return Spec;
}

void readWeightStoreAndWeights(MapReader &Top, Intent &Value,
                               FindingSink &Sink) {
  if (Top.has("weight-store")) {
    MapReader Map(Top.at("weight-store"), "weight-store",
                  {"loads-per-second", "concurrent-loads"}, Sink);
    Value.m_WeightStore.m_LoadsPerSecond =
        Map.number("loads-per-second", 2, 0.01, MaxRate);
    Value.m_WeightStore.m_ConcurrentLoads =
        Map.count("concurrent-loads", 8, 1, MaxCount);
  }
  if (Top.has("weights")) {
    MapReader Map(Top.at("weights"), "weights", {"attainment", "move"}, Sink);
    Value.m_Weights.m_Attainment = Map.number("attainment", 1, 0, MaxRate);
    Value.m_Weights.m_Move = Map.number("move", 1, 0, MaxRate);
  }
}

Intent readIntent(const YAML::Node &Document, FindingSink &Sink) {
  MapReader Top(Document, "intent",
                {"name", "weights", "weight-store", "models", "adapters",
                 "pools", "selectors", "callers"},
                Sink);
  Intent Value;
  Value.m_Name = Top.requiredText("name");
  readWeightStoreAndWeights(Top, Value, Sink);
  Top.each("models", [&](const YAML::Node &Each) {
    Value.m_Models.push_back(readModel(Each, Sink));
  });
  Top.each("adapters", [&](const YAML::Node &Each) {
    Value.m_Adapters.push_back(readAdapter(Each, Sink));
  });
  Top.each("pools", [&](const YAML::Node &Each) {
    Value.m_Pools.push_back(readPool(Each, Sink));
  });
  Top.each("selectors", [&](const YAML::Node &Each) {
    Value.m_Selectors.push_back(readSelector(Each, Sink));
  });
  Top.each("callers", [&](const YAML::Node &Each) {
    Value.m_Callers.push_back(readCaller(Each, Sink));
  });
  checkIntent(Value, Document, Sink);
  return Value;
}

} // namespace

ports::IntentReadResult
YamlIntentReader::read(const std::string &Text,
                       const std::string &FileName) const {
  FindingSink Sink(FileName);
  const YAML::Node Document = parseDocument(Text, Sink);
  ports::IntentReadResult Result;
  if (Document.IsDefined() && !Document.IsNull()) {
    Intent Value = readIntent(Document, Sink);
    Result.m_Findings = Sink.take();
    if (!hasErrors(Result.m_Findings))
      Result.m_Intent = std::move(Value);
    return Result;
  }
  Result.m_Findings = Sink.take();
  if (Result.m_Findings.empty())
    Result.m_Findings.push_back(
        {Severity::Error, {FileName, 0, 0}, "the file is empty"});
  return Result;
}

} // namespace bronzepass::core::adapters::yaml
