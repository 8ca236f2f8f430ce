#include "QuotaFleet.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests {

namespace model = core::model;
namespace organisations = core::organisations;
using namespace std::chrono_literals;

namespace {

constexpr double SmallRate = 4200;
constexpr double LargeRate = 60000;

std::vector<organisations::OrganisationSpec> twoOrganisations() {
  using Quota = organisations::QuotaSpec;
  return {
      {"small", {}, {}, Quota{Quota::Unit::Tokens, SmallRate, SmallRate, 200}},
      {"large", {}, {}, Quota{Quota::Unit::Tokens, LargeRate, LargeRate, 200}}};
}

double limitOf(double PerSecond, double Burst,
               const organisations::QuotaSettings &Settings) {
  return organisations::quotaLimit(
      {organisations::QuotaSpec::Unit::Tokens, PerSecond, Burst, 0}, Settings);
}

/// One drawn day of \p Length with all kinds of disruptions. Returns by how
/// much of the bound the bound was exceeded at most; 0 or less: it was kept.
double excessOfDrawnDay(uint64_t Seed, QuotaFault Fault, model::Duration Length,
                        const organisations::QuotaSettings &Settings) {
  constexpr model::Duration Step = 20ms;
  std::mt19937_64 Draw(Seed * 7919 + 1);
  const auto Chance = [&Draw](double Share) {
    return std::uniform_real_distribution<double>()(Draw) < Share;
  };
  // Shorter than in use, so that shares change hands often.
  organisations::QuotaTiming Timing;
  Timing.m_ShareLifetime = 4s;
  QuotaFleet Fleet(3 + Draw() % 4, twoOrganisations(), Settings, Seed, Fault,
                   Timing);
  Fleet.changeHolder(0);
  Fleet.setGiveBack(0.05);
  // From days with hardly a disruption to days with one after the other.
  const double Intensities[] = {0.05, 0.2, 0.5, 1};
  const double Intensity = Intensities[Draw() % 4];
  const double HealShare = Chance(0.5) ? 0.03 : 0.002;
  if (Chance(0.5))
    Fleet.setLoss(0.2);
  if (Chance(0.5))
    Fleet.setDoubling(0.3);
  if (Chance(0.5))
    Fleet.setMaxDelay(Chance(0.5) ? 100ms : 3s);
  double InForce[] = {SmallRate, LargeRate};
  model::TimePoint ChangedAt[] = {Fleet.now(), Fleet.now()};
  const double Rates[] = {SmallRate, LargeRate};
  size_t Hot = 0;
  for (model::Duration At{0}; At < Length; At += Step) {
    const size_t One = Draw() % Fleet.nodeCount();
    const size_t Other = Draw() % Fleet.nodeCount();
    if (Chance(0.02 * Intensity)) {
      Fleet.cut(One, Other, true);
      if (Chance(0.5))
        Fleet.cut(Other, One, true);
    }
    if (Chance(HealShare)) {
      Fleet.cut(One, Other, false);
      Fleet.cut(Other, One, false);
    }
    if (Chance(0.004 * Intensity))
      Fleet.freeze(One, std::chrono::milliseconds(50 + Draw() % 6000));
    if (Chance(0.004 * Intensity))
      Fleet.restart(One);
    if (Chance(0.006 * Intensity))
      Fleet.changeHolder(Other);
    if (Chance(0.05))
      Hot = One;
    if (Chance(0.002 * Intensity)) {
      const size_t Which = Draw() % 2;
      const double Rate = Rates[Which] * (Chance(0.5) ? 1.0 : 0.5);
      Fleet.setQuota(Which, Rate);
      if (Rate != InForce[Which])
        ChangedAt[Which] = Fleet.now();
      InForce[Which] = Rate;
    }
    // Several times the limit, all at one node, or all over.
    if (Chance(0.85))
      for (size_t Which = 0; Which < 2; ++Which)
        for (size_t I = 0; I < 5; ++I)
          Fleet.request(Chance(0.5) ? Hot : Draw() % Fleet.nodeCount(), Which,
                        static_cast<uint64_t>(
                            Rates[Which] * (0.002 + 0.0001 * (Draw() % 400))));
    Fleet.advance(Step);
  }
  double Excess = -1;
  for (size_t Which = 0; Which < 2; ++Which) {
    const double Highest = limitOf(Rates[Which], Rates[Which], Settings);
    Excess = std::max(Excess, Fleet.mostInWindow(Which) / Highest - 1);
    // A limit in force binds the windows that begin after it; what was granted
    // before ends with its lifetime.
    const double Last = limitOf(InForce[Which], Rates[Which], Settings);
    const model::TimePoint Since = ChangedAt[Which] + Timing.m_GrantLifetime;
    Excess = std::max(Excess, Fleet.mostInWindow(Which, Since) / Last - 1);
  }
  return Excess;
}

} // namespace

TEST_CASE("quotas are kept over 10,000 drawn days of disruptions") {
  const organisations::QuotaSettings Settings{8s, 0.1, 2000};
  double Worst = -1;
  for (uint64_t Seed = 1; Seed <= 10000; ++Seed) {
    const double Excess =
        excessOfDrawnDay(Seed, QuotaFault::None, 20s, Settings);
    Worst = std::max(Worst, Excess);
    CAPTURE(Seed);
    REQUIRE(Excess <= 0);
  }
  MESSAGE("the most in a window was " << 1 + Worst << " of the bound");
}

TEST_CASE("planted faults of quotas are found within 300 drawn days") {
  const organisations::QuotaSettings Settings{8s, 0.1, 2000};
  for (const QuotaFault Fault :
       {QuotaFault::HolderStartsFull, QuotaFault::CreditWithoutWord,
        QuotaFault::SharesNeverExpire, QuotaFault::HolderNeverStops}) {
    uint64_t FoundAt = 0;
    double Worst = -1;
    for (uint64_t Seed = 1; Seed <= 300 && FoundAt == 0; ++Seed) {
      const double Excess = excessOfDrawnDay(Seed, Fault, 40s, Settings);
      Worst = std::max(Worst, Excess);
      if (Excess > 0)
        FoundAt = Seed;
    }
    CAPTURE(static_cast<int>(Fault));
    CAPTURE(Worst);
    CHECK(FoundAt > 0);
    MESSAGE("fault " << static_cast<int>(Fault) << " found at day " << FoundAt);
  }
}

} // namespace bronzepass::unit_tests
