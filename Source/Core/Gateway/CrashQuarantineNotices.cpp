#include "Core/Gateway/CrashQuarantine.h"

#include <algorithm>
#include <compare>
#include <set>
#include <vector>

// What nodes tell each other of requests that crash engines.
namespace bronzepass::core::gateway {

namespace {

/// Entries of each kind in one notice: 30 to 40 bytes each,
/// and 9 for each part of a company.
constexpr size_t MaxAnnounced = 24;
/// Beyond this many, notices take turns with the entries of a kind.
constexpr model::Duration TurnPeriod = std::chrono::milliseconds(200);

/// In the order in which suspects are told.
struct RankedSuspect {
  size_t m_CrashCount = 0;
  model::TimePoint m_LastHeardAt;
  uint64_t m_Trait = 0;

  friend auto operator<=>(const RankedSuspect &,
                          const RankedSuspect &) = default;
};

std::vector<uint64_t> listOf(const std::set<uint64_t> &Parts) {
  return {Parts.begin(), Parts.end()};
}

std::set<uint64_t> setOf(const std::vector<uint64_t> &Parts) {
  return {Parts.begin(), Parts.end()};
}

} // namespace

void CrashQuarantine::onNotice(const QuarantineNotice &Notice,
                               model::TimePoint Now) {
  for (const SafeTrait &Each : Notice.m_Safe)
    markSafe(Each.m_Trait, Now - Each.m_Age, true);
  for (const CrashReport &Each : Notice.m_CrashReports) {
    if (isSafe(Each.m_Trait, Now))
      m_SafeAnnouncements[Each.m_Trait] = Now + AnnounceTime;
    else
      addCrash(Each.m_Trait, Each.m_Engine,
               {Now - Each.m_CrashAge, Now - Each.m_SendAge, Now,
                setOf(Each.m_Company)});
  }
  for (const QuarantinedTrait &Each : Notice.m_Quarantined) {
    if (isSafe(Each.m_Trait, Now))
      m_SafeAnnouncements[Each.m_Trait] = Now + AnnounceTime;
    else
      quarantine(Each.m_Trait,
                 {Now + std::min(Each.m_Remaining, QuarantineTime),
                  setOf(Each.m_Company)},
                 0, true);
  }
}

QuarantineNotice CrashQuarantine::notice(model::TimePoint Now) const {
  QuarantineNotice Notice;
  const size_t Turns = (m_Quarantined.size() + MaxAnnounced - 1) / MaxAnnounced;
  const size_t Turn =
      Turns < 2
          ? 0
          : static_cast<size_t>(Now.time_since_epoch() / TurnPeriod) % Turns;
  size_t Index = 0;
  for (const auto &Each : m_Quarantined)
    if (Index++ / MaxAnnounced == Turn && Now < Each.second.m_End)
      Notice.m_Quarantined.push_back(
          {Each.first, Each.second.m_End - Now, listOf(Each.second.m_Company)});
  for (const auto &Each : m_SafeAnnouncements) {
    const auto Known = m_Safe.find(Each.first);
    if (Notice.m_Safe.size() < MaxAnnounced && Now < Each.second &&
        Known != m_Safe.end())
      Notice.m_Safe.push_back({Each.first, Now - Known->second});
  }
  // Traits with the most reports first, since these are closest to a
  // quarantine, then the latest, so that each gets its turn.
  std::vector<RankedSuspect> Ranked;
  for (const auto &Each : m_Suspects) {
    const model::TimePoint LastHeardAt = Each.second.lastHeardAt();
    if (!m_Quarantined.contains(Each.first) && Now - LastHeardAt < AnnounceTime)
      Ranked.push_back({Each.second.m_Crashes.size(), LastHeardAt, Each.first});
  }
  std::sort(Ranked.rbegin(), Ranked.rend());
  for (const RankedSuspect &Suspected : Ranked) {
    for (const auto &Each : m_Suspects.at(Suspected.m_Trait).m_Crashes)
      if (Notice.m_CrashReports.size() < MaxAnnounced &&
          Now - Each.second.m_HeardAt < AnnounceTime)
        Notice.m_CrashReports.push_back(
            {Suspected.m_Trait, Each.first, Now - Each.second.m_CrashedAt,
             Now - Each.second.m_SentAt, listOf(Each.second.m_Company)});
  }
  return Notice;
}

} // namespace bronzepass::core::gateway
