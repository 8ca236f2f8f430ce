// Records the traces under Source/UnitTests/Traces/Data from stated demand:
// RecordTraces <directory>. The seeds are fixed, so a second run writes the
// same bytes where the standard library's distributions are the same.

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
constexpr uint32_t BurstFromMs = 6000;
constexpr uint32_t BurstToMs = 26000;
constexpr uint32_t BurstingModel = 2;
constexpr uint32_t TurnMs = 4000;
constexpr uint32_t Callers = 20;
constexpr uint32_t Conversations = 400;

enum class Demand { Steady, Burst, Turns, Quiet };

/// How many times its ordinary demand a model sees.
double factor(Demand Kind, uint32_t Model, uint32_t Models, uint32_t AtMs) {
  if (Kind == Demand::Burst)
    return Model == BurstingModel && AtMs >= BurstFromMs && AtMs < BurstToMs
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
      : m_Of(Of), m_Kind(Kind), m_Dice(Seed) {}

  std::vector<TraceLine> record() {
    bool Quiet = m_Kind == Demand::Quiet;
    uint32_t EndMs = Quiet ? StoreOutageTraceMs : TraceMs;
    double Rate = Quiet ? 2 : m_Of.m_SteadyRate;
    uint32_t Models = m_Of.m_Popularity.size();
    for (uint32_t Model = 0; Model < Models; ++Model)
      addArrivals(Model, Rate * m_Of.m_Popularity[Model], EndMs);
    addArrivals(-1, Quiet ? 1 : 4, EndMs);
    std::stable_sort(m_Lines.begin(), m_Lines.end(),
                     [](const TraceLine &Left, const TraceLine &Right) {
                       return Left.m_AtMs < Right.m_AtMs;
                     });
    return m_Lines;
  }

private:
  /// A Poisson process whose rate changes, by thinning.
  void addArrivals(int32_t Model, double Rate, uint32_t EndMs) {
    std::exponential_distribution<double> Gap(Rate * BurstFactor / 1000);
    std::uniform_real_distribution<double> Chance(0, BurstFactor);
    uint32_t Models = m_Of.m_Popularity.size();
    for (double At = Gap(m_Dice); At < EndMs; At += Gap(m_Dice)) {
      uint32_t AtMs = static_cast<uint32_t>(At);
      double Factor = Model < 0 ? 1 : factor(m_Kind, Model, Models, AtMs);
      if (Chance(m_Dice) < Factor)
        m_Lines.push_back(line(AtMs, Model));
    }
  }

  uint32_t below(uint32_t Bound) { return m_Dice() % Bound; }

  TraceLine line(uint32_t AtMs, int32_t Model) {
    TraceLine Line;
    Line.m_AtMs = AtMs;
    Line.m_Caller = below(Callers);
    Line.m_Model = Model;
    if (Model < 0) {
      Line.m_WindowMs = 5000;
      return Line;
    }
    uint32_t Models = m_Of.m_Popularity.size();
    uint32_t Adapters = m_Of.m_Inputs.m_Intent->m_Adapters.size();
    if (below(2) == 0 && static_cast<uint32_t>(Model) < Adapters)
      Line.m_Adapter =
          Model + Models * below((Adapters - Model - 1) / Models + 1);
    Line.m_Batch = below(10) == 0;
    Line.m_Conversation = below(Conversations);
    Line.m_PromptTokens = 128 + below(512);
    std::lognormal_distribution<double> Length(std::log(100), 0.5);
    Line.m_Tokens = std::clamp<uint32_t>(Length(m_Dice), 10, 400);
    Line.m_MaxTokens = Line.m_Tokens + below(Line.m_Tokens + 1);
    Line.m_WindowMs = Line.m_Batch ? 20000 : 4000;
    return Line;
  }

  const Deployment &m_Of;
  Demand m_Kind;
  std::mt19937_64 m_Dice;
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
