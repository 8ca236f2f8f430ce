#ifndef BRONZEPASS_CORE_GATEWAY_CRASHQUARANTINE_H
#define BRONZEPASS_CORE_GATEWAY_CRASHQUARANTINE_H

#include "Core/Gateway/QuarantineNotice.h"
#include "Core/Gateway/RelayTypes.h"
#include "Core/Model/Time.h"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace bronzepass::core::gateway {

/// What a request may have in common with others.
struct RequestTraits {
  /// nullopt if its content is not known.
  std::optional<uint64_t> m_Fingerprint;
  /// The parts of its prompt, but for those that are its own.
  std::vector<uint64_t> m_PromptParts;

  friend auto operator<=>(const RequestTraits &,
                          const RequestTraits &) = default;
};

/// Finds the traits of requests that crash the engines which answer them, so
/// that requests with such a trait can be refused. A trait is something that
/// several requests may have in common, as a 64-bit number: a prompt part, or
/// the fingerprint of a request that comes again.
///
/// A send that breaks off while its engine goes silent is reported against each
/// trait of its request. A trait is quarantined after MinEngines engines,
/// unless an engine is known to have survived an answer to it, by a chunk of
/// another answer or by renewals of its entry. Engines that fail together take
/// all their requests with them, sound ones too, so that one of the requests
/// must have been sent after an earlier crash with the trait.
///
/// Several traits may have come together in all requests that crashed engines,
/// so that any of them may be the cause: a prompt part that many requests
/// share, and one behind it. Only requests that have all of them are refused.
/// One that has some of them shows which ones are safe, or which one is not.
///
/// Nodes exchange reports, quarantines and safe traits with their notices, and
/// pass on what they received.
class CrashQuarantine {
public:
  /// The send of a request with \p Traits broke off without a complete answer.
  void onSendBroken(const RequestTraits &Traits, EndpointKey Engine,
                    model::TimePoint SentAt, model::TimePoint Now);
  /// The send was cancelled before its end. It counts as broken off if its
  /// engine is found to be gone soon after.
  void onSendCancelled(const RequestTraits &Traits, EndpointKey Engine,
                       model::TimePoint SentAt, model::TimePoint Now);
  /// The engine's address refuses connections.
  void onEngineRefused(EndpointKey Engine, model::TimePoint Now) {
    reportCancelled(Engine, Now);
  }
  void onAnswerCompleted(const RequestTraits &Traits, EndpointKey Engine,
                         model::TimePoint Now);
  /// A chunk of any answer was received from \p Engine.
  void onEngineAlive(EndpointKey Key, model::TimePoint Now);
  /// The engine has renewed its entry, \p Renewals times in all. The renewal
  /// may be older than what is known of the engine's answers.
  void onEntryRenewed(EndpointKey Key, uint64_t Renewals);
  void onNotice(const QuarantineNotice &Notice, model::TimePoint Now);
  /// Quarantines the traits with enough reports, and forgets old knowledge;
  /// called about every 20 ms.
  void tick(model::TimePoint Now);

  /// When the quarantine of one of \p Traits ends; nullopt if none is in
  /// quarantine.
  std::optional<model::TimePoint> quarantineEnd(const RequestTraits &Traits,
                                                model::TimePoint Now) const;
  /// False once as many engines have crashed as a quarantine takes, even if one
  /// of them may still prove to be alive.
  bool allowsRetry(std::optional<uint64_t> Fingerprint) const;
  QuarantineNotice notice(model::TimePoint Now) const;
  /// The changes since the last call.
  std::vector<QuarantineChange> takeChanges();
  size_t quarantinedCount() const { return m_Quarantined.size(); }

private:
  static constexpr model::Duration QuarantineTime = std::chrono::minutes(10);
  /// Several notices may be lost in this time.
  static constexpr model::Duration AnnounceTime = std::chrono::seconds(3);

  using Company = std::set<uint64_t>;

  struct Crash {
    model::TimePoint m_CrashedAt;
    model::TimePoint m_SentAt;
    model::TimePoint m_HeardAt;
    /// The other parts of the request's prompt.
    Company m_Company;
  };
  struct Quarantine {
    model::TimePoint m_End;
    /// Parts that have come with the trait in each crash.
    Company m_Company;
  };
  struct Suspect {
    std::map<EndpointKey, Crash> m_Crashes;
    /// A report has been added since the last look at them.
    bool m_IsPending = false;

    model::TimePoint lastHeardAt() const {
      model::TimePoint Last;
      for (const auto &Each : m_Crashes)
        Last = std::max(Last, Each.second.m_HeardAt);
      return Last;
    }
  };
  /// An answer after which its engine has not been heard from yet.
  struct UnprovenAnswer {
    model::TimePoint m_CompletedAt;
    std::vector<uint64_t> m_Traits;
    /// The first renewal that was heard of after it.
    std::optional<uint64_t> m_FirstRenewal;
  };
  struct CancelledSend {
    model::TimePoint m_CancelledAt;
    model::TimePoint m_SentAt;
    RequestTraits m_Traits;
  };
  struct Engine {
    std::deque<UnprovenAnswer> m_Unproven;
    std::deque<CancelledSend> m_Cancelled;
    model::TimePoint m_AliveAt;
  };

  bool isSafe(uint64_t Trait, model::TimePoint Now) const;
  void markSafe(uint64_t Trait, model::TimePoint At, bool FromPeer);
  bool isSuspected(uint64_t Trait) const {
    return m_Suspects.contains(Trait) || m_Quarantined.contains(Trait);
  }
  /// The engine has survived its oldest answer that is not proven.
  void proveOldest(Engine &Alive);
  void report(const RequestTraits &Traits, EndpointKey Engine,
              model::TimePoint SentAt, model::TimePoint Now);
  /// Reports the cancelled sends of an engine that is gone.
  void reportCancelled(EndpointKey Engine, model::TimePoint Now);
  /// Drops the suspect with the fewest reports, the oldest of these.
  void dropWeakestSuspect();
  void addCrash(uint64_t Trait, EndpointKey Engine, const Crash &Reported);
  /// Returns true once nothing is left to wait for.
  bool examine(uint64_t Trait, Suspect &Suspected, model::TimePoint Now);
  static bool crashesEngines(const Suspect &Suspected);
  /// Parts that are not known to be safe and have come with the trait in each
  /// crash.
  Company companyOf(const Suspect &Suspected, model::TimePoint Now) const;
  void quarantine(uint64_t Trait, const Quarantine &Added, uint32_t Engines,
                  bool FromPeer);
  void forgetOld(model::TimePoint Now);

  std::map<uint64_t, Suspect> m_Suspects;
  size_t m_PendingSuspects = 0;
  std::map<uint64_t, Quarantine> m_Quarantined;
  /// Times of the last answers that engines survived.
  std::unordered_map<uint64_t, model::TimePoint> m_Safe;
  /// Safe traits that other nodes suspect, and until when notices say so.
  std::map<uint64_t, model::TimePoint> m_SafeAnnouncements;
  std::unordered_map<EndpointKey, Engine> m_Engines;
  std::vector<QuarantineChange> m_Changes;
  model::TimePoint m_ForgotAt;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_CRASHQUARANTINE_H
