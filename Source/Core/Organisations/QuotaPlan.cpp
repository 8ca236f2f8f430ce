#include "Core/Organisations/QuotaPlan.h"

#include "Core/Model/Hash.h"

#include <algorithm>

namespace bronzepass::core::organisations {

namespace {

/// Of the rate. The rest is granted on request: all that a new holder has until
/// it knows what nodes have.
constexpr double StandingPart = 0.5;
/// Of the slack, for nodes out of touch.
constexpr double KeptPartOfSlack = 0.4;
/// Of the burst, below which the rate is lowered rather than the bucket.
constexpr double MinBucketPartOfBurst = 0.25;
/// For what is rounded to whole tokens.
constexpr double RoundingShare = 0.99;

double seconds(model::Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

double quotaLimit(const QuotaSpec &Quota, const QuotaSettings &Settings) {
  return (Quota.m_PerSecond * seconds(Settings.m_Window) + Quota.m_Burst) *
             (1 + Settings.m_Overage) +
         Settings.m_Slack;
}

QuotaPlan planOf(const QuotaSpec &Quota, const QuotaSettings &Settings,
                 const QuotaTiming &Timing) {
  QuotaPlan Plan;
  const double Limit = RoundingShare * quotaLimit(Quota, Settings);
  Plan.m_KeptBesides = KeptPartOfSlack * Settings.m_Slack;
  // What came to be before a window and may be spent in it: grants in force,
  // what was taken for a send that did not run and is taken again, what nodes
  // keep of their shares, and what they gave up and is credited.
  const double LateSeconds =
      seconds(Timing.m_GrantLifetime) +
      StandingPart * seconds(Timing.m_GrantLifetime + Timing.m_KeptAlone +
                             2 * Timing.m_MaxCreditAge);
  const double Seconds = seconds(Settings.m_Window) + LateSeconds;
  const double Left = Limit - Plan.m_KeptBesides;
  Plan.m_BucketSize = std::max(Left - Quota.m_PerSecond * Seconds,
                               MinBucketPartOfBurst * Quota.m_Burst);
  const double Rate = std::max(
      0.0, std::min(Quota.m_PerSecond, (Left - Plan.m_BucketSize) / Seconds));
  Plan.m_StandingPerSecond = StandingPart * Rate;
  Plan.m_BucketPerSecond = Rate - Plan.m_StandingPerSecond;
  return Plan;
}

uint64_t quotaKeyOf(const OrganisationSpec &Organisation) {
  return model::stableHash(Organisation.m_Name);
}

QuotaPlans plansOf(const std::vector<OrganisationSpec> &Organisations,
                   const QuotaSettings &Settings, const QuotaTiming &Timing) {
  QuotaPlans Plans;
  for (const OrganisationSpec &Each : Organisations)
    if (Each.m_Quota)
      Plans[quotaKeyOf(Each)] = planOf(*Each.m_Quota, Settings, Timing);
  return Plans;
}

} // namespace bronzepass::core::organisations
