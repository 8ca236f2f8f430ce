#include "Core/Model/IntentDiff.h"

#include <map>

namespace bronzepass::core::model {

namespace {

/// Entries that a summary names before it only counts the rest.
constexpr size_t MaxNamedChanges = 5;

std::string nameOf(const std::string &Name) { return Name; }
template <typename TagT> std::string nameOf(const Id<TagT> &Name) {
  return Name.str();
}

template <typename SpecT>
std::map<std::string, const SpecT *> byName(const std::vector<SpecT> &Specs) {
  std::map<std::string, const SpecT *> Names;
  for (const SpecT &Spec : Specs)
    Names.emplace(nameOf(Spec.m_Name), &Spec);
  return Names;
}

template <typename SpecT>
void diffList(const std::string &Section, const std::vector<SpecT> &Before,
              const std::vector<SpecT> &After,
              std::vector<IntentChange> &Changes) {
  const std::map<std::string, const SpecT *> Old = byName(Before);
  const std::map<std::string, const SpecT *> New = byName(After);
  for (const auto &Entry : Old) {
    auto Found = New.find(Entry.first);
    if (Found == New.end())
      Changes.push_back({ChangeKind::Removed, Section, Entry.first});
    else if (!(*Found->second == *Entry.second))
      Changes.push_back({ChangeKind::Changed, Section, Entry.first});
  }
  for (const auto &Entry : New)
    if (Old.count(Entry.first) == 0)
      Changes.push_back({ChangeKind::Added, Section, Entry.first});
}

std::vector<EndpointSpec> allEndpoints(const Intent &Value) {
  std::vector<EndpointSpec> Endpoints;
  for (const PoolSpec &Pool : Value.m_Pools)
    Endpoints.insert(Endpoints.end(), Pool.m_Endpoints.begin(),
                     Pool.m_Endpoints.end());
  return Endpoints;
}

/// Pools without their endpoints, which are compared one by one.
std::vector<PoolSpec> poolsWithoutEndpoints(const Intent &Value) {
  std::vector<PoolSpec> Pools = Value.m_Pools;
  for (PoolSpec &Pool : Pools)
    Pool.m_Endpoints.clear();
  return Pools;
}

} // namespace

std::vector<IntentChange> diffIntents(const Intent &Before,
                                      const Intent &After) {
  std::vector<IntentChange> Changes;
  if (Before.m_Name != After.m_Name)
    Changes.push_back({ChangeKind::Changed, "name", After.m_Name});
  if (!(Before.m_Weights == After.m_Weights))
    Changes.push_back({ChangeKind::Changed, "weights", "weights"});
  if (!(Before.m_WeightStore == After.m_WeightStore))
    Changes.push_back({ChangeKind::Changed, "weight-store", "weight-store"});
  diffList("models", Before.m_Models, After.m_Models, Changes);
  diffList("adapters", Before.m_Adapters, After.m_Adapters, Changes);
  diffList("pools", poolsWithoutEndpoints(Before), poolsWithoutEndpoints(After),
           Changes);
  diffList("endpoints", allEndpoints(Before), allEndpoints(After), Changes);
  diffList("callers", Before.m_Callers, After.m_Callers, Changes);
  diffList("selectors", Before.m_Selectors, After.m_Selectors, Changes);
  return Changes;
}

std::string summarize(const std::vector<IntentChange> &Changes) {
  std::string Text;
  for (size_t I = 0; I < Changes.size() && I < MaxNamedChanges; ++I) {
    Text += I == 0 ? "" : "; ";
    Text += Changes[I].m_Section + ": " + toString(Changes[I].m_Kind) + " " +
            Changes[I].m_Name;
  }
  if (Changes.size() > MaxNamedChanges)
    Text +=
        "; and " + std::to_string(Changes.size() - MaxNamedChanges) + " more";
  return Text.empty() ? "no change" : Text;
}

const char *toString(ChangeKind Value) {
  switch (Value) {
  case ChangeKind::Added:
    return "added";
  case ChangeKind::Removed:
    return "removed";
  case ChangeKind::Changed:
    return "changed";
  }
  return "changed";
}

} // namespace bronzepass::core::model
