#include "Core/Routing/Refusals.h"
#include "Core/Routing/TrafficCore.h"

namespace bronzepass::core::routing {

bool TrafficCore::needsClaim(const LiveRequest &Live) const {
  const model::Request &Request = Live.m_Request;
  // A forwarded request was claimed by the node that received it first.
  if (Request.m_Repeatable || !Request.m_IdempotencyKey || Request.m_Forwarded)
    return false;
  const TableService *Service = m_Table->findService(Request.m_ServicePool);
  return Service == nullptr || !Service->m_Pool->m_HonoursIdempotencyKeys;
}

void TrafficCore::on(const ports::ClaimVerdict &Event) {
  auto Abandoned = m_AbandonedClaims.find(Event.m_Request);
  if (Abandoned != m_AbandonedClaims.end()) {
    if (Event.m_Kind == ports::ClaimVerdictKind::Granted)
      m_Effects->push_back(
          ports::ClaimEnded{Event.m_Request, Abandoned->second.m_KeyHash,
                            model::ClaimState::Released, 0, ""});
    m_AbandonedClaims.erase(Abandoned);
    return;
  }
  auto Found = m_Live.find(Event.m_Request);
  if (Found == m_Live.end() ||
      Found->second.m_Phase != RequestPhase::AwaitingClaim) {
    ++m_Counts.m_StaleDropped;
    return;
  }
  LiveRequest &Live = Found->second;
  Live.m_Phase = RequestPhase::Queued;
  switch (Event.m_Kind) {
  case ports::ClaimVerdictKind::Granted:
    Live.m_Claimed = true;
    dispatchOrEnqueue(Live);
    return;
  case ports::ClaimVerdictKind::Done:
    m_Effects->push_back(
        ReplayAnswer{Event.m_Request, Event.m_Status, Event.m_Answer});
    ++m_Counts.m_Answered;
    removeRequest(Live);
    return;
  case ports::ClaimVerdictKind::Pending:
    refuse(Live, {model::RefusalReason::ClaimPending, model::RunState::Unknown,
                  "another run of this key has no known outcome yet",
                  ShortRetryAfter});
    return;
  case ports::ClaimVerdictKind::Mismatch:
    refuse(Live, notRunRefusal(model::RefusalReason::KeyMismatch,
                               "the key was used for another request"));
    return;
  case ports::ClaimVerdictKind::Unavailable:
  case ports::ClaimVerdictKind::NotOwner:
    refuse(Live,
           notRunRefusal(model::RefusalReason::ClaimStoreDown,
                         "the claim could not be recorded", ShortRetryAfter));
    return;
  }
}

void TrafficCore::releaseClaim(LiveRequest &Live) {
  if (!Live.m_Claimed || Live.m_MayHaveRun)
    return;
  Live.m_Claimed = false;
  m_Effects->push_back(ports::ClaimEnded{Live.m_Request.m_Id, Live.m_KeyHash,
                                         model::ClaimState::Released, 0, ""});
}

} // namespace bronzepass::core::routing
