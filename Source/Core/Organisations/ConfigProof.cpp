#include "Core/Organisations/ConfigProof.h"

#include <algorithm>

namespace bronzepass::core::organisations {

namespace {

/// Of the revocation time. The rest is for the way of a request to its
/// endpoint.
constexpr double MaxAgeShare = 0.8;

} // namespace

ConfigProof::ConfigProof(model::Duration RevocationTime) {
  if (RevocationTime > model::Duration::zero())
    m_MaxAge = std::chrono::duration_cast<model::Duration>(RevocationTime *
                                                           MaxAgeShare);
}

void ConfigProof::onConfirmed(model::TimePoint At) {
  m_ConfirmedAt = std::max(At, m_ConfirmedAt.value_or(At));
}

bool ConfigProof::holds(model::TimePoint Now) const {
  if (!m_MaxAge)
    return true;
  return m_ConfirmedAt && Now - *m_ConfirmedAt < *m_MaxAge;
}

std::optional<model::Duration> ConfigProof::age(model::TimePoint Now) const {
  if (!m_ConfirmedAt)
    return std::nullopt;
  return Now - *m_ConfirmedAt;
}

} // namespace bronzepass::core::organisations
