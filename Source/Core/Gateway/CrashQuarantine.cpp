#include "Core/Gateway/CrashQuarantine.h"

#include <algorithm>
#include <compare>
#include <utility>

namespace bronzepass::core::gateway {

namespace {

/// Engines that have to fail before a trait is quarantined.
constexpr size_t MinEngines = 3;
/// Requests, each sent after the crash of the one before.
constexpr size_t MinSuccessiveCrashes = 2;
/// Bytes that an engine sent before it crashed may be read this long after the
/// end of its first connection.
constexpr model::Duration SettleTime = std::chrono::milliseconds(300);
/// Renewals that an engine made before it crashed may arrive after its answer.
constexpr uint64_t MinRenewals = 2;
/// Longer than a quarantine, so that one more crash after its end renews it.
constexpr model::Duration CrashRetention = std::chrono::minutes(20);
constexpr model::Duration SafeRetention = std::chrono::minutes(1);
/// Saves work on traits that many answers prove safe.
constexpr model::Duration SafeRefreshTime = std::chrono::seconds(5);
constexpr model::Duration EngineRetention = std::chrono::minutes(2);
constexpr model::Duration ForgetPeriod = std::chrono::seconds(1);
constexpr size_t MaxSuspects = 4096;
constexpr size_t MaxQuarantined = 1024;
constexpr size_t MaxSafe = 16384;
constexpr size_t MaxUnprovenPerEngine = 64;
constexpr size_t MaxCancelledPerEngine = 64;
/// The entry of an engine that crashed is in the store for about as long, and
/// so is sent to.
constexpr model::Duration CancelledRetention = std::chrono::seconds(3);

void keepCommon(std::set<uint64_t> &Parts, const std::set<uint64_t> &Others) {
  std::erase_if(Parts, [&](uint64_t Part) { return !Others.contains(Part); });
}

} // namespace

void CrashQuarantine::report(const RequestTraits &Traits, EndpointKey Engine,
                             model::TimePoint SentAt, model::TimePoint Now) {
  if (Traits.m_Fingerprint && !isSafe(*Traits.m_Fingerprint, Now))
    addCrash(*Traits.m_Fingerprint, Engine, {Now, SentAt, Now, {}});
  const Company All(Traits.m_PromptParts.begin(), Traits.m_PromptParts.end());
  for (const uint64_t Part : All) {
    if (isSafe(Part, Now))
      continue;
    Company Others = All;
    Others.erase(Part);
    addCrash(Part, Engine, {Now, SentAt, Now, std::move(Others)});
  }
}

void CrashQuarantine::onSendBroken(const RequestTraits &Traits,
                                   EndpointKey Engine, model::TimePoint SentAt,
                                   model::TimePoint Now) {
  report(Traits, Engine, SentAt, Now);
  reportCancelled(Engine, Now);
}

void CrashQuarantine::onSendCancelled(const RequestTraits &Traits,
                                      EndpointKey Engine,
                                      model::TimePoint SentAt,
                                      model::TimePoint Now) {
  std::deque<CancelledSend> &Cancelled = m_Engines[Engine].m_Cancelled;
  Cancelled.push_back({Now, SentAt, Traits});
  if (Cancelled.size() > MaxCancelledPerEngine)
    Cancelled.pop_front();
}

void CrashQuarantine::reportCancelled(EndpointKey Engine,
                                      model::TimePoint Now) {
  const auto Found = m_Engines.find(Engine);
  if (Found == m_Engines.end())
    return;
  const std::deque<CancelledSend> Cancelled =
      std::exchange(Found->second.m_Cancelled, {});
  for (const CancelledSend &Each : Cancelled)
    if (Now - Each.m_CancelledAt < CancelledRetention)
      report(Each.m_Traits, Engine, Each.m_SentAt, Now);
}

void CrashQuarantine::onAnswerCompleted(const RequestTraits &Traits,
                                        EndpointKey Engine,
                                        model::TimePoint Now) {
  std::vector<uint64_t> News;
  for (const uint64_t Trait : Traits.m_PromptParts) {
    const auto Known = m_Safe.find(Trait);
    if (Known == m_Safe.end() || Now - Known->second >= SafeRefreshTime)
      News.push_back(Trait);
  }
  // Most fingerprints are seen once, so that only those in doubt are kept.
  if (Traits.m_Fingerprint && isSuspected(*Traits.m_Fingerprint))
    News.push_back(*Traits.m_Fingerprint);
  if (News.empty())
    return;
  std::deque<UnprovenAnswer> &Unproven = m_Engines[Engine].m_Unproven;
  Unproven.push_back({Now, std::move(News), std::nullopt});
  if (Unproven.size() > MaxUnprovenPerEngine)
    Unproven.pop_front();
}

void CrashQuarantine::onEngineAlive(EndpointKey Key, model::TimePoint Now) {
  Engine &Alive = m_Engines[Key];
  Alive.m_AliveAt = Now;
  while (!Alive.m_Cancelled.empty() &&
         Alive.m_Cancelled.front().m_CancelledAt + SettleTime <= Now)
    Alive.m_Cancelled.pop_front();
  while (!Alive.m_Unproven.empty() &&
         Alive.m_Unproven.front().m_CompletedAt + SettleTime <= Now)
    proveOldest(Alive);
}

void CrashQuarantine::onEntryRenewed(EndpointKey Key, uint64_t Renewals) {
  const auto Found = m_Engines.find(Key);
  if (Found == m_Engines.end())
    return;
  Engine &Alive = Found->second;
  for (UnprovenAnswer &Each : Alive.m_Unproven)
    Each.m_FirstRenewal = Each.m_FirstRenewal.value_or(Renewals);
  while (!Alive.m_Unproven.empty() &&
         *Alive.m_Unproven.front().m_FirstRenewal + MinRenewals <= Renewals)
    proveOldest(Alive);
}

void CrashQuarantine::proveOldest(Engine &Alive) {
  const UnprovenAnswer Proven = std::move(Alive.m_Unproven.front());
  Alive.m_Unproven.pop_front();
  for (const uint64_t Trait : Proven.m_Traits)
    markSafe(Trait, Proven.m_CompletedAt, false);
}

bool CrashQuarantine::isSafe(uint64_t Trait, model::TimePoint Now) const {
  const auto Known = m_Safe.find(Trait);
  return Known != m_Safe.end() && Now - Known->second < SafeRetention;
}

void CrashQuarantine::markSafe(uint64_t Trait, model::TimePoint At,
                               bool FromPeer) {
  if (m_Safe.size() >= MaxSafe && !m_Safe.contains(Trait))
    return;
  model::TimePoint &Known = m_Safe[Trait];
  Known = std::max(Known, At);
  const auto Suspected = m_Suspects.find(Trait);
  if (Suspected != m_Suspects.end()) {
    m_PendingSuspects -= Suspected->second.m_IsPending ? 1 : 0;
    m_Suspects.erase(Suspected);
    // The other nodes have its reports, too.
    if (!FromPeer)
      m_SafeAnnouncements[Trait] = At + AnnounceTime;
  }
  for (auto &Each : m_Quarantined)
    Each.second.m_Company.erase(Trait);
  if (m_Quarantined.erase(Trait) > 0) {
    m_SafeAnnouncements[Trait] = At + AnnounceTime;
    m_Changes.push_back({Trait, false, 0, FromPeer});
  }
}

void CrashQuarantine::addCrash(uint64_t Trait, EndpointKey Engine,
                               const Crash &Reported) {
  if (m_Suspects.size() >= MaxSuspects && !m_Suspects.contains(Trait))
    dropWeakestSuspect();
  Suspect &Suspected = m_Suspects[Trait];
  const auto [Known, IsNew] = Suspected.m_Crashes.emplace(Engine, Reported);
  if (!IsNew) {
    const size_t Before = Known->second.m_Company.size();
    keepCommon(Known->second.m_Company, Reported.m_Company);
    if (Known->second.m_Company.size() == Before)
      return;
  }
  m_PendingSuspects += Suspected.m_IsPending ? 0 : 1;
  Suspected.m_IsPending = true;
}

void CrashQuarantine::dropWeakestSuspect() {
  const auto Weakest = std::min_element(
      m_Suspects.begin(), m_Suspects.end(),
      [](const auto &Left, const auto &Right) {
        const size_t LeftCount = Left.second.m_Crashes.size();
        const size_t RightCount = Right.second.m_Crashes.size();
        return LeftCount != RightCount
                   ? LeftCount < RightCount
                   : Left.second.lastHeardAt() < Right.second.lastHeardAt();
      });
  m_PendingSuspects -= Weakest->second.m_IsPending ? 1 : 0;
  m_Suspects.erase(Weakest);
}

bool CrashQuarantine::allowsRetry(std::optional<uint64_t> Fingerprint) const {
  const auto Found =
      Fingerprint ? m_Suspects.find(*Fingerprint) : m_Suspects.end();
  return Found == m_Suspects.end() ||
         Found->second.m_Crashes.size() < MinEngines;
}

bool CrashQuarantine::crashesEngines(const Suspect &Suspected) {
  if (Suspected.m_Crashes.size() < MinEngines)
    return false;
  std::vector<Crash> InOrder;
  for (const auto &Each : Suspected.m_Crashes)
    InOrder.push_back(Each.second);
  std::sort(InOrder.begin(), InOrder.end(),
            [](const Crash &Left, const Crash &Right) {
              return Left.m_CrashedAt < Right.m_CrashedAt;
            });
  size_t Successive = 0;
  model::TimePoint LastCrash;
  for (const Crash &Each : InOrder) {
    if (Successive > 0 && Each.m_SentAt < LastCrash)
      continue;
    ++Successive;
    LastCrash = Each.m_CrashedAt;
  }
  return Successive >= MinSuccessiveCrashes;
}

bool CrashQuarantine::examine(uint64_t Trait, Suspect &Suspected,
                              model::TimePoint Now) {
  // An engine that has been heard from since did not crash.
  std::erase_if(Suspected.m_Crashes, [&](const auto &Each) {
    const auto Known = m_Engines.find(Each.first);
    return Known != m_Engines.end() &&
           Known->second.m_AliveAt >= Each.second.m_CrashedAt + SettleTime;
  });
  const bool IsSettled =
      std::all_of(Suspected.m_Crashes.begin(), Suspected.m_Crashes.end(),
                  [&](const auto &Each) {
                    return Each.second.m_CrashedAt + SettleTime <= Now;
                  });
  if (!IsSettled)
    return false;
  if (crashesEngines(Suspected))
    quarantine(Trait, {Now + QuarantineTime, companyOf(Suspected, Now)},
               static_cast<uint32_t>(Suspected.m_Crashes.size()), false);
  return true;
}

CrashQuarantine::Company
CrashQuarantine::companyOf(const Suspect &Suspected,
                           model::TimePoint Now) const {
  Company Common = Suspected.m_Crashes.begin()->second.m_Company;
  for (const auto &Each : Suspected.m_Crashes)
    keepCommon(Common, Each.second.m_Company);
  std::erase_if(Common, [&](uint64_t Part) { return isSafe(Part, Now); });
  return Common;
}

void CrashQuarantine::quarantine(uint64_t Trait, const Quarantine &Added,
                                 uint32_t Engines, bool FromPeer) {
  const auto Known = m_Quarantined.find(Trait);
  if (Known != m_Quarantined.end())
    keepCommon(Known->second.m_Company, Added.m_Company);
  else if (m_Quarantined.size() < MaxQuarantined &&
           m_Quarantined.emplace(Trait, Added).second)
    m_Changes.push_back({Trait, true, Engines, FromPeer});
}

void CrashQuarantine::tick(model::TimePoint Now) {
  if (m_PendingSuspects > 0) {
    for (auto &Each : m_Suspects) {
      if (!Each.second.m_IsPending || !examine(Each.first, Each.second, Now))
        continue;
      Each.second.m_IsPending = false;
      --m_PendingSuspects;
    }
  }
  if (Now - m_ForgotAt >= ForgetPeriod) {
    m_ForgotAt = Now;
    forgetOld(Now);
  }
}

void CrashQuarantine::forgetOld(model::TimePoint Now) {
  std::erase_if(m_Suspects, [&](const auto &Each) {
    const bool IsOld = std::all_of(
        Each.second.m_Crashes.begin(), Each.second.m_Crashes.end(),
        [&](const auto &Reported) {
          return Now - Reported.second.m_CrashedAt >= CrashRetention;
        });
    return IsOld && !Each.second.m_IsPending;
  });
  for (auto Each = m_Quarantined.begin(); Each != m_Quarantined.end();) {
    if (Now < Each->second.m_End) {
      ++Each;
      continue;
    }
    m_Changes.push_back({Each->first, false, 0, false});
    Each = m_Quarantined.erase(Each);
  }
  std::erase_if(m_Safe, [&](const auto &Each) {
    return Now - Each.second >= SafeRetention;
  });
  std::erase_if(m_SafeAnnouncements,
                [&](const auto &Each) { return Now >= Each.second; });
  std::erase_if(m_Engines, [&](const auto &Each) {
    const Engine &Known = Each.second;
    model::TimePoint LastUse = Known.m_AliveAt;
    if (!Known.m_Unproven.empty())
      LastUse = std::max(LastUse, Known.m_Unproven.back().m_CompletedAt);
    if (!Known.m_Cancelled.empty())
      LastUse = std::max(LastUse, Known.m_Cancelled.back().m_CancelledAt);
    return Now - LastUse >= EngineRetention;
  });
}

std::optional<model::TimePoint>
CrashQuarantine::quarantineEnd(const RequestTraits &Traits,
                               model::TimePoint Now) const {
  if (m_Quarantined.empty())
    return std::nullopt;
  std::optional<model::TimePoint> End;
  const auto Consider = [&](uint64_t Trait) {
    const auto Found = m_Quarantined.find(Trait);
    if (Found == m_Quarantined.end() || Now >= Found->second.m_End)
      return;
    const Company &Others = Found->second.m_Company;
    const bool HasAll =
        std::all_of(Others.begin(), Others.end(), [&](uint64_t Part) {
          return std::find(Traits.m_PromptParts.begin(),
                           Traits.m_PromptParts.end(),
                           Part) != Traits.m_PromptParts.end();
        });
    if (HasAll)
      End = std::max(End.value_or(Found->second.m_End), Found->second.m_End);
  };
  if (Traits.m_Fingerprint)
    Consider(*Traits.m_Fingerprint);
  std::for_each(Traits.m_PromptParts.begin(), Traits.m_PromptParts.end(),
                Consider);
  return End;
}

std::vector<QuarantineChange> CrashQuarantine::takeChanges() {
  return std::exchange(m_Changes, {});
}

} // namespace bronzepass::core::gateway
