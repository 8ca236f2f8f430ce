#include "Core/Gateway/RelayCore.h"

#include "Core/Model/Hash.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace bronzepass::core::gateway {

namespace {

constexpr int ServiceUnavailable = 503;
/// Prompt parts in the index, over all endpoints; 4 to 32 bytes each.
constexpr uint32_t PrefixIndexEntries = 16384;
constexpr model::Duration NotReadyRetryAfter = std::chrono::milliseconds(500);
/// A batch prefills about this many prompt tokens in the time of one decode
/// step, so prompt and output tokens can be counted in the same unit.
constexpr uint32_t PromptTokensPerStep = 100;
/// Models and adapters counted: twice those of the largest planned deployment.
constexpr size_t MaxUsageCounters = 4096;

/// Less than any silence of an endpoint that counts.
constexpr model::Duration MaxTickGap = std::chrono::milliseconds(150);
/// Much shorter than a stream's lifetime.
constexpr model::Duration VersionsNotePeriod = std::chrono::seconds(1);
constexpr double MillisPerMicro = 1e-3;
/// Share of a stream's event gap target that the prefill of other prompts may
/// take; the rest is for the batch's own steps and the network to the caller.
constexpr double LongPrefillShareOfGap = 0.48;
/// Used if no route of the service sets a gap target.
constexpr model::Duration DefaultEventGapTarget =
    std::chrono::milliseconds(250);

const char *requestKind(const RouteSpec &Route) {
  if (Route.m_Stream)
    return "stream";
  return Route.m_Repeatable ? "repeatable" : "once";
}

} // namespace

const char *toString(SendResult Value) {
  switch (Value) {
  case SendResult::NotSent:
    return "not_sent";
  case SendResult::NotRun:
    return "not_run";
  case SendResult::Misdirected:
    return "misdirected";
  case SendResult::Failed:
    return "failed";
  case SendResult::Completed:
    return "whole";
  case SendResult::Broken:
    return "broken";
  case SendResult::Declined:
    return "declined";
  }
  return "broken";
}

RelayCore::RelayCore(const RelaySettings &Settings, ports::Random &Random)
    : m_Settings(Settings), m_Random(Random),
      m_Access(Settings.m_KeyRevocationTime), m_Quotas(Settings.m_QuotaTiming),
      m_Prefixes(PrefixIndexEntries), m_Retries(Settings.m_Retries) {}

bool RelayCore::setTable(std::shared_ptr<const RouteTable> Table) {
  if (m_Table && Table->config().m_Version <= m_Table->config().m_Version)
    return false;
  m_Table = std::move(Table);
  m_Quotas.setPlans(quotaPlans(), m_Now);
  for (const ServiceSpec &Each : m_Table->config().m_Services) {
    ServiceState &Service = m_Services[Each.m_Name];
    Service.m_MaxConnections = Each.m_MaxConnections;
    const double GapTargetMs =
        MillisPerMicro *
        static_cast<double>(m_Table->shortestEventGapTarget(Each.m_Name)
                                .value_or(DefaultEventGapTarget)
                                .count());
    Service.m_LongPrefillMs = LongPrefillShareOfGap * GapTargetMs;
    Service.m_MaxQueuedPrefillMs =
        m_Settings.m_MaxQueuedShareOfGap * GapTargetMs;
    if (m_Settings.m_OrdersBySlack)
      Service.m_HoldRules = holdRules(m_Table->config(), Each.m_Name);
  }
  return true;
}

void RelayCore::setEndpoints(const std::vector<EndpointEntry> &Entries,
                             model::TimePoint Now, RelayEffectList &Out) {
  m_Now = Now;
  for (auto &Entry : m_Endpoints)
    Entry.second.m_IsRegistered = false;
  for (const EndpointEntry &Entry : Entries) {
    EndpointView &View = m_Endpoints[Entry.m_Id];
    const bool Restarted =
        View.m_Tag != 0 && View.m_Entry.m_StartedAtMs != Entry.m_StartedAtMs;
    if (View.m_Tag == 0 || Restarted) {
      if (View.m_Tag != 0)
        m_Prefixes.forget(View.m_Tag);
      const uint32_t InFlight = View.m_InFlight;
      View = EndpointView();
      View.m_InFlight = InFlight;
      View.m_Tag = ++m_LastTag == 0 ? ++m_LastTag : m_LastTag;
    }
    const bool IsNew = View.m_Entry.m_Id != Entry.m_Id;
    const bool IsRenewed = View.m_Entry.m_Renewals < Entry.m_Renewals;
    View.m_Entry = Entry;
    if (IsNew && hasRun(Entry.m_Service))
      beginPace(View, PaceCause::Start, Now);
    View.m_Key = model::stableHash(Entry.m_Id.str(),
                                   static_cast<uint64_t>(Entry.m_StartedAtMs));
    // Without the start, another one could seem to be the same.
    if (IsRenewed && Entry.m_StartedAtMs != 0)
      m_Quarantine.onEntryRenewed(View.m_Key, Entry.m_Renewals);
    View.m_IsRegistered = true;
    View.m_RegisteredAt = Now;
  }
  m_HasEndpoints = m_HasEndpoints || !Entries.empty();
  for (auto &Service : m_Services)
    Service.second.m_Endpoints.clear();
  for (auto &Entry : m_Endpoints)
    if (Entry.second.m_IsRegistered)
      m_Services[Entry.second.m_Entry.m_Service].m_Endpoints.push_back(
          &Entry.second);
  for (const auto &Service : m_Services)
    m_Links.setEndpointCount(Service.first, Service.second.m_Endpoints.size());
  for (auto &Entry : m_Endpoints)
    updateRateShare(Entry.second);
  noteServingVersions();
  dispatchWaiting(Out);
}

std::vector<uint64_t>
RelayCore::promptHashes(const RelayRequest &Request) const {
  std::vector<uint64_t> Hashes;
  uint64_t Chain =
      model::stableHash(Request.m_ModelRef.m_Adapter,
                        model::stableHash(Request.m_ModelRef.m_Model));
  for (const PromptPart &Part : Request.m_Prompt) {
    Chain = model::stableHash(
        {reinterpret_cast<const char *>(&Part.m_Id), sizeof(Part.m_Id)}, Chain);
    Hashes.push_back(Chain);
  }
  return Hashes;
}

RequestTraits RelayCore::traitsOf(const RelayRequest &Request) {
  RequestTraits Traits{Request.m_Fingerprint, {}};
  // The last part belongs to the request itself or to its session.
  for (size_t I = 0; I + 1 < Request.m_Prompt.size(); ++I)
    Traits.m_PromptParts.push_back(Request.m_Prompt[I].m_Id);
  return Traits;
}

void RelayCore::onRequestReceived(RelayRequest Request, model::TimePoint Now,
                                  RelayEffectList &Out) {
  m_Now = Now;
  const model::RequestId Number = Request.m_Number;
  ActiveRequest &Active = m_ActiveRequests[Number];
  Active.m_Request = std::move(Request);
  const RelayRequest &Asked = Active.m_Request;
  const char *const Declined =
      Asked.m_Forwarded ? reasonToDecline(*Asked.m_Forwarded) : nullptr;
  if (Declined) {
    reject(Active, ServiceUnavailable, std::nullopt, Declined, Out);
    return;
  }
  if (!m_Table || !m_HasEndpoints) {
    reject(Active, ServiceUnavailable, jittered(NotReadyRetryAfter),
           m_Table ? "no endpoint is known yet"
                   : "no configuration is known yet",
           Out);
    return;
  }
  Active.m_Table = m_Table;
  Active.m_Route = m_Table->find(Asked.m_Host, Asked.m_Path);
  if (!Active.m_Route || Active.m_Route->m_Services.empty()) {
    rejectUnrouted(Active, Out);
    return;
  }
  Active.m_Priority = Active.m_Route->m_Priority;
  if (rejectUnauthorised(Active, Out))
    return;
  if (m_Stopping) {
    reject(Active, ServiceUnavailable, stoppingRetryAfter(Active),
           "this node is stopping", Out);
    return;
  }
  const RouteSpec &Route = *Active.m_Route;
  Active.m_Service = RouteTable::pickService(Route, m_Random.next());
  model::Duration Window = Route.m_Timeout > model::Duration::zero()
                               ? Route.m_Timeout
                               : m_Settings.m_DefaultWindow;
  Window = std::min(Window, Asked.m_Window.value_or(Window));
  Active.m_Deadline = Asked.m_BeganAt + Window;
  if (m_StopEnd)
    Active.m_Deadline = std::min(Active.m_Deadline, *m_StopEnd);
  m_Deadlines.emplace(Active.m_Deadline, Number);
  Active.m_PromptHashes = promptHashes(Asked);
  Active.m_Traits = traitsOf(Asked);
  // The node that forwarded a request has counted it.
  if (!Asked.m_Forwarded)
    m_Retries.countRequest(Active.m_Service, Now);
  if (!Asked.m_Forwarded && isCountedModel(Active)) {
    for (const ModelRef &Ref :
         {Asked.m_ModelRef, ModelRef{Asked.m_ModelRef.m_Model, ""}}) {
      UsageCounter &Count = m_UsageCounters[Ref];
      Count.m_Service = Active.m_Service;
      Count.m_ModelRef = Ref;
      ++Count.m_Requests;
      Count.m_Tokens +=
          Asked.m_PromptTokens / PromptTokensPerStep + Asked.m_OutputTokens;
      if (Asked.m_ModelRef.m_Adapter.empty())
        break;
    }
  }
  if (requireFirstVersion(Active, Out))
    dispatch(Active, Out);
}

/// Callers may send any name: only models that the service declares are
/// counted, and adapters only up to MaxUsageCounters.
bool RelayCore::isCountedModel(const ActiveRequest &Active) const {
  const ModelRef &Ref = Active.m_Request.m_ModelRef;
  const ServiceSpec *const Service = Active.m_Table->service(Active.m_Service);
  const bool IsModel = !Ref.m_Model.empty() && Service && Service->m_Engine &&
                       Service->m_Engine->model(Ref.m_Model);
  return IsModel && (m_UsageCounters.contains(Ref) ||
                     m_UsageCounters.size() < MaxUsageCounters);
}

void RelayCore::tick(model::TimePoint Now, RelayEffectList &Out) {
  m_Now = Now;
  m_Suspension.onTick(Now);
  noteProof(Out);
  decideUnconfirmed(Now - ConfirmationTimeout, false, Out);
  expireDue(Out);
  rejectWaitingBeyondStop(Out);
  for (auto Peer = m_Peers.begin(); Peer != m_Peers.end();) {
    if (Now - Peer->second.m_At < m_Settings.m_MaxPeerLoadAge) {
      ++Peer;
      continue;
    }
    subtractPeerLoads(Peer->second.m_Loads);
    Peer = m_Peers.erase(Peer);
  }
  m_Quarantine.tick(Now);
  for (const QuarantineChange &Each : m_Quarantine.takeChanges())
    Out.push_back(Each);
  // After a stall, what endpoints sent meanwhile is still to be read.
  const bool IsLate = Now - std::exchange(m_TickedAt, Now) > MaxTickGap;
  if (!IsLate) {
    takeBackFromSilent(Out);
    noteSilentEndpoints();
  }
  tickPaces(Out);
  for (const LinksChange &Each : m_Links.takeChanges())
    Out.push_back(Each);
  if (Now - m_VersionsNotedAt >= VersionsNotePeriod) {
    noteServingVersions();
    eraseUnregistered();
    for (auto &Entry : m_Endpoints)
      updateRateShare(Entry.second);
  }
  dispatchQuotaWaiting(Out);
  dispatchWaiting(Out);
}

RelayLogEntry::Content RelayCore::contentOf(const ActiveRequest &Active) {
  const RelayRequest &Request = Active.m_Request;
  RelayLogEntry::Content Content{
      Request.m_Fingerprint.value_or(0), Request.m_Path, {}};
  for (const PromptPart &Each : Request.m_Prompt)
    Content.m_PromptParts.push_back(Each.m_Id);
  return Content;
}

void RelayCore::log(ActiveRequest &Active, const char *Action, int Status,
                    const std::string &Reason, RelayEffectList &Out) const {
  Out.push_back(RelayLogEntry{
      .m_Request = Active.m_Request.m_Number,
      .m_CallerRequestId = Active.m_Request.m_CallerRequestId,
      .m_Action = Action,
      .m_Organisation = organisationToTell(Active).value_or(""),
      .m_RefusalCause = Active.m_RefusalCause,
      .m_Kind = Active.m_Route ? requestKind(*Active.m_Route) : "",
      .m_Route = Active.m_Route ? Active.m_Route->m_Name : std::string(),
      .m_ModelRef = Active.m_Request.m_ModelRef,
      .m_Endpoint = Active.m_ForwardedTo
                        ? Active.m_ForwardedTo->m_Endpoint.str()
                        : Active.m_Endpoint.str(),
      .m_Peer = Active.m_ForwardedTo ? Active.m_ForwardedTo->m_Peer.str() : "",
      .m_IsForwarded = Active.m_Request.m_Forwarded.has_value(),
      .m_SoftwareVersion = Active.m_ForwardedTo
                               ? Active.m_ForwardedTo->m_SoftwareVersion
                               : softwareVersionOf(Active.m_Endpoint),
      .m_FirstAttempt = Active.m_Request.m_FirstAttempt,
      .m_ConfigVersion =
          Active.m_Table ? Active.m_Table->config().m_Version : 0,
      .m_Status = Status,
      .m_Sends = Active.m_Sends,
      .m_Elapsed = m_Now - Active.m_Request.m_BeganAt,
      .m_Reason = Reason,
      .m_Inputs = Active.m_Inputs,
      .m_Stage = std::string_view(Action) == "gone" ||
                         std::string_view(Action) == "cut"
                     ? stageOf(Active)
                     : "",
      .m_Timing = Active.m_AnswerStarted ? std::optional(Active.m_Timing)
                                         : std::nullopt,
      .m_AnswerEnd = std::exchange(Active.m_AnswerEnd, std::nullopt),
      .m_Content = Active.m_LastSendBrokeOff ? std::optional(contentOf(Active))
                                             : std::nullopt});
}

std::string
RelayCore::softwareVersionOf(const model::EndpointId &Endpoint) const {
  const auto Found = m_Endpoints.find(Endpoint);
  return Found == m_Endpoints.end() ? std::string()
                                    : Found->second.m_Entry.m_SoftwareVersion;
}

EndpointView *RelayCore::findEndpoint(const model::EndpointId &Endpoint) {
  const auto Found = m_Endpoints.find(Endpoint);
  return Found == m_Endpoints.end() ? nullptr : &Found->second;
}

} // namespace bronzepass::core::gateway
