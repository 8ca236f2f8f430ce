#include "Core/Organisations/AccessControl.h"

namespace bronzepass::core::organisations {

namespace {

using Outcome = AccessDecision::Outcome;

AccessDecision unproven(const OrganisationSpec *Organisation) {
  return {Outcome::Unproven, Organisation,
          "this node can't prove that its configuration is in force",
          UnprovenCause};
}

AccessDecision disagreed(const char *Reason) {
  return {Outcome::Disagreed, nullptr, Reason, "disagreed"};
}

} // namespace

AccessDecision AccessControl::decide(const OrganisationTable *Table,
                                     bool IsOpen, const Credential &Credential,
                                     model::TimePoint Now) const {
  if (!Table)
    return {};
  const bool HasKey = Credential.m_State == Credential::State::Present;
  if (IsOpen && !HasKey)
    return {};
  const OrganisationSpec *const Organisation =
      HasKey ? Table->findByKey(Credential.m_Digest) : nullptr;
  // A newer configuration may hold the key, or hold it no longer.
  if (!m_Proof.holds(Now))
    return unproven(Organisation);
  if (Organisation || IsOpen)
    return {Outcome::Allowed, Organisation};
  if (HasKey)
    return {Outcome::Refused, nullptr, "no organisation holds its key",
            "unknown_key"};
  if (Credential.m_State == Credential::State::Absent)
    return {Outcome::Refused, nullptr, "it has no key", "no_key"};
  return {Outcome::Refused, nullptr, "what it has for a key can't be one",
          "unreadable_key"};
}

AccessDecision
AccessControl::decideForwarded(const OrganisationTable *Table, bool IsOpen,
                               const std::optional<std::string> &Name,
                               bool IsSameConfig, model::TimePoint Now) const {
  if (!Table && !Name)
    return {};
  if (!Table || !Name || !IsSameConfig)
    return disagreed(
        "another configuration is in force at the node that forwarded it");
  if (Name->empty())
    return IsOpen ? AccessDecision{}
                  : disagreed("it is nobody's, on a route that is not open");
  const OrganisationSpec *const Organisation = Table->findByName(*Name);
  if (!Organisation)
    return disagreed("the organisation that it is said to be of is not known");
  if (!m_Proof.holds(Now))
    return unproven(Organisation);
  return {Outcome::Allowed, Organisation};
}

} // namespace bronzepass::core::organisations
