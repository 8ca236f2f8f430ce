#ifndef BRONZEPASS_CORE_ORGANISATIONS_ACCESSCONTROL_H
#define BRONZEPASS_CORE_ORGANISATIONS_ACCESSCONTROL_H

#include "Core/Organisations/ConfigProof.h"
#include "Core/Organisations/OrganisationTable.h"

#include <optional>
#include <string>

namespace bronzepass::core::organisations {

/// AccessDecision::m_Cause of what a node refuses for want of a proof.
inline constexpr const char *UnprovenCause = "unproven";

struct AccessDecision {
  enum class Outcome {
    Allowed,
    /// The configuration allows it nobody who asks like this.
    Refused,
    /// This node can't prove that its configuration is in force.
    Unproven,
    /// Another node read it by another configuration.
    Disagreed,
  };

  Outcome m_Outcome = Outcome::Allowed;
  /// Whose request it is; null if it is nobody's. Also set if it is Unproven.
  const OrganisationSpec *m_Organisation = nullptr;
  /// For logs; empty if allowed.
  const char *m_Reason = "";
  /// The same as one word for metrics: "no_key", "unknown_key",
  /// "unreadable_key", "unproven", "disagreed".
  const char *m_Cause = "";

  friend auto operator<=>(const AccessDecision &,
                          const AccessDecision &) = default;
};

/// Decides whose a request is and whether it may be sent, by the newest
/// configuration that this node has.
class AccessControl {
public:
  /// \p RevocationTime zero: no proof of the configuration is needed.
  explicit AccessControl(model::Duration RevocationTime)
      : m_Proof(RevocationTime) {}

  void onConfirmed(model::TimePoint At) { m_Proof.onConfirmed(At); }
  const ConfigProof &proof() const { return m_Proof; }

  /// For a request that its caller sent to this node. \p Table is null where
  /// callers need no keys; \p IsOpen: its route needs none.
  AccessDecision decide(const OrganisationTable *Table, bool IsOpen,
                        const Credential &Credential,
                        model::TimePoint Now) const;
  /// For a request that another node forwarded, with what that one told of
  /// whose it is: empty if it is nobody's, nullopt where callers need no keys.
  /// \p IsSameConfig: that node read it by the configuration of \p Table.
  AccessDecision decideForwarded(const OrganisationTable *Table, bool IsOpen,
                                 const std::optional<std::string> &Name,
                                 bool IsSameConfig, model::TimePoint Now) const;

private:
  ConfigProof m_Proof;
};

} // namespace bronzepass::core::organisations

#endif // BRONZEPASS_CORE_ORGANISATIONS_ACCESSCONTROL_H
