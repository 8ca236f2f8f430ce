// Generates the traces under Source/UnitTests/Traces/Data:
// RecordTraces <directory>. The seeds are fixed, so a second run writes the
// same bytes if the standard library implements the distributions alike.

#include "UnitTests/Traces/Deployment.h"
#include "UnitTests/Traces/Trace.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iostream>
#include <random>

namespace bronzepass::unit_tests::traces {

namespace {

constexpr uint32_t TraceMs = 30000;
constexpr uint32_t StoreOutageTraceMs = 720000;
constexpr double BurstFactor = 10;
constexpr uint32_t BurstStartMs = 6000;
constexpr uint32_t BurstEndMs = 26000;
constexpr uint32_t BurstingModel = 2;
constexpr uint32_t TurnMs = 4000;
constexpr uint32_t Callers = 20;
constexpr uint32_t Conversations = 400;

enum class Demand { Steady, Burst, Turns, Quiet };

/// Ratio of a model's current demand to its ordinary demand.
double demandFactor(Demand Kind, uint32_t Model, uint32_t Models,
                    uint32_t AtMs) {
  if (Kind == Demand::Burst)
    return Model == BurstingModel && AtMs >= BurstStartMs && AtMs < BurstEndMs
               ? BurstFactor
               : 1;
  if (Kind == Demand::Turns)
    return Model == (AtMs / TurnMs * 3 + 1) % std::min(Models, 12U)
               ? BurstFactor
               : 1;
  return 1;
}

class Recorder {
public:
  Recorder(const Deployment &Of, Demand Kind, uint64_t Seed)
      : m_Deployment(Of), m_Kind(Kind), m_Random(Seed) {}

  std::vector<TraceLine> record() {
    bool Quiet = m_Kind == Demand::Quiet;
    uint32_t EndMs = Quiet ? StoreOutageTraceMs : TraceMs;
    double Rate = Quiet ? 2 : m_Deployment.m_SteadyRate;
    uint32_t Models = m_Deployment.m_Popularity.size();
    for (uint32_t Model = 0; Model < Models; ++Model)
      addArrivals(Model, Rate * m_Deployment.m_Popularity[Model], EndMs);
    addArrivals(-1, Quiet ? 1 : 4, EndMs);
    std::stable_sort(m_Lines.begin(), m_Lines.end(),
                     [](const TraceLine &Left, const TraceLine &Right) {
                       return Left.m_AtMs < Right.m_AtMs;
                     });
    return m_Lines;
  }

private:
  /// Adds the arrivals of a Poisson process with a varying rate, by thinning.
  void addArrivals(int32_t Model, double Rate, uint32_t EndMs) {
    std::exponential_distribution<double> Gap(Rate * BurstFactor / 1000);
    std::uniform_real_distribution<double> Chance(0, BurstFactor);
    uint32_t Models = m_Deployment.m_Popularity.size();
    for (double At = Gap(m_Random); At < EndMs; At += Gap(m_Random)) {
      uint32_t AtMs = static_cast<uint32_t>(At);
      double Factor = Model < 0 ? 1 : demandFactor(m_Kind, Model, Models, AtMs);
      if (Chance(m_Random) < Factor)
        m_Lines.push_back(makeLine(AtMs, Model));
    }
  }

  uint32_t randomBelow(uint32_t Bound) { return m_Random() % Bound; }

  TraceLine makeLine(uint32_t AtMs, int32_t Model) {
    TraceLine Line;
    Line.m_AtMs = AtMs;
    Line.m_Caller = randomBelow(Callers);
    Line.m_Model = Model;
    if (Model < 0) {
      Line.m_WindowMs = 5000;
      return Line;
    }
    uint32_t Models = m_Deployment.m_Popularity.size();
    uint32_t Adapters = m_Deployment.m_Inputs.m_Intent->m_Adapters.size();
    if (randomBelow(2) == 0 && static_cast<uint32_t>(Model) < Adapters)
      Line.m_Adapter =
          Model + Models * randomBelow((Adapters - Model - 1) / Models + 1);
    Line.m_Batch = randomBelow(10) == 0;
    Line.m_Conversation = randomBelow(Conversations);
    Line.m_PromptTokens = 128 + randomBelow(512);
    std::lognormal_distribution<double> Length(std::log(100), 0.5);
    Line.m_Tokens = std::clamp<uint32_t>(Length(m_Random), 10, 400);
    Line.m_MaxTokens = Line.m_Tokens + randomBelow(Line.m_Tokens + 1);
    Line.m_WindowMs = Line.m_Batch ? 20000 : 4000;
    return Line;
  }

  const Deployment &m_Deployment;
  Demand m_Kind;
  std::mt19937_64 m_Random;
  std::vector<TraceLine> m_Lines;
};

void recordAll(const Deployment &Of, const std::string &Folder, uint64_t Seed) {
  const std::vector<std::pair<Demand, const char *>> Kinds = {
      {Demand::Steady, "steady"},
      {Demand::Burst, "burst"},
      {Demand::Turns, "turns"},
      {Demand::Quiet, "quiet"}};
  for (const auto &[Kind, Name] : Kinds) {
    std::ofstream File(Folder + "/" + Of.m_Name + "-" + Name + ".csv");
    writeTrace(Recorder(Of, Kind, Seed++).record(), File);
  }
}

} // namespace

} // namespace bronzepass::unit_tests::traces

int main(int Count, char **Arguments) {
  using namespace bronzepass::unit_tests::traces;
  if (Count != 2) {
    std::cerr << "usage: RecordTraces <directory>\n";
    return 2;
  }
  recordAll(dielectrica(), Arguments[1], 100);
  recordAll(nile(), Arguments[1], 200);
  return 0;
}
