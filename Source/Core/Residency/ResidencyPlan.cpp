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

/// Copies by which a model must fall short of its share, and another be above
/// its own, before one is moved: shares that waver must not move copies.
constexpr double MoveThreshold = 0.6;
/// Demand below this many tokens a second for each slot of the service proves
/// little: the less there is, the more the copies that are there count as those
/// wanted. A busy slot makes some hundred.
constexpr double ProofPerSlot = 30;
/// Room kept for adapters beside the models, in adapters of the largest size.
constexpr int64_t AdaptersKept = 8;

// Weights of the choice between engines, in shares of the whole demand times
// ten.
constexpr double DemandWeight = 10;
constexpr double StoreLoadCost = 1;
constexpr double EvictionCost = 0.5;
constexpr double SameDomainCost = 0.2;

class Planner {
public:
  explicit Planner(const PlanInputs &Inputs)
      : m_Inputs(Inputs), m_Spec(*Inputs.m_Spec) {
    countCopies();
    shareOut();
  }

  std::optional<PlanStep> next() const {
    if (std::optional<PlanStep> Step = fillReserved())
      return Step;
    std::vector<const ServedModel *> Short;
    for (const ServedModel &Each : m_Spec.m_Models)
      if (deficit(Each.m_Name) >= MoveThreshold)
        Short.push_back(&Each);
    std::stable_sort(Short.begin(), Short.end(),
                     [&](const ServedModel *Left, const ServedModel *Right) {
                       return urgency(Left->m_Name) > urgency(Right->m_Name);
                     });
    for (const ServedModel *const Each : Short)
      if (std::optional<PlanStep> Step = planFor(*Each))
        return Step;
    return fillRoom();
  }

private:
  struct Place {
    const EngineBook *m_Engine = nullptr;
    /// Set where a copy has to leave first.
    std::string m_Victim;
    double m_Score = std::numeric_limits<double>::max();
  };

  /// Room that was made for a model is filled with it.
  std::optional<PlanStep> fillReserved() const {
    for (const EngineBook *const Engine : m_Inputs.m_Engines) {
      const auto Reserved = m_Inputs.m_Reserved.find(Engine->entry().m_Id);
      if (Reserved == m_Inputs.m_Reserved.end() || !Engine->isFree())
        continue;
      const ServedModel *const Model = m_Spec.model(Reserved->second);
      const bool MayLoad = m_Inputs.m_StoreLoadAllowed ||
                           Engine->hasLocalWeights(Reserved->second);
      if (Model && MayLoad && fits(*Engine, *Model, 0))
        return step(OrderVerb::Load, *Engine, Model->m_Name, Model->m_Name);
    }
    return std::nullopt;
  }

  /// Room that nobody needs takes a second copy of a model that has one: it
  /// answers on when an engine is lost. No copy leaves for it.
  std::optional<PlanStep> fillRoom() const {
    for (const ServedModel &Each : m_Spec.m_Models) {
      if (copies(Each.m_Name) != 1)
        continue;
      for (const EngineBook *const Engine : m_Inputs.m_Engines) {
        const bool MayLoad =
            m_Inputs.m_StoreLoadAllowed || Engine->hasLocalWeights(Each.m_Name);
        if (Engine->isFree() && MayLoad &&
            !m_Inputs.m_Reserved.contains(Engine->entry().m_Id) &&
            !Engine->holds({Each.m_Name, ""}) && fits(*Engine, Each, 0))
          return step(OrderVerb::Load, *Engine, Each.m_Name, Each.m_Name);
      }
    }
    return std::nullopt;
  }

  void countCopies() {
    for (const EngineBook *const Engine : m_Inputs.m_Engines) {
      for (const LoadedModel &Each : Engine->models()) {
        ++m_DomainCopies[{Engine->entry().m_Domain, Each.m_Name}];
        if (!isLeaving(*Engine, Each.m_Name))
          ++m_Copies[Each.m_Name];
      }
      const auto Reserved = m_Inputs.m_Reserved.find(Engine->entry().m_Id);
      const std::optional<OpenOrder> &Open = Engine->open();
      if (Open && Open->m_Order.m_Verb == OrderVerb::Load &&
          Open->m_Order.m_ModelRef.m_Adapter.empty() &&
          !Engine->holds(Open->m_Order.m_ModelRef))
        ++m_Copies[Open->m_Order.m_ModelRef.m_Model];
      else if (Reserved != m_Inputs.m_Reserved.end())
        ++m_Copies[Reserved->second];
    }
  }

  static bool isLeaving(const EngineBook &Engine, const std::string &Model) {
    const std::optional<OpenOrder> &Open = Engine.open();
    return Open && Open->m_Order.m_Verb == OrderVerb::Unload &&
           Open->m_Order.m_ModelRef == gateway::ModelRef{Model, ""};
  }

  /// One copy for each model, the rest of the places by demand.
  void shareOut() {
    double Weights = 0;
    for (const ServedModel &Each : m_Spec.m_Models) {
      Weights += static_cast<double>(Each.m_WeightsMb);
      m_DemandSum += demand(Each.m_Name);
      m_AdapterMb =
          std::max(m_AdapterMb, static_cast<int64_t>(Each.m_AdapterMb));
    }
    const double Models = static_cast<double>(m_Spec.m_Models.size());
    const double MeanWeight = std::max(1.0, Weights / std::max(1.0, Models));
    // Whole copies for each engine: half a copy is none.
    const double PerEngine =
        std::floor(static_cast<double>(m_Spec.m_WeightsMb) / MeanWeight);
    const double Engines = static_cast<double>(m_Inputs.m_Engines.size());
    m_Spare = std::max(0.0, PerEngine * Engines - Models);
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
  double wanted(const std::string &Model) const {
    const double Engines = static_cast<double>(m_Inputs.m_Engines.size());
    const double Proof =
        std::min(1.0, m_DemandSum / (ProofPerSlot * m_Spec.m_Slots * Engines));
    const double ByDemand = 1 + m_Spare * share(Model);
    const double Wanted =
        Proof * ByDemand + (1 - Proof) * std::max(1.0, copies(Model));
    // No more than one on each engine.
    return std::min(Wanted, Engines);
  }
  double deficit(const std::string &Model) const {
    return wanted(Model) - copies(Model);
  }
  /// A model without any copy goes before all others.
  double urgency(const std::string &Model) const {
    const double Count = copies(Model);
    return Count == 0 ? 1e6 + share(Model) : share(Model) / Count;
  }

  /// Whether a copy of \p Victim may leave for one of \p Model.
  bool mayLeave(const EngineBook &Engine, const std::string &Victim,
                const std::string &Model) const {
    if (copies(Victim) < 2)
      return false;
    const auto Young = m_Inputs.m_Young.find(Engine.entry().m_Id);
    const bool IsYoung = Young != m_Inputs.m_Young.end() &&
                         std::find(Young->second.begin(), Young->second.end(),
                                   Victim) != Young->second.end();
    const double Surplus = -deficit(Victim);
    return copies(Model) == 0 ? Surplus > -1
                              : Surplus >= MoveThreshold && !IsYoung;
  }

  double demandLeft(const EngineBook &Engine, const std::string &Victim) const {
    double Sum = 0;
    for (const LoadedModel &Each : Engine.models())
      if (Each.m_Name != Victim)
        Sum += share(Each.m_Name) / std::max(1.0, copies(Each.m_Name));
    return Sum;
  }

  double sameDomain(const EngineBook &Engine, const std::string &Model) const {
    const auto Found = m_DomainCopies.find({Engine.entry().m_Domain, Model});
    return Found == m_DomainCopies.end() ? 0 : Found->second;
  }

  double score(const EngineBook &Engine, const std::string &Model,
               const std::string &Victim) const {
    double Score = DemandWeight * demandLeft(Engine, Victim);
    if (!Engine.hasLocalWeights(Model))
      Score += StoreLoadCost;
    if (!Victim.empty())
      Score += EvictionCost +
               DemandWeight * share(Victim) / std::max(1.0, copies(Victim));
    return Score + SameDomainCost * sameDomain(Engine, Model);
  }

  bool fits(const EngineBook &Engine, const ServedModel &Model,
            int64_t FreedMb) const {
    return Engine.freeMb(m_Spec) + FreedMb >=
           static_cast<int64_t>(Model.m_WeightsMb) +
               std::min<int64_t>(AdaptersKept, m_Spec.m_AdapterSlots) *
                   m_AdapterMb;
  }

  void consider(const EngineBook &Engine, const ServedModel &Model,
                Place &Best) const {
    if (fits(Engine, Model, 0)) {
      const double Score = score(Engine, Model.m_Name, "");
      if (Score < Best.m_Score)
        Best = {&Engine, "", Score};
      return;
    }
    for (const LoadedModel &Held : Engine.models()) {
      const ServedModel *const Victim = m_Spec.model(Held.m_Name);
      if (!Victim || !mayLeave(Engine, Held.m_Name, Model.m_Name) ||
          !fits(Engine, Model, static_cast<int64_t>(Victim->m_WeightsMb)))
        continue;
      const double Score = score(Engine, Model.m_Name, Held.m_Name);
      if (Score < Best.m_Score)
        Best = {&Engine, Held.m_Name, Score};
    }
  }

  std::optional<PlanStep> planFor(const ServedModel &Model) const {
    Place Best;
    for (const EngineBook *const Engine : m_Inputs.m_Engines) {
      const auto Reserved = m_Inputs.m_Reserved.find(Engine->entry().m_Id);
      const bool ForOther = Reserved != m_Inputs.m_Reserved.end() &&
                            Reserved->second != Model.m_Name;
      if (!Engine->isFree() || ForOther || Engine->holds({Model.m_Name, ""}))
        continue;
      consider(*Engine, Model, Best);
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

  PlanStep step(OrderVerb Verb, const EngineBook &Engine,
                const std::string &Model, const std::string &For) const {
    return {Verb, Engine.entry().m_Id, Model, For,
            For + " has " + std::to_string(static_cast<int>(copies(For))) +
                " copies of " + std::to_string(wanted(For)) + " wanted, " +
                std::to_string(static_cast<int64_t>(demand(For))) +
                " tokens/s asked"};
  }

  const PlanInputs &m_Inputs;
  const EngineSpec &m_Spec;
  std::map<std::string, double> m_Copies;
  std::map<std::pair<model::DomainId, std::string>, double> m_DomainCopies;
  double m_DemandSum = 0;
  double m_Spare = 0;
  int64_t m_AdapterMb = 0;
};

} // namespace

std::optional<PlanStep> planStep(const PlanInputs &Inputs) {
  return Planner(Inputs).next();
}

} // namespace bronzepass::core::residency
