#include "Core/Gateway/RelayCore.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::gateway {

namespace {

constexpr int ServiceUnavailable = 503;
/// How often one request tries whether lost links are back.
constexpr model::Duration TrialPeriod = std::chrono::milliseconds(500);

} // namespace

bool RelayCore::PeerState::reaches(const std::string &Service) const {
  return m_ForwardingAddress.m_Port != 0 &&
         std::find(m_LostServices.begin(), m_LostServices.end(), Service) ==
             m_LostServices.end();
}

uint32_t RelayCore::maxRuns(const ActiveRequest &Active) {
  const uint32_t OfRoute = Active.m_Route->m_MaxAttempts;
  const std::optional<ForwardingTerms> &Terms = Active.m_Request.m_Forwarded;
  return Terms ? std::min(OfRoute, Terms->m_RunsLeft) : OfRoute;
}

bool RelayCore::hasBegun(const ActiveRequest &Active) {
  const std::optional<ForwardingTerms> &Terms = Active.m_Request.m_Forwarded;
  return Active.m_ForwardingStarted || (Terms && Terms->m_HasBegun);
}

const char *RelayCore::reasonToDecline(const ForwardingTerms &Terms) const {
  if (!m_Table || !m_HasEndpoints)
    return "this node is not ready";
  if (m_Stopping)
    return "this node is stopping";
  if (Terms.m_ConfigVersion != m_Table->config().m_Version)
    return "another configuration is in force at the node that forwards it";
  return nullptr;
}

bool RelayCore::isTrialDue(const std::string &Service) const {
  const std::optional<model::TimePoint> LostSince = m_Links.lostSince(Service);
  if (!LostSince)
    return false;
  const auto Tried = m_LinksTriedAt.find(Service);
  const model::TimePoint Last = Tried == m_LinksTriedAt.end()
                                    ? *LostSince
                                    : std::max(*LostSince, Tried->second);
  return m_Now - Last >= TrialPeriod;
}

bool RelayCore::forwardIfLinksLost(ActiveRequest &Active,
                                   RelayEffectList &Out) {
  if (!m_Links.isLost(Active.m_Service))
    return false;
  if (Active.m_Request.m_Forwarded) {
    if (Active.m_Sends > 0)
      return false;
    reject(Active, ServiceUnavailable, std::nullopt,
           "this node has lost its links to the service, too", Out);
    return true;
  }
  if (isTrialDue(Active.m_Service))
    return false;
  // A random one, so that the nodes of a failure domain that is cut off do not
  // choose the same.
  const std::pair<const model::NodeId, PeerState> *Chosen = nullptr;
  uint64_t Count = 0;
  for (const auto &Each : m_Peers) {
    const bool IsTried =
        std::find(Active.m_TriedPeers.begin(), Active.m_TriedPeers.end(),
                  Each.first) != Active.m_TriedPeers.end();
    if (IsTried || !Each.second.reaches(Active.m_Service) ||
        m_Now - Each.second.m_At >= m_Settings.m_MaxPeerLoadAge)
      continue;
    if (m_Random.next() % ++Count == 0)
      Chosen = &Each;
  }
  if (!Chosen)
    return false;
  forward(Active, Chosen->first, Chosen->second.m_ForwardingAddress, Out);
  return true;
}

void RelayCore::forward(ActiveRequest &Active, const model::NodeId &Peer,
                        const model::Address &Address, RelayEffectList &Out) {
  const uint32_t RunsLeft = std::max(
      1U, maxRuns(Active) - std::min(maxRuns(Active), Active.m_PossibleRuns));
  ++Active.m_Sends;
  endWaiting(Active);
  Active.m_Attempt = {++m_LastAttempt};
  Active.m_Endpoint = {};
  Active.m_ForwardedTo = ForwardedSend{Peer, RunsLeft, {}, {}};
  Active.m_TriedPeers.push_back(Peer);
  Active.m_SentAt = m_Now;
  Active.m_AnswerStarted = false;
  Active.m_Inputs.reset();
  m_Attempts[Active.m_Attempt] = Active.m_Request.m_Number;
  log(Active, "forward", 0, Active.m_LastFailure, Out);
  Out.push_back(SendRequest{
      .m_Request = Active.m_Request.m_Number,
      .m_Attempt = Active.m_Attempt,
      .m_Service = Active.m_Service,
      .m_Address = Address,
      .m_Remaining = Active.m_Deadline - m_Now,
      .m_Priority = Active.m_Priority,
      .m_Organisation = organisationToTell(Active),
      .m_Resume = Active.m_ForwardingStarted,
      .m_Stream = Active.m_Route->m_Stream,
      .m_Forwarding =
          ForwardingTerms{Active.m_Table->config().m_Version, RunsLeft,
                          Active.m_RequiredVersion, organisationToTell(Active),
                          Active.m_ForwardingStarted}});
}

void RelayCore::onForwardedHead(model::AttemptId Attempt,
                                model::EndpointId Endpoint,
                                std::string SoftwareVersion) {
  const auto Found = m_Attempts.find(Attempt);
  if (Found == m_Attempts.end())
    return;
  std::optional<ForwardedSend> &Forwarded =
      m_ActiveRequests.at(Found->second).m_ForwardedTo;
  if (!Forwarded)
    return;
  Forwarded->m_Endpoint = std::move(Endpoint);
  Forwarded->m_SoftwareVersion = std::move(SoftwareVersion);
}

} // namespace bronzepass::core::gateway
