#include "Core/Residency/ResidencyPlan.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace bronzepass::core::residency {

namespace {

using gateway::EngineSpec;
using gateway::LoadedModel;
using gateway::OrderVerb;
using gateway::ServedModel;

/// A copy is moved only if one model has this many copies fewer than its target
/// and another this many more, so that small changes of demand move nothing.
constexpr double MinCopyImbalance = 0.6;
/// Width of the confidence interval of a model's share of demand, in standard
/// errors.
constexpr double ShareConfidence = 1;
/// Adapters of the largest size that room is kept for beside the models.
constexpr int64_t AdapterHeadroom = 8;

// Weights of the score by which engines are chosen; the lowest score wins. All
// demand together weighs 10.
constexpr double DemandWeight = 10;
constexpr double StoreLoadCost = 1;
constexpr double EvictionCost = 0.5;
constexpr double SameDomainCost = 0.2;

class Planner {
public:
  explicit Planner(const PlanInputs &Inputs)
      : m_Inputs(Inputs), m_Spec(*Inputs.m_Spec) {
    countCopies();
    computeTotals();
  }

  std::optional<PlanStep> next() const {
    if (std::optional<PlanStep> Step = fillReserved())
      return Step;
    std::vector<const ServedModel *> Underserved;
    for (const ServedModel &Each : m_Spec.m_Models)
      if (isUnderserved(Each.m_Name))
        Underserved.push_back(&Each);
    std::stable_sort(Underserved.begin(), Underserved.end(),
                     [&](const ServedModel *Left, const ServedModel *Right) {
                       return urgency(Left->m_Name) > urgency(Right->m_Name);
                     });
    for (const ServedModel *const Each : Underserved)
      if (std::optional<PlanStep> Step = planFor(*Each))
        return Step;
    return fillSpareRoom();
  }

private:
  struct Candidate {
    const EngineRecord *m_Engine = nullptr;
    /// The model to unload first; empty if there is room.
    std::string m_Victim;
    double m_Score = std::numeric_limits<double>::max();
  };

  /// Loads a model into room that was made for it.
  std::optional<PlanStep> fillReserved() const {
    for (const EngineRecord *const Engine : m_Inputs.m_Engines) {
      const auto Reserved = m_Inputs.m_ReservedFor.find(Engine->entry().m_Id);
      if (Reserved == m_Inputs.m_ReservedFor.end() || !Engine->canTakeOrder())
        continue;
      const ServedModel *const Model = m_Spec.model(Reserved->second);
      const bool MayLoad = m_Inputs.m_StoreLoadAllowed ||
                           Engine->hasLocalWeights(Reserved->second);
      if (Model && MayLoad && fits(*Engine, *Model, 0))
        return step(OrderVerb::Load, *Engine, Model->m_Name, Model->m_Name);
    }
    return std::nullopt;
  }

  /// Uses spare room for a second copy of a model that has only one, so that it
  /// still answers when an engine is lost. Nothing is unloaded for it.
  std::optional<PlanStep> fillSpareRoom() const {
    for (const ServedModel &Each : m_Spec.m_Models) {
      if (copies(Each.m_Name) != 1)
        continue;
      for (const EngineRecord *const Engine : m_Inputs.m_Engines) {
        const bool MayLoad =
            m_Inputs.m_StoreLoadAllowed || Engine->hasLocalWeights(Each.m_Name);
        if (Engine->canTakeOrder() && MayLoad &&
            !m_Inputs.m_ReservedFor.contains(Engine->entry().m_Id) &&
            !Engine->holds({Each.m_Name, ""}) && fits(*Engine, Each, 0))
          return step(OrderVerb::Load, *Engine, Each.m_Name, Each.m_Name);
      }
    }
    return std::nullopt;
  }

  /// Counts loads that are ordered or have room reserved as copies, and copies
  /// that are being unloaded only for their failure domain.
  void countCopies() {
    for (const EngineRecord *const Engine : m_Inputs.m_Engines) {
      for (const LoadedModel &Each : Engine->models()) {
        ++m_DomainCopies[{Engine->entry().m_Domain, Each.m_Name}];
        if (!isUnloading(*Engine, Each.m_Name))
          ++m_Copies[Each.m_Name];
      }
      const auto Reserved = m_Inputs.m_ReservedFor.find(Engine->entry().m_Id);
      const std::optional<OpenOrder> &Open = Engine->openOrder();
      if (Open && Open->m_Order.m_Verb == OrderVerb::Load &&
          Open->m_Order.m_ModelRef.m_Adapter.empty() &&
          !Engine->holds(Open->m_Order.m_ModelRef))
        ++m_Copies[Open->m_Order.m_ModelRef.m_Model];
      else if (Reserved != m_Inputs.m_ReservedFor.end())
        ++m_Copies[Reserved->second];
    }
  }

  static bool isUnloading(const EngineRecord &Engine,
                          const std::string &Model) {
    const std::optional<OpenOrder> &Open = Engine.openOrder();
    return Open && Open->m_Order.m_Verb == OrderVerb::Unload &&
           Open->m_Order.m_ModelRef == gateway::ModelRef{Model, ""};
  }

  /// Sums up demand, and counts the copies that fit beside one of each model.
  void computeTotals() {
    double Weights = 0;
    for (const ServedModel &Each : m_Spec.m_Models) {
      Weights += static_cast<double>(Each.m_WeightsMb);
      m_DemandSum += demand(Each.m_Name);
      m_LargestAdapterMb =
          std::max(m_LargestAdapterMb, static_cast<int64_t>(Each.m_AdapterMb));
    }
    const double Models = static_cast<double>(m_Spec.m_Models.size());
    const double MeanWeight = std::max(1.0, Weights / std::max(1.0, Models));
    // Only whole copies fit an engine.
    const double CopiesPerEngine =
        std::floor(static_cast<double>(m_Spec.m_WeightsMb) / MeanWeight);
    const double Engines = static_cast<double>(m_Inputs.m_Engines.size());
    m_SpareCopies = std::max(0.0, CopiesPerEngine * Engines - Models);
  }

  double demand(const std::string &Model) const {
    const auto Found = m_Inputs.m_Demand.find(Model);
    return Found == m_Inputs.m_Demand.end() ? 0 : Found->second;
  }
  double share(const std::string &Model) const {
    return m_DemandSum > 0 ? demand(Model) / m_DemandSum : 0;
  }
  double copies(const std::string &Model) const {
    const auto Found = m_Copies.find(Model);
    return Found == m_Copies.end() ? 0 : Found->second;
  }
  double targetCopies(const std::string &Model) const {
    return copiesFor(share(Model));
  }
  /// Wilson's interval of the share of demand: what few requests show of it.
  std::pair<double, double> shareInterval(const std::string &Model) const {
    const double Samples = std::max(0.01, m_Inputs.m_DemandSamples);
    const double Share = share(Model);
    const double Z2 = ShareConfidence * ShareConfidence / Samples;
    const double Centre = (Share + Z2 / 2) / (1 + Z2);
    const double Half =
        std::sqrt(Z2 * Share * (1 - Share) + Z2 * Z2 / 4) / (1 + Z2);
    return {std::max(0.0, Centre - Half), std::min(1.0, Centre + Half)};
  }
  double copiesFor(double Share) const {
    // An engine holds at most one copy of a model.
    return std::min(1 + m_SpareCopies * Share,
                    static_cast<double>(m_Inputs.m_Engines.size()));
  }
  bool isUnderserved(const std::string &Model) const {
    return copiesFor(shareInterval(Model).first) - copies(Model) >=
           MinCopyImbalance;
  }
  bool isOverserved(const std::string &Model) const {
    return copies(Model) - copiesFor(shareInterval(Model).second) >=
           MinCopyImbalance;
  }
  double deficit(const std::string &Model) const {
    return targetCopies(Model) - copies(Model);
  }
  /// Demand per copy; a model without any copy comes before all others.
  double urgency(const std::string &Model) const {
    const double Count = copies(Model);
    return Count == 0 ? 1e6 + share(Model) : share(Model) / Count;
  }

  /// Whether a copy of \p Victim may be unloaded to make room for \p Model.
  bool mayEvict(const EngineRecord &Engine, const std::string &Victim,
                const std::string &Model) const {
    if (copies(Victim) < 2)
      return false;
    const auto RecentLoads = m_Inputs.m_RecentLoads.find(Engine.entry().m_Id);
    const bool IsRecent =
        RecentLoads != m_Inputs.m_RecentLoads.end() &&
        std::find(RecentLoads->second.begin(), RecentLoads->second.end(),
                  Victim) != RecentLoads->second.end();
    const double Surplus = -deficit(Victim);
    return copies(Model) == 0 ? Surplus > -1
                              : isOverserved(Victim) && !IsRecent;
  }

  double remainingDemand(const EngineRecord &Engine,
                         const std::string &Victim) const {
    double Sum = 0;
    for (const LoadedModel &Each : Engine.models())
      if (Each.m_Name != Victim)
        Sum += share(Each.m_Name) / std::max(1.0, copies(Each.m_Name));
    return Sum;
  }

  double copiesInDomain(const EngineRecord &Engine,
                        const std::string &Model) const {
    const auto Found = m_DomainCopies.find({Engine.entry().m_Domain, Model});
    return Found == m_DomainCopies.end() ? 0 : Found->second;
  }

  double score(const EngineRecord &Engine, const std::string &Model,
               const std::string &Victim) const {
    double Score = DemandWeight * remainingDemand(Engine, Victim);
    if (!Engine.hasLocalWeights(Model))
      Score += StoreLoadCost;
    if (!Victim.empty())
      Score += EvictionCost +
               DemandWeight * share(Victim) / std::max(1.0, copies(Victim));
    return Score + SameDomainCost * copiesInDomain(Engine, Model);
  }

  bool fits(const EngineRecord &Engine, const ServedModel &Model,
            int64_t FreedMb) const {
    return Engine.freeMb(m_Spec) + FreedMb >=
           static_cast<int64_t>(Model.m_WeightsMb) +
               std::min<int64_t>(AdapterHeadroom, m_Spec.m_AdapterSlots) *
                   m_LargestAdapterMb;
  }

  void updateBest(const EngineRecord &Engine, const ServedModel &Model,
                  Candidate &Best) const {
    if (fits(Engine, Model, 0)) {
      const double Score = score(Engine, Model.m_Name, "");
      if (Score < Best.m_Score)
        Best = {&Engine, "", Score};
      return;
    }
    for (const LoadedModel &Held : Engine.models()) {
      const ServedModel *const Victim = m_Spec.model(Held.m_Name);
      if (!Victim || !mayEvict(Engine, Held.m_Name, Model.m_Name) ||
          !fits(Engine, Model, static_cast<int64_t>(Victim->m_WeightsMb)))
        continue;
      const double Score = score(Engine, Model.m_Name, Held.m_Name);
      if (Score < Best.m_Score)
        Best = {&Engine, Held.m_Name, Score};
    }
  }

  std::optional<PlanStep> planFor(const ServedModel &Model) const {
    Candidate Best;
    for (const EngineRecord *const Engine : m_Inputs.m_Engines) {
      const auto Reserved = m_Inputs.m_ReservedFor.find(Engine->entry().m_Id);
      const bool ReservedForOther = Reserved != m_Inputs.m_ReservedFor.end() &&
                                    Reserved->second != Model.m_Name;
      if (!Engine->canTakeOrder() || ReservedForOther ||
          Engine->holds({Model.m_Name, ""}))
        continue;
      updateBest(*Engine, Model, Best);
    }
    if (!Best.m_Engine)
      return std::nullopt;
    if (Best.m_Victim.empty() && !m_Inputs.m_StoreLoadAllowed &&
        !Best.m_Engine->hasLocalWeights(Model.m_Name))
      return std::nullopt;
    if (Best.m_Victim.empty())
      return step(OrderVerb::Load, *Best.m_Engine, Model.m_Name, Model.m_Name);
    return step(OrderVerb::Unload, *Best.m_Engine, Best.m_Victim, Model.m_Name);
  }

  PlanStep step(OrderVerb Verb, const EngineRecord &Engine,
                const std::string &Model, const std::string &For) const {
    return {Verb, Engine.entry().m_Id, Model, For,
            For + " has " + std::to_string(static_cast<int>(copies(For))) +
                " copies of " + std::to_string(targetCopies(For)) +
                " wanted, " +
                std::to_string(static_cast<int64_t>(demand(For))) +
                " tokens/s asked"};
  }

  const PlanInputs &m_Inputs;
  const EngineSpec &m_Spec;
  std::map<std::string, double> m_Copies;
  std::map<std::pair<model::DomainId, std::string>, double> m_DomainCopies;
  double m_DemandSum = 0;
  double m_SpareCopies = 0;
  int64_t m_LargestAdapterMb = 0;
};

} // namespace

std::optional<PlanStep> planStep(const PlanInputs &Inputs) {
  return Planner(Inputs).next();
}

} // namespace bronzepass::core::residency
