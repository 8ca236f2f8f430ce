#include "Core/Gateway/RelayCore.h"

#include <algorithm>

namespace bronzepass::core::gateway {

namespace {

constexpr int ServiceUnavailable = 503;
/// By then, the notice that tells of the stream may have arrived.
constexpr model::Duration UnknownOriginRetryAfter =
    std::chrono::milliseconds(150);
/// Two notices may be lost in this time.
constexpr model::Duration FreshNotice = std::chrono::milliseconds(500);

} // namespace

const std::string &RelayCore::firstAttemptOf(const RelayRequest &Request) {
  return Request.m_FirstAttempt.empty() ? Request.m_CallerRequestId
                                        : Request.m_FirstAttempt;
}

bool RelayCore::fitsRequiredVersion(const ActiveRequest &Active,
                                    const EndpointView &Endpoint) {
  return !Active.m_RequiredVersion ||
         Endpoint.m_Entry.m_SoftwareVersion == *Active.m_RequiredVersion;
}

bool RelayCore::isOutOfStep() const {
  if (m_NodeCount <= 1)
    return false;
  if (m_Suspension.mayLag(m_Now))
    return true;
  const auto Heard =
      std::count_if(m_Peers.begin(), m_Peers.end(), [&](const auto &Each) {
        return m_Now - Each.second.m_At < FreshNotice;
      });
  // In larger fleets, this many nodes tell this one of their loads.
  const size_t Tellers = std::min<size_t>(m_NodeCount - 1, MaxNoticeTargets);
  return 2 * static_cast<size_t>(Heard) < Tellers;
}

bool RelayCore::requireFirstVersion(ActiveRequest &Active,
                                    RelayEffectList &Out) {
  if (!Active.m_Request.m_IsResumption || !Active.m_Route->m_Stream ||
      !Active.m_Route->m_Resumable)
    return true;
  if (Active.m_Request.m_Forwarded) {
    Active.m_RequiredVersion = Active.m_Request.m_Forwarded->m_RequiredVersion;
    return true;
  }
  if (!isOutOfStep())
    return findFirstVersion(Active, true, Out);
  Active.m_UnconfirmedSince = m_Now;
  m_Unconfirmed.insert(Active.m_Request.m_Number);
  log(Active, "wait", 0,
      "this node may not know all software versions: the store is asked", Out);
  Out.push_back(ConfirmEndpoints{});
  return false;
}

bool RelayCore::findFirstVersion(ActiveRequest &Active, bool MayKnowAll,
                                 RelayEffectList &Out) {
  Active.m_RequiredVersion = m_Origins.versionOf(
      Active.m_Service, Active.m_Request.m_FirstAttempt, !MayKnowAll, m_Now);
  if (!Active.m_RequiredVersion) {
    reject(Active, ServiceUnavailable, jittered(UnknownOriginRetryAfter),
           "the software version that began the stream is not known", Out);
    return false;
  }
  const std::vector<EndpointView *> &All =
      m_Services[Active.m_Service].m_Endpoints;
  const bool IsLeft =
      std::any_of(All.begin(), All.end(), [&](const EndpointView *Each) {
        return !Each->isLeaving() && fitsRequiredVersion(Active, *Each);
      });
  if (!IsLeft)
    reject(Active, ServiceUnavailable, std::nullopt,
           "no endpoint of the software version that began the stream is left",
           Out);
  return IsLeft;
}

void RelayCore::onEndpointsConfirmed(model::TimePoint AskedAt,
                                     model::TimePoint Now,
                                     RelayEffectList &Out) {
  m_Now = Now;
  decideUnconfirmed(AskedAt, true, Out);
}

void RelayCore::decideUnconfirmed(model::TimePoint Until, bool IsConfirmed,
                                  RelayEffectList &Out) {
  // A copy, because a decided request is removed from the set.
  const std::vector<model::RequestId> Waiting(m_Unconfirmed.begin(),
                                              m_Unconfirmed.end());
  for (const model::RequestId &Number : Waiting) {
    ActiveRequest &Active = m_ActiveRequests.at(Number);
    if (*Active.m_UnconfirmedSince > Until)
      continue;
    m_Unconfirmed.erase(Number);
    if (findFirstVersion(Active, IsConfirmed || !isOutOfStep(), Out))
      dispatch(Active, Out);
  }
}

void RelayCore::onAnswerForwarded(model::RequestId Request,
                                  model::TimePoint Now) {
  m_Now = Now;
  const auto Found = m_ActiveRequests.find(Request);
  if (Found == m_ActiveRequests.end() || Found->second.m_ForwardingStarted)
    return;
  ActiveRequest &Active = Found->second;
  Active.m_ForwardingStarted = true;
  if (!Active.m_Route->m_Stream || !Active.m_Route->m_Resumable)
    return;
  Active.m_RequiredVersion = Active.m_ForwardedTo
                                 ? Active.m_ForwardedTo->m_SoftwareVersion
                                 : softwareVersionOf(Active.m_Endpoint);
  m_Origins.onStreamBegun(Active.m_Service, firstAttemptOf(Active.m_Request),
                          *Active.m_RequiredVersion, Now);
}

void RelayCore::noteServingVersions() {
  m_VersionsNotedAt = m_Now;
  for (const auto &Each : m_Endpoints)
    if (Each.second.m_IsRegistered)
      m_Origins.onVersionServes(Each.second.m_Entry.m_Service,
                                Each.second.m_Entry.m_SoftwareVersion, m_Now);
  m_Origins.forgetOld(m_Now);
}

} // namespace bronzepass::core::gateway
