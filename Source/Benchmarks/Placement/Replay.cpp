#include "Benchmarks/Placement/Replay.h"

#include <algorithm>

namespace bronzepass::benchmarks::placement {

namespace {

constexpr uint64_t Seed = 4711;
constexpr model::Duration SamplePeriod = std::chrono::seconds(10);
constexpr model::Duration WarmUp = std::chrono::minutes(15);
/// Mean utilization of all engines' slots outside bursts.
constexpr double MeanUtilization = 0.2;

/// Runs one scenario on one fleet.
class Replay {
public:
  Replay(const model::Intent &Value, Fleet &Engines)
      : m_Intent(Value), m_Fleet(Engines),
        m_Models(static_cast<uint32_t>(Value.m_Models.size())),
        m_Demand(m_Models, totalRate(Value), Seed),
        m_Serving(m_Models, uint32_t(Value.m_Pools.front().m_Endpoints.size()),
                  Value.m_Pools.front().m_Endpoints.front().m_Slots) {}

  Outcome run(const Scenario &Played) {
    simulate(WarmUp, false);
    const uint64_t PriorLoads = m_Fleet.modelLoads();
    const uint64_t PriorAdapterLoads = m_Fleet.adapterLoads();
    const uint64_t PriorArrivals = m_Serving.arrivals();
    const uint64_t PriorInTime = m_Serving.inTime();
    simulate(Played.m_Length / 4, true);
    if (Played.m_Event) {
      Played.m_Event(m_Fleet, m_Intent);
      m_EventAt = m_Fleet.now();
    }
    simulate(Played.m_Length - Played.m_Length / 4, true);
    const double Answered = double(m_Serving.inTime() - PriorInTime);
    m_Outcome.m_Attained =
        Answered / double(m_Serving.arrivals() - PriorArrivals);
    m_Outcome.m_InTimePerAccelerator = Answered / accelerators();
    m_Outcome.m_Moves = m_Fleet.modelLoads() - PriorLoads;
    m_Outcome.m_AdapterLoads = m_Fleet.adapterLoads() - PriorAdapterLoads;
    m_Outcome.m_MaxPromisedShare = m_Fleet.maxPromisedShare();
    return m_Outcome;
  }

private:
  static double totalRate(const model::Intent &Value) {
    double Slots = 0;
    for (const model::EndpointSpec &Engine : Value.m_Pools.front().m_Endpoints)
      Slots += Engine.m_Slots;
    return MeanUtilization * Slots /
           std::chrono::duration<double>(ServiceTime).count();
  }

  double accelerators() const {
    double Sum = 0;
    for (const model::EndpointSpec &Engine :
         m_Intent.m_Pools.front().m_Endpoints)
      Sum += Engine.m_Accelerators;
    return Sum;
  }

  void simulate(model::Duration Time, bool Records) {
    const double Seconds =
        std::chrono::duration<double>(SimulationStep).count();
    for (model::Duration Passed{0}; Passed < Time; Passed += SimulationStep) {
      m_Fleet.step();
      const model::TimePoint Now = m_Fleet.now();
      const double Second = std::chrono::duration<double>(m_Elapsed).count();
      for (uint32_t I = 0; I < m_Models; ++I)
        m_Serving.addArrivals(I, m_Demand.rate(I, Second) * Seconds, Now);
      m_Serving.serve(
          [this](uint32_t I) {
            return m_Fleet.copies(m_Intent.m_Models[I].m_Name);
          },
          Now);
      m_Elapsed += SimulationStep;
      if (m_Elapsed % SamplePeriod == model::Duration(0))
        for (uint32_t I = 0; I < m_Models; ++I)
          m_Fleet.recordDemand(m_Intent.m_Models[I].m_Name,
                               m_Serving.takeSample(I));
      if (Records)
        recordAvailability(Now, Seconds);
    }
  }

  void recordAvailability(model::TimePoint Now, double Seconds) {
    const bool All = m_Fleet.servesAll();
    const bool Reachable =
        std::all_of(m_Intent.m_Models.begin(), m_Intent.m_Models.end(),
                    [this](const model::ModelSpec &Model) {
                      return !m_Fleet.copies(Model.m_Name).empty();
                    });
    if (!Reachable)
      m_Outcome.m_UnreachableSeconds += Seconds;
    if (m_EventAt && All && m_Outcome.m_RecoverySeconds < 0 && Now > *m_EventAt)
      m_Outcome.m_RecoverySeconds =
          std::chrono::duration<double>(Now - *m_EventAt).count();
  }

  const model::Intent &m_Intent;
  Fleet &m_Fleet;
  uint32_t m_Models;
  Demand m_Demand;
  ServingModel m_Serving;
  model::Duration m_Elapsed{0};
  std::optional<model::TimePoint> m_EventAt;
  Outcome m_Outcome;
};

/// Fails the engine with the most models that no other engine serves.
void loseEngine(Fleet &Engines, const model::Intent &Value) {
  std::map<uint32_t, uint32_t> SoleCopies;
  for (const model::ModelSpec &Model : Value.m_Models) {
    const std::vector<uint32_t> Copies = Engines.copies(Model.m_Name);
    if (Copies.size() == 1)
      ++SoleCopies[Copies.front()];
  }
  uint32_t MostCritical = 0;
  for (const auto &Entry : SoleCopies)
    MostCritical =
        SoleCopies[MostCritical] < Entry.second ? Entry.first : MostCritical;
  Engines.failEngine(MostCritical);
}

void loseDomain(Fleet &Engines, const model::Intent &Value) {
  const std::vector<model::EndpointSpec> &All =
      Value.m_Pools.front().m_Endpoints;
  for (uint32_t I = 0; I < All.size(); ++I)
    if (All[I].m_Domain == All.front().m_Domain)
      Engines.failEngine(I);
}

void rollOut(Fleet &Engines, const model::Intent &Value) {
  model::Intent Changed = Value;
  Changed.m_Generation = {2};
  for (model::ModelSpec &Model : Changed.m_Models)
    Model.m_Versions.front().m_Version = "v2";
  Engines.changeIntent(
      std::make_shared<const model::Intent>(std::move(Changed)));
}

void takeOver(Fleet &Engines, const model::Intent &Value) {
  constexpr uint32_t Taken = 200;
  model::Intent Changed = Value;
  Changed.m_Generation = {2};
  for (uint32_t I = 0; I < Taken; ++I)
    Changed.m_Models.push_back(
        {.m_Name = model::ModelId(numbered("taken", 1000 + I)),
         .m_Versions = {{.m_Version = "v1",
                         .m_MemoryBytes = GiB * 3 / 4,
                         .m_LoadTime = std::chrono::seconds(50)}}});
  Engines.changeIntent(
      std::make_shared<const model::Intent>(std::move(Changed)));
}

} // namespace

Outcome replay(const Scenario &Scene, const model::Intent &Value,
               Fleet &Engines) {
  return Replay(Value, Engines).run(Scene);
}

std::vector<Scenario> scenarios(model::Duration Day) {
  return {{"day", Day, nullptr},
          {"engine-lost", std::chrono::hours(2), loseEngine},
          {"domain-lost", std::chrono::hours(2), loseDomain},
          {"rollout", std::chrono::hours(2), rollOut},
          {"takeover", std::chrono::hours(3), takeOver}};
}

std::vector<std::unique_ptr<Fleet>>
fleets(const std::shared_ptr<const model::Intent> &Value) {
  std::vector<std::unique_ptr<Fleet>> All;
  All.push_back(std::make_unique<PlacementCoreFleet>(Value));
  for (BaselineKind Kind :
       {BaselineKind::Static, BaselineKind::MissLru, BaselineKind::BusyMissLru})
    All.push_back(std::make_unique<BaselineFleet>(Kind, Value));
  return All;
}

} // namespace bronzepass::benchmarks::placement
