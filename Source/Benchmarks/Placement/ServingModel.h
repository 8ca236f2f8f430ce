#ifndef BRONZEPASS_BENCHMARKS_PLACEMENT_SERVINGMODEL_H
#define BRONZEPASS_BENCHMARKS_PLACEMENT_SERVINGMODEL_H

#include "Core/Model/Demand.h"
#include "Core/Model/Intent.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace bronzepass::benchmarks::placement {

namespace model = core::model;

constexpr model::Duration SimulationStep = std::chrono::seconds(2);
/// How long a request occupies its slot, and its deadline after arrival.
constexpr model::Duration ServiceTime = std::chrono::seconds(4);
constexpr model::Duration Window = std::chrono::seconds(16);

/// Requests a second for each model over a day: a long-tailed base rate, and
/// tenfold bursts of half an hour to an hour at times drawn from a seed.
class Demand {
public:
  Demand(uint32_t Models, double TotalRate, uint64_t Seed) {
    std::mt19937_64 Draw(Seed);
    double Sum = 0;
    for (uint32_t I = 0; I < Models; ++I)
      Sum += m_Base.emplace_back(1.0 / double(1 + I * 7 % Models));
    for (double &Rate : m_Base)
      Rate *= TotalRate / Sum;
    m_Bursts.resize(Models);
    for (std::vector<Burst> &Bursts : m_Bursts)
      for (int I = 0; I < BurstsADay; ++I) {
        const double Begin = double(Draw() % 82000);
        Bursts.push_back({Begin, Begin + 1800 + double(Draw() % 1800)});
      }
  }

  double rate(uint32_t Model, double Second) const {
    for (const Burst &Burst : m_Bursts[Model])
      if (Second >= Burst.m_Begin && Second < Burst.m_End)
        return m_Base[Model] * BurstFactor;
    return m_Base[Model];
  }

private:
  static constexpr int BurstsADay = 2;
  static constexpr double BurstFactor = 10;
  struct Burst {
    double m_Begin = 0;
    double m_End = 0;
  };
  std::vector<double> m_Base;
  std::vector<std::vector<Burst>> m_Bursts;
};

/// Simulates slots per engine, a queue per model and a fixed service time, to
/// count the requests that the available copies answer in time.
class ServingModel {
public:
  /// Returns the engines that currently serve a model.
  using Copies = std::function<std::vector<uint32_t>(uint32_t Model)>;

  ServingModel(uint32_t Models, uint32_t Engines, uint32_t Slots)
      : m_Queues(Models), m_FractionalArrivals(Models), m_Samples(Models),
        m_FreeSlots(Engines, Slots), m_Slots(Slots) {}

  void addArrivals(uint32_t Model, double Requests, model::TimePoint Now) {
    m_FractionalArrivals[Model] += Requests;
    const uint32_t WholeRequests =
        static_cast<uint32_t>(m_FractionalArrivals[Model]);
    m_FractionalArrivals[Model] -= WholeRequests;
    if (WholeRequests == 0)
      return;
    m_Queues[Model].push_back({Now, WholeRequests});
    m_Samples[Model].m_Arrivals += WholeRequests;
    m_Arrivals += WholeRequests;
  }

  void serve(const Copies &CopiesOf, model::TimePoint Now) {
    while (!m_Running.empty() && m_Running.front().m_Until <= Now) {
      m_FreeSlots[m_Running.front().m_Engine] += m_Running.front().m_Count;
      m_Running.pop_front();
    }
    // Rotates the model that is served first, so that none is favoured.
    m_FirstModel = (m_FirstModel + 1) % m_Queues.size();
    for (size_t I = 0; I < m_Queues.size(); ++I)
      serveModel(static_cast<uint32_t>((m_FirstModel + I) % m_Queues.size()),
                 CopiesOf, Now);
  }

  /// Fails an engine; requests that ran on it don't count as in time.
  void failEngine(uint32_t Engine) {
    m_FreeSlots[Engine] = m_Slots;
    for (auto It = m_Running.begin(); It != m_Running.end();) {
      if (It->m_Engine == Engine)
        m_InTime -= It->m_Count;
      It = It->m_Engine == Engine ? m_Running.erase(It) : std::next(It);
    }
  }

  /// Returns the demand counted since the last call, and the requests waiting.
  model::DemandSample takeSample(uint32_t Model) {
    model::DemandSample Sample = m_Samples[Model];
    Sample.m_Waiting = waiting(Model);
    m_Samples[Model] = {};
    return Sample;
  }

  uint32_t waiting(uint32_t Model) const {
    uint32_t Sum = 0;
    for (const Waiting &Batch : m_Queues[Model])
      Sum += Batch.m_Count;
    return Sum;
  }

  uint64_t arrivals() const { return m_Arrivals; }
  uint64_t inTime() const { return m_InTime; }

private:
  struct Waiting {
    model::TimePoint m_Since;
    uint32_t m_Count = 0;
  };
  struct Running {
    model::TimePoint m_Until;
    uint32_t m_Engine = 0;
    uint32_t m_Count = 0;
  };

  void serveModel(uint32_t Model, const Copies &CopiesOf,
                  model::TimePoint Now) {
    std::deque<Waiting> &Queue = m_Queues[Model];
    while (!Queue.empty() && Queue.front().m_Since + Window < Now + ServiceTime)
      Queue.pop_front();
    if (Queue.empty())
      return;
    const std::vector<uint32_t> Engines = CopiesOf(Model);
    while (!Queue.empty() && !Engines.empty()) {
      const uint32_t Best = *std::max_element(
          Engines.begin(), Engines.end(), [this](uint32_t A, uint32_t B) {
            return m_FreeSlots[A] < m_FreeSlots[B];
          });
      const uint32_t Count = std::min(m_FreeSlots[Best], Queue.front().m_Count);
      if (Count == 0)
        return;
      m_FreeSlots[Best] -= Count;
      m_Running.push_back({Now + ServiceTime, Best, Count});
      m_InTime += Count;
      m_Samples[Model].m_InTime += Count;
      m_Samples[Model].m_SlotSeconds +=
          Count * std::chrono::duration<double>(ServiceTime).count();
      Queue.front().m_Count -= Count;
      if (Queue.front().m_Count == 0)
        Queue.pop_front();
    }
  }

  std::vector<std::deque<Waiting>> m_Queues;
  std::vector<double> m_FractionalArrivals;
  std::vector<model::DemandSample> m_Samples;
  std::vector<uint32_t> m_FreeSlots;
  std::deque<Running> m_Running;
  uint32_t m_Slots;
  size_t m_FirstModel = 0;
  uint64_t m_Arrivals = 0;
  uint64_t m_InTime = 0;
};

} // namespace bronzepass::benchmarks::placement

#endif // BRONZEPASS_BENCHMARKS_PLACEMENT_SERVINGMODEL_H
