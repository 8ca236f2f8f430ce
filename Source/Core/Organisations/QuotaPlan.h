#ifndef BRONZEPASS_CORE_ORGANISATIONS_QUOTAPLAN_H
#define BRONZEPASS_CORE_ORGANISATIONS_QUOTAPLAN_H

#include "Core/Model/Time.h"
#include "Core/Organisations/OrganisationSpec.h"

#include <compare>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace bronzepass::core::organisations {

/// How quotas are judged.
struct QuotaSettings {
  model::Duration m_Window = std::chrono::seconds(8);
  /// An organisation may exceed its quota in a window by this share, and by
  /// this besides.
  double m_Overage = 0;
  double m_Slack = 0;

  friend auto operator<=>(const QuotaSettings &,
                          const QuotaSettings &) = default;
};

/// How long what the holder gave may be spent. In sum these are the time by
/// which a token may be spent later than it came to be.
struct QuotaTiming {
  /// A granted token may be spent for so long after it was asked for.
  model::Duration m_GrantLifetime = std::chrono::milliseconds(300);
  /// A share lasts so long after it was asked for: longer than a change of
  /// holder takes.
  model::Duration m_ShareLifetime = std::chrono::seconds(15);
  /// Of its standing rate, a node keeps as much as comes in this time while the
  /// holder answers, and while it does not.
  model::Duration m_KeptInTouch = std::chrono::milliseconds(100);
  model::Duration m_KeptAlone = std::chrono::milliseconds(1500);
  /// What a node gave up is credited if the node was heard so lately.
  model::Duration m_MaxCreditAge = std::chrono::milliseconds(300);
  /// A node that got no answer for so long is out of touch.
  model::Duration m_SilenceLimit = std::chrono::milliseconds(500);
  /// Between two askings in calm.
  model::Duration m_AskPeriod = std::chrono::milliseconds(200);

  friend auto operator<=>(const QuotaTiming &, const QuotaTiming &) = default;
};

/// One organisation's quota, divided: a standing rate, of which each node has a
/// share, and a bucket of the holder, of which nodes ask. Chosen such that the
/// quota is kept in any window, whatever happens between nodes.
struct QuotaPlan {
  double m_StandingPerSecond = 0;
  double m_BucketPerSecond = 0;
  double m_BucketSize = 0;
  /// Nodes out of touch keep this of the standing rate, in sum, besides what
  /// comes in QuotaTiming::m_KeptAlone.
  double m_KeptBesides = 0;

  friend auto operator<=>(const QuotaPlan &, const QuotaPlan &) = default;
};

/// The most that may be spent in a window.
double quotaLimit(const QuotaSpec &Quota, const QuotaSettings &Settings);

QuotaPlan planOf(const QuotaSpec &Quota, const QuotaSettings &Settings,
                 const QuotaTiming &Timing);

uint64_t quotaKeyOf(const OrganisationSpec &Organisation);

using QuotaPlans = std::unordered_map<uint64_t, QuotaPlan>;

/// Of those that have a quota.
QuotaPlans plansOf(const std::vector<OrganisationSpec> &Organisations,
                   const QuotaSettings &Settings, const QuotaTiming &Timing);

} // namespace bronzepass::core::organisations

#endif // BRONZEPASS_CORE_ORGANISATIONS_QUOTAPLAN_H
