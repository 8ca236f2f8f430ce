#include "Core/Gateway/PrefillCost.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <random>
#include <vector>

namespace bronzepass::core::gateway {

namespace {

constexpr double LongPrefillMs = 120;
constexpr double GapTargetMs = 250;

struct Stream {
  size_t m_Engine = 0;
  double m_From = 0;
  double m_Until = 0;
  bool m_Late = false;
};

struct Engine {
  double m_PrefillsUntil = 0;
};

struct Arrival {
  double m_At = 0;
  double m_PromptMs = 0;
  double m_StreamMs = 0;
};

/// Streams of two seconds with short prompts, and some of a tenth of that
/// length with prompts of widely varying size, arriving three at a time.
std::vector<Arrival> generateLoad(uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::exponential_distribution<double> Gap(1 / 50.0);
  std::lognormal_distribution<double> LongPrompt(4, 0.9);
  std::vector<Arrival> Load;
  double At = 0;
  for (int I = 0; I < 2000; ++I) {
    if (I % 3 == 0)
      At += Gap(Random);
    if (Random() % 5 == 0)
      Load.push_back({At, std::min(220.0, LongPrompt(Random)), 200});
    else
      Load.push_back({At, 20, 2000});
  }
  return Load;
}

using Policy =
    std::function<size_t(const std::vector<PrefillEstimate> &Estimates)>;

/// Share of the streams that stalled for longer than their target gap.
double lateStreamShare(const std::vector<Arrival> &Load, const Policy &Choose) {
  std::vector<Engine> Engines(5);
  std::vector<Stream> Streams;
  for (const Arrival &Each : Load) {
    std::vector<PrefillEstimate> Estimates;
    for (size_t I = 0; I < Engines.size(); ++I) {
      const double Running = static_cast<double>(std::count_if(
          Streams.begin(), Streams.end(), [&](const Stream &Known) {
            return Known.m_Engine == I && Known.m_Until > Each.m_At;
          }));
      Estimates.push_back(
          {Each.m_PromptMs,
           std::max(0.0, Engines[I].m_PrefillsUntil - Each.m_At), Running,
           LongPrefillMs});
    }
    const size_t Chosen = Choose(Estimates);
    const double Begins = std::max(Each.m_At, Engines[Chosen].m_PrefillsUntil);
    const double Ends = Begins + Each.m_PromptMs;
    Engines[Chosen].m_PrefillsUntil = Ends;
    const bool Long = Ends - Each.m_At > GapTargetMs * 0.8;
    for (Stream &Known : Streams)
      if (Long && Known.m_Engine == Chosen && Known.m_From < Each.m_At &&
          Known.m_Until > Each.m_At)
        Known.m_Late = true;
    Streams.push_back({Chosen, Ends, Ends + Each.m_StreamMs, false});
  }
  return static_cast<double>(
             std::count_if(Streams.begin(), Streams.end(),
                           [](const Stream &Each) { return Each.m_Late; })) /
         static_cast<double>(Streams.size());
}

template <typename CostT> Policy cheapest(CostT Cost) {
  return [Cost](const std::vector<PrefillEstimate> &Estimates) {
    size_t Best = 0;
    for (size_t I = 1; I < Estimates.size(); ++I)
      if (Cost(Estimates[I]) < Cost(Estimates[Best]))
        Best = I;
    return Best;
  };
}

} // namespace

TEST_CASE("single long prompts among many streams: fewer streams are late than "
          "with least in flight or round robin") {
  double PrefillCost = 0;
  double LeastInFlight = 0;
  double RoundRobin = 0;
  for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
    const std::vector<Arrival> Load = generateLoad(Seed);
    PrefillCost += lateStreamShare(
        Load, cheapest([](const PrefillEstimate &Each) {
          return prefillCostMs(Each) + 3 * Each.m_RunningRequests;
        }));
    LeastInFlight +=
        lateStreamShare(Load, cheapest([](const PrefillEstimate &Each) {
                          return Each.m_RunningRequests;
                        }));
    size_t Turn = 0;
    RoundRobin += lateStreamShare(
        Load, [&Turn](const std::vector<PrefillEstimate> &Estimates) {
          return Turn++ % Estimates.size();
        });
  }
  MESSAGE("sum of the shares of late streams over 10 seeds: prefill cost "
          << PrefillCost << ", least in flight " << LeastInFlight
          << ", round robin " << RoundRobin);
  CHECK(PrefillCost < LeastInFlight);
  CHECK(PrefillCost < RoundRobin);
}

TEST_CASE(
    "a prompt that stalls no running request costs only its own prefill") {
  CHECK(prefillCostMs({20, 0, 0, LongPrefillMs}) == doctest::Approx(20));
  CHECK(prefillCostMs({20, 0, 10, LongPrefillMs}) >
        prefillCostMs({20, 0, 1, LongPrefillMs}));
}

} // namespace bronzepass::core::gateway
