#include "Core/Gateway/RelayCore.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::gateway {

namespace {

constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;
constexpr model::Duration MinQuotaRetryAfter = std::chrono::milliseconds(100);
constexpr const char *QuotaReason =
    "the organisation's quota is spent, or too little of it is at this node";

} // namespace

organisations::QuotaPlans RelayCore::quotaPlans() const {
  const organisations::OrganisationTable *const Table =
      m_Table ? m_Table->organisations() : nullptr;
  return Table ? organisations::plansOf(Table->all(), m_Settings.m_Quotas,
                                        m_Settings.m_QuotaTiming)
               : organisations::QuotaPlans();
}

bool RelayCore::takeQuota(ActiveRequest &Active, RelayEffectList &Out) {
  using Result = organisations::QuotaDecision::Result;
  // A stream that goes on was paid for when it began.
  if (!Active.m_Organisation || !m_Quotas.isNeeded() || hasBegun(Active))
    return true;
  const bool IsNew = !Active.m_QuotaWaitEnd;
  const organisations::QuotaDecision Decision =
      m_Quotas.tryTake(*Active.m_Organisation,
                       uint64_t{Active.m_Request.m_PromptTokens} +
                           Active.m_Request.m_OutputTokens,
                       IsNew, m_Now);
  if (Decision.m_Result == Result::Taken) {
    Active.m_QuotaWaitEnd.reset();
    m_QuotaWaiting.erase(Active.m_Request.m_Number);
    Active.m_QuotaTaken = Decision.m_Taken;
    return true;
  }
  if (Decision.m_Result == Result::Waits) {
    Out.push_back(AskQuotas());
    if (IsNew)
      Active.m_QuotaWaitEnd =
          std::min(m_Now + m_Settings.m_MaxQuotaWait, Active.m_Deadline);
    if (m_Now < *Active.m_QuotaWaitEnd) {
      m_QuotaWaiting.insert(Active.m_Request.m_Number);
      return false;
    }
  }
  if (Active.m_PossibleRuns > 0)
    finishUnsuccessful(
        Active, {SendResult::Broken, 0, false, Active.m_LastFailure}, Out);
  else
    // The node that forwarded it takes no other status for a refusal.
    reject(Active,
           Active.m_Request.m_Forwarded ? ServiceUnavailable : TooManyRequests,
           jittered(std::max(MinQuotaRetryAfter, Decision.m_RetryAfter)),
           QuotaReason, Out);
  return false;
}

void RelayCore::giveQuotaBack(ActiveRequest &Active,
                              const SendOutcome &Outcome) {
  const organisations::QuotaTaken Taken =
      std::exchange(Active.m_QuotaTaken, organisations::QuotaTaken());
  if (Outcome.m_Result == SendResult::NotSent ||
      Outcome.m_Result == SendResult::NotRun ||
      Outcome.m_Result == SendResult::Misdirected ||
      Outcome.m_Result == SendResult::Declined)
    m_Quotas.giveBack(Taken, m_Now);
}

void RelayCore::onQuotaAnswer(const organisations::QuotaNotice &Notice,
                              model::TimePoint Now, RelayEffectList &Out) {
  m_Now = Now;
  if (m_Quotas.onAnswer(Notice, Now))
    dispatchQuotaWaiting(Out);
}

void RelayCore::dispatchQuotaWaiting(RelayEffectList &Out) {
  const std::set<model::RequestId> Waiting = std::exchange(m_QuotaWaiting, {});
  for (const model::RequestId &Number : Waiting) {
    dispatch(m_ActiveRequests.at(Number), Out);
    // It may wait for something else now.
    const auto Found = m_ActiveRequests.find(Number);
    if (Found != m_ActiveRequests.end() && !m_QuotaWaiting.contains(Number))
      Found->second.m_QuotaWaitEnd.reset();
  }
}

} // namespace bronzepass::core::gateway
