#ifndef BRONZEPASS_CORE_ORGANISATIONS_QUOTAGATE_H
#define BRONZEPASS_CORE_ORGANISATIONS_QUOTAGATE_H

#include "Core/Model/Time.h"
#include "Core/Organisations/OrganisationSpec.h"
#include "Core/Organisations/QuotaNotice.h"
#include "Core/Organisations/QuotaPlan.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bronzepass::core::organisations {

/// What was taken for one send.
struct QuotaTaken {
  uint64_t m_Organisation = 0;
  double m_Amount = 0;
  /// Until when it may be taken again if the send did not run.
  model::TimePoint m_ExpiresAt;

  friend auto operator<=>(const QuotaTaken &, const QuotaTaken &) = default;
};

/// Whether a send may go ahead.
struct QuotaDecision {
  enum class Result {
    Taken,
    /// The holder is being asked; ask again when it has answered.
    Waits,
    Refused,
  };

  Result m_Result = Result::Taken;
  /// If taken.
  QuotaTaken m_Taken;
  /// If refused: when the tokens should be there.
  model::Duration m_RetryAfter{0};

  friend auto operator<=>(const QuotaDecision &,
                          const QuotaDecision &) = default;
};

/// What this node has done and has of one organisation's quota.
struct QuotaUse {
  uint64_t m_Organisation = 0;
  /// Since this node started.
  double m_Spent = 0;
  double m_Granted = 0;
  uint64_t m_Refused = 0;
  /// Now, a second.
  double m_Standing = 0;

  friend auto operator<=>(const QuotaUse &, const QuotaUse &) = default;
};

/// Spends at one node what the holder lets it spend of organisations' quotas.
class QuotaGate {
public:
  explicit QuotaGate(const QuotaTiming &Timing, uint64_t Start = 0)
      : m_Timing(Timing), m_Start(Start) {}

  /// \p Start identifies this start of the node; call before anything is asked.
  void setStart(uint64_t Start) { m_Start = Start; }

  void setPlans(const QuotaPlans &Plans, model::TimePoint Now);
  bool isNeeded() const { return !m_States.empty(); }

  static double amountOf(const QuotaSpec &Quota, uint64_t Tokens);
  /// Takes what a request with \p Tokens counts. \p IsNew: the same request has
  /// not waited before.
  QuotaDecision tryTake(const OrganisationSpec &Organisation, uint64_t Tokens,
                        bool IsNew, model::TimePoint Now);
  /// The send certainly never ran.
  void giveBack(const QuotaTaken &Taken, model::TimePoint Now);

  /// Requests wait for what the holder has not been asked for.
  bool isUrgent() const { return m_IsUrgent; }
  /// What to ask the holder now; nullopt if it is not due.
  std::optional<QuotaNotice> takeAsk(model::TimePoint Now);
  /// Returns whether anything may have been granted that requests wait for.
  bool onAnswer(const QuotaNotice &Notice, model::TimePoint Now);
  /// A holder has told of itself. A new one is told the share of each
  /// organisation, also where there is none.
  void onHolder(uint64_t Holding);
  /// Whether the holder answers.
  bool isInTouch(model::TimePoint Now) const;

  std::vector<QuotaUse> use(model::TimePoint Now) const;

private:
  /// Tokens granted by one answer, or given back.
  struct Lot {
    double m_Amount = 0;
    model::TimePoint m_ExpiresAt;
  };
  struct State {
    QuotaPlan m_Plan;
    uint32_t m_Share = 0;
    /// That the holder wants it to have from the next asking on.
    uint32_t m_NextShare = 0;
    model::TimePoint m_ShareExpiresAt;
    int64_t m_HeardAt = 0;
    /// Of the standing rate, not spent yet.
    double m_Level = 0;
    model::TimePoint m_FilledAt;
    double m_GivenUp = 0;
    std::vector<Lot> m_Lots;
    double m_DemandPerSecond = 0;
    double m_MeanAmount = 0;
    model::TimePoint m_DemandAt;
    /// Of the requests that wait and that the holder has not been asked for.
    double m_Need = 0;
    double m_Least = 0;
    model::TimePoint m_AskedAt;
    bool m_IsAsked = false;
    /// The holder is not asked until then, since it said that it has nothing;
    /// and when it should have something.
    model::TimePoint m_EmptyUntil;
    model::TimePoint m_ThereAt;
    QuotaUse m_Use;
    /// Askings that the holder has still to answer before it knows the share.
    int m_ShareReportsLeft = ShareReportsNeeded;
  };
  /// The second one names the answer to the first.
  static constexpr int ShareReportsNeeded = 2;

  void fill(State &Value, model::TimePoint Now) const;
  void addDemand(State &Value, double Amount, model::TimePoint Now) const;
  static double inLots(const State &Value);
  QuotaAsk askOf(uint64_t Organisation, State &Value,
                 model::TimePoint Now) const;
  QuotaDecision refuse(State &Value, double Missing, model::TimePoint Now);

  const QuotaTiming m_Timing;
  uint64_t m_Start;
  /// Of the newest holder that this node has heard of; 0: none.
  uint64_t m_Holding = 0;
  std::unordered_map<uint64_t, State> m_States;
  /// Askings without an answer, oldest first.
  std::deque<int64_t> m_Asked;
  int64_t m_LastAskedAt = 0;
  model::TimePoint m_AskDueAt;
  model::TimePoint m_UrgentDueAt;
  bool m_IsUrgent = false;
  std::optional<model::TimePoint> m_SilentSince;
};

} // namespace bronzepass::core::organisations

#endif // BRONZEPASS_CORE_ORGANISATIONS_QUOTAGATE_H
