#ifndef BRONZEPASS_CORE_ORGANISATIONS_CONFIGPROOF_H
#define BRONZEPASS_CORE_ORGANISATIONS_CONFIGPROOF_H

#include "Core/Model/Time.h"

#include <optional>

namespace bronzepass::core::organisations {

/// Whether this node can prove that the configuration that it acts on still was
/// in force recently enough: a key that a newer one takes away must open
/// nothing after a bound, also at a node that the newer one can't reach.
class ConfigProof {
public:
  /// \p RevocationTime zero: no proof is needed.
  explicit ConfigProof(model::Duration RevocationTime);

  /// The configuration known to this node was the newest of the store at \p At
  /// or later. Earlier times than known are ignored.
  void onConfirmed(model::TimePoint At);
  bool isNeeded() const { return m_MaxAge.has_value(); }
  bool holds(model::TimePoint Now) const;
  /// Since the configuration was last known to be in force; nullopt if it never
  /// was.
  std::optional<model::Duration> age(model::TimePoint Now) const;

private:
  std::optional<model::Duration> m_MaxAge;
  std::optional<model::TimePoint> m_ConfirmedAt;
};

} // namespace bronzepass::core::organisations

#endif // BRONZEPASS_CORE_ORGANISATIONS_CONFIGPROOF_H
