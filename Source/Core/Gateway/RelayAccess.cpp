#include "Core/Gateway/RelayCore.h"

namespace bronzepass::core::gateway {

namespace {

constexpr int Unauthorised = 401;
constexpr int NotFound = 404;
constexpr int BadGateway = 502;
constexpr int ServiceUnavailable = 503;
/// A store that is back, or a watcher that is replaced, proves the
/// configuration within about this time.
constexpr model::Duration UnprovenRetryAfter = std::chrono::milliseconds(500);

} // namespace

using Outcome = organisations::AccessDecision::Outcome;

uint32_t RelayCore::priorityOf(const ActiveRequest &Active) {
  const uint32_t OfRoute = Active.m_Route->m_Priority;
  return Active.m_Organisation
             ? Active.m_Organisation->m_Priority.value_or(OfRoute)
             : OfRoute;
}

std::optional<std::string>
RelayCore::organisationToTell(const ActiveRequest &Active) {
  const RouteTable *const Table = Active.m_OrganisationTable.get();
  if (!Table || !Table->organisations())
    return std::nullopt;
  return Active.m_Organisation ? Active.m_Organisation->m_Name : std::string();
}

organisations::AccessDecision
RelayCore::decideAccess(const ActiveRequest &Active) const {
  const RelayRequest &Request = Active.m_Request;
  const RouteSpec *const Newest =
      Active.m_Table == m_Table ? Active.m_Route
                                : m_Table->find(Request.m_Host, Request.m_Path);
  // A request goes on after its route is gone, but no longer as an open one.
  const bool IsOpen = Newest && Newest->m_IsOpen;
  if (const std::optional<ForwardingTerms> &Terms = Request.m_Forwarded)
    return m_Access.decideForwarded(
        m_Table->organisations(), IsOpen, Terms->m_Organisation,
        Terms->m_ConfigVersion == m_Table->config().m_Version, m_Now);
  return m_Access.decide(m_Table->organisations(), IsOpen, Request.m_Credential,
                         m_Now);
}

void RelayCore::rejectUnrouted(ActiveRequest &Active, RelayEffectList &Out) {
  if (m_Access.proof().holds(m_Now)) {
    reject(Active, NotFound, std::nullopt, "no route", Out);
    return;
  }
  // A newer configuration may have the route, and another node may know it.
  Active.m_RefusalCause = organisations::UnprovenCause;
  reject(Active, ServiceUnavailable,
         Active.m_Request.m_Forwarded
             ? std::nullopt
             : std::optional(jittered(UnprovenRetryAfter)),
         "no route, and this node can't prove that its configuration is in "
         "force",
         Out);
}

bool RelayCore::rejectUnauthorised(ActiveRequest &Active,
                                   RelayEffectList &Out) {
  const organisations::AccessDecision Decision = decideAccess(Active);
  if (Active.m_OrganisationTable != m_Table) {
    // Held requests are ordered by their priority.
    releaseHold(Active);
    Active.m_OrganisationTable = m_Table;
    Active.m_Organisation = Decision.m_Organisation;
    Active.m_Priority = priorityOf(Active);
  }
  if (Decision.m_Outcome == Outcome::Allowed)
    return false;
  Active.m_RefusalCause = Decision.m_Cause;
  if (Active.m_ForwardingStarted)
    abortAnswer(Active, Decision.m_Reason, Out);
  else if (Active.m_PossibleRuns > 0)
    reject(Active, BadGateway, std::nullopt, Decision.m_Reason, Out);
  else if (Decision.m_Outcome == Outcome::Refused)
    reject(Active, Unauthorised, std::nullopt, Decision.m_Reason, Out);
  else if (Active.m_Request.m_Forwarded)
    // Without a time to come back, so that the first node decides.
    reject(Active, ServiceUnavailable, std::nullopt, Decision.m_Reason, Out);
  else
    reject(Active, ServiceUnavailable, jittered(UnprovenRetryAfter),
           Decision.m_Reason, Out);
  return true;
}

void RelayCore::onConfigProven(model::TimePoint At, model::TimePoint Now,
                               RelayEffectList &Out) {
  m_Now = Now;
  m_Access.onConfirmed(At);
  noteProof(Out);
}

void RelayCore::noteProof(RelayEffectList &Out) {
  const organisations::ConfigProof &Proof = m_Access.proof();
  if (!Proof.isNeeded() || Proof.holds(m_Now) == m_IsProven)
    return;
  m_IsProven = !m_IsProven;
  Out.push_back(ProofChange{m_IsProven, Proof.age(m_Now)});
}

} // namespace bronzepass::core::gateway
