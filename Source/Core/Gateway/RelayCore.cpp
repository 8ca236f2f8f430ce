#include "Core/Gateway/RelayCore.h"

#include "Core/Model/Hash.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::gateway {

namespace {

constexpr int NotFound = 404;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;
/// Prompt parts remembered, over all endpoints: 4 bytes to 32 each.
constexpr uint32_t PrefixEntries = 16384;
/// Until a stopping node's callers should come back: by then the balancer
/// sends them elsewhere.
constexpr model::Duration StoppingRetryAfter = std::chrono::milliseconds(50);
constexpr model::Duration UnreadyRetryAfter = std::chrono::milliseconds(500);
/// A batch reads about this many prompt tokens in the time in which each of its
/// requests gets one: both are counted in steps.
constexpr uint32_t PromptTokensPerStep = 100;
/// Models and adapters counted: twice those of the largest deployment planned.
constexpr size_t MostUses = 4096;
/// How long a copy's news is believed before the endpoint's own entry: two of
/// the periods at which engines write theirs.
constexpr model::Duration CopyNewsFor = std::chrono::seconds(3);

constexpr double MillisPerMicro = 1e-3;
/// Part of a stream's longest pause that other prompts may take up: the rest
/// is the batch's own steps and the way to the caller. Set by trials.
constexpr double LongPrefillShare = 0.48;
/// Where no route names its longest pause.
constexpr model::Duration DefaultPause = std::chrono::milliseconds(250);

const char *kindOf(const RouteSpec &Route) {
  if (Route.m_Stream)
    return "stream";
  return Route.m_Repeatable ? "repeatable" : "once";
}

} // namespace

const char *toString(SendEnd Value) {
  switch (Value) {
  case SendEnd::NotSent:
    return "not_sent";
  case SendEnd::NotRun:
    return "not_run";
  case SendEnd::Misdirected:
    return "misdirected";
  case SendEnd::Failed:
    return "failed";
  case SendEnd::Whole:
    return "whole";
  case SendEnd::Broken:
    return "broken";
  }
  return "broken";
}

RelayCore::RelayCore(const RelaySettings &Settings, ports::Random &Dice)
    : m_Settings(Settings), m_Dice(Dice), m_Prefixes(PrefixEntries),
      m_Retries(Settings.m_Retries) {}

bool RelayCore::setTable(std::shared_ptr<const RouteTable> Table) {
  if (m_Table && Table->config().m_Version <= m_Table->config().m_Version)
    return false;
  m_Table = std::move(Table);
  for (const ServiceSpec &Each : m_Table->config().m_Services) {
    ServiceView &Service = m_Services[Each.m_Name];
    Service.m_MaxConnections = Each.m_MaxConnections;
    Service.m_LongPrefillMs =
        LongPrefillShare * MillisPerMicro *
        static_cast<double>(
            m_Table->shortestPause(Each.m_Name).value_or(DefaultPause).count());
  }
  return true;
}

void RelayCore::setEndpoints(const std::vector<EndpointEntry> &Entries,
                             model::TimePoint Now, RelayEffectList &Out) {
  m_Now = Now;
  for (auto &Known : m_Endpoints)
    Known.second.m_Listed = false;
  for (const EndpointEntry &Entry : Entries) {
    EndpointView &View = m_Endpoints[Entry.m_Id];
    const bool Reborn =
        View.m_Tag != 0 && View.m_Entry.m_BornMs != Entry.m_BornMs;
    if (View.m_Tag == 0 || Reborn) {
      if (View.m_Tag != 0)
        m_Prefixes.forget(View.m_Tag);
      const uint32_t InFlight = View.m_InFlight;
      View = EndpointView();
      View.m_InFlight = InFlight;
      View.m_Tag = ++m_LastTag == 0 ? ++m_LastTag : m_LastTag;
    }
    View.m_Entry = Entry;
    View.m_Listed = true;
  }
  m_HasEndpoints = m_HasEndpoints || !Entries.empty();
  std::erase_if(m_Endpoints, [](const auto &Known) {
    return !Known.second.m_Listed && Known.second.m_InFlight == 0;
  });
  for (auto &Service : m_Services)
    Service.second.m_Endpoints.clear();
  for (auto &Known : m_Endpoints)
    if (Known.second.m_Listed)
      m_Services[Known.second.m_Entry.m_Service].m_Endpoints.push_back(
          &Known.second);
  placeWaiting(Out);
}

void RelayCore::peerNotice(const PeerNotice &Notice, model::TimePoint Now,
                           RelayEffectList &Out) {
  m_Now = Now;
  PeerLoads &Peer = m_Peers[Notice.m_From];
  if (Peer.m_Start == Notice.m_Start && Peer.m_Sequence >= Notice.m_Sequence)
    return;
  forgetPeerLoads(Peer.m_Loads);
  for (const EndpointLoad &New : Notice.m_Loads) {
    if (EndpointView *const Known = view(New.m_Endpoint)) {
      Known->m_PeersInFlight += New.m_InFlight;
      Known->m_PeersPrefillTokens += New.m_PrefillTokens;
    }
  }
  Peer = {Now, Notice.m_Start, Notice.m_Sequence, Notice.m_Loads};
  for (const CopyNews &News : Notice.m_Copies)
    if (EndpointView *const Known = view(News.m_Endpoint))
      Known->m_News[News.m_Use] = {!News.m_Leaving, Now + CopyNewsFor};
  if (!Notice.m_Copies.empty())
    placeWaiting(Out);
}

std::vector<uint64_t>
RelayCore::promptHashes(const RelayRequest &Request) const {
  std::vector<uint64_t> Hashes;
  uint64_t Chain = model::stableHash(Request.m_Use.m_Adapter,
                                     model::stableHash(Request.m_Use.m_Model));
  for (const PromptPart &Part : Request.m_Prompt) {
    Chain = model::stableHash(
        {reinterpret_cast<const char *>(&Part.m_Id), sizeof(Part.m_Id)}, Chain);
    Hashes.push_back(Chain);
  }
  return Hashes;
}

void RelayCore::requestArrived(RelayRequest Request, model::TimePoint Now,
                               RelayEffectList &Out) {
  m_Now = Now;
  const model::RequestId Number = Request.m_Number;
  Live &Value = m_Live[Number];
  Value.m_Request = std::move(Request);
  const RelayRequest &Asked = Value.m_Request;
  if (!m_Table || !m_HasEndpoints) {
    refuse(Value, ServiceUnavailable, jittered(UnreadyRetryAfter),
           "no configuration is known yet", Out);
    return;
  }
  Value.m_Table = m_Table;
  Value.m_Route = m_Table->find(Asked.m_Host, Asked.m_Path);
  if (!Value.m_Route || Value.m_Route->m_Services.empty()) {
    refuse(Value, NotFound, std::nullopt, "no route", Out);
    return;
  }
  if (m_Stopping) {
    refuse(Value, ServiceUnavailable, jittered(StoppingRetryAfter),
           "this node is stopping", Out);
    return;
  }
  const RouteSpec &Route = *Value.m_Route;
  Value.m_Service = RouteTable::pickService(Route, m_Dice.next());
  model::Duration Window = Route.m_Timeout > model::Duration::zero()
                               ? Route.m_Timeout
                               : m_Settings.m_DefaultWindow;
  Window = std::min(Window, Asked.m_Window.value_or(Window));
  Value.m_Deadline = Asked.m_BeganAt + Window;
  m_Deadlines.emplace(Value.m_Deadline, Number);
  Value.m_PromptHashes = promptHashes(Asked);
  m_Retries.noteRequest(Value.m_Service, Now);
  if (isDeclared(Value)) {
    for (const ModelUse &Use :
         {Asked.m_Use, ModelUse{Asked.m_Use.m_Model, ""}}) {
      UseCount &Count = m_Uses[Use];
      Count.m_Service = Value.m_Service;
      Count.m_Use = Use;
      ++Count.m_Requests;
      Count.m_Tokens +=
          Asked.m_PromptTokens / PromptTokensPerStep + Asked.m_OutputTokens;
      if (Asked.m_Use.m_Adapter.empty())
        break;
    }
  }
  place(Value, Out);
}

/// Callers may name what they like: only what the service declares is counted,
/// and of adapters no more than there is room to remember.
bool RelayCore::isDeclared(const Live &Value) const {
  const ModelUse &Use = Value.m_Request.m_Use;
  const ServiceSpec *const Service = Value.m_Table->service(Value.m_Service);
  const bool IsModel = !Use.m_Model.empty() && Service && Service->m_Engine &&
                       Service->m_Engine->model(Use.m_Model);
  return IsModel && (m_Uses.contains(Use) || m_Uses.size() < MostUses);
}

void RelayCore::callerGone(model::RequestId Request, model::TimePoint Now,
                           RelayEffectList &Out) {
  m_Now = Now;
  const auto Found = m_Live.find(Request);
  if (Found == m_Live.end())
    return;
  Live &Value = Found->second;
  note(Value, "gone", 0, "the caller left", Out);
  // What must not be repeated is let run to its end: cut off in the middle,
  // nobody would know its outcome.
  const bool LetRun = Value.m_Attempt && Value.m_Route &&
                      !Value.m_Route->m_Repeatable && !Value.m_Route->m_Stream;
  if (LetRun) {
    Value.m_CallerGone = true;
    return;
  }
  if (Value.m_Attempt)
    Out.push_back(AbandonSend{Value.m_Attempt});
  forget(Value);
}

void RelayCore::callerAnswered(model::RequestId Request) {
  const auto Found = m_Live.find(Request);
  if (Found != m_Live.end())
    Found->second.m_CallerAnswered = true;
}

void RelayCore::tick(model::TimePoint Now, RelayEffectList &Out) {
  m_Now = Now;
  while (!m_Deadlines.empty() && m_Deadlines.begin()->first <= Now)
    timeOut(m_Live.at(m_Deadlines.begin()->second), Out);
  for (auto Peer = m_Peers.begin(); Peer != m_Peers.end();) {
    if (Now - Peer->second.m_At < m_Settings.m_PeerFreshness) {
      ++Peer;
      continue;
    }
    forgetPeerLoads(Peer->second.m_Loads);
    Peer = m_Peers.erase(Peer);
  }
  placeWaiting(Out);
}

void RelayCore::timeOut(Live &Value, RelayEffectList &Out) {
  if (Value.m_Attempt) {
    if (EndpointView *const Known = view(Value.m_Endpoint))
      judgeEndpoint(Value, *Known,
                    {SendEnd::Broken, 0, !Value.m_BeganSeen, "timed out"});
    Out.push_back(AbandonSend{Value.m_Attempt});
  }
  if (Value.m_CallerGone)
    forget(Value);
  else if (Value.m_CallerAnswered)
    cut(Value, "its time is up", Out);
  else if (Value.m_Runs > 0 || Value.m_Attempt)
    refuse(Value, GatewayTimeout, std::nullopt, "its time is up", Out);
  else
    refuse(Value, ServiceUnavailable, jittered(UnreadyRetryAfter),
           "its time is up before it was sent", Out);
}

void RelayCore::refuse(Live &Value, int Status,
                       std::optional<model::Duration> RetryAfter,
                       const std::string &Reason, RelayEffectList &Out) {
  note(Value, "refuse", Status, Reason, Out);
  Out.push_back(
      RefuseAnswer{Value.m_Request.m_Number, Status, RetryAfter, Reason});
  forget(Value);
}

void RelayCore::cut(Live &Value, const std::string &Reason,
                    RelayEffectList &Out) {
  note(Value, "cut", 0, Reason, Out);
  Out.push_back(CutAnswer{Value.m_Request.m_Number, Reason});
  forget(Value);
}

void RelayCore::forget(Live &Value) {
  endSend(Value);
  const model::RequestId Number = Value.m_Request.m_Number;
  m_Deadlines.erase({Value.m_Deadline, Number});
  m_Waiting.erase(Number);
  m_Live.erase(Number);
}

void RelayCore::note(const Live &Value, const char *Action, int Status,
                     const std::string &Reason, RelayEffectList &Out) const {
  Out.push_back(RelayNote{
      .m_Request = Value.m_Request.m_Number,
      .m_CallerRequestId = Value.m_Request.m_CallerRequestId,
      .m_Action = Action,
      .m_Kind = Value.m_Route ? kindOf(*Value.m_Route) : "",
      .m_Route = Value.m_Route ? Value.m_Route->m_Name : std::string(),
      .m_Use = Value.m_Request.m_Use,
      .m_Endpoint = Value.m_Endpoint.str(),
      .m_ConfigVersion = Value.m_Table ? Value.m_Table->config().m_Version : 0,
      .m_Status = Status,
      .m_Sends = Value.m_Sends,
      .m_Elapsed = m_Now - Value.m_Request.m_BeganAt,
      .m_Reason = Reason,
      .m_Inputs = Value.m_Inputs,
      .m_Pace =
          Value.m_BeganSeen ? std::optional(Value.m_Pace) : std::nullopt});
}

EndpointView *RelayCore::view(const model::EndpointId &Endpoint) {
  const auto Found = m_Endpoints.find(Endpoint);
  return Found == m_Endpoints.end() ? nullptr : &Found->second;
}

void RelayCore::forgetPeerLoads(const std::vector<EndpointLoad> &Loads) {
  for (const EndpointLoad &Old : Loads) {
    EndpointView *const Known = view(Old.m_Endpoint);
    if (!Known)
      continue;
    Known->m_PeersInFlight -= std::min(Known->m_PeersInFlight, Old.m_InFlight);
    Known->m_PeersPrefillTokens -=
        std::min(Known->m_PeersPrefillTokens, Old.m_PrefillTokens);
  }
}

void RelayCore::dropIfUnused(const model::EndpointId &Endpoint) {
  const auto Found = m_Endpoints.find(Endpoint);
  if (Found != m_Endpoints.end() && !Found->second.m_Listed &&
      Found->second.m_InFlight == 0)
    m_Endpoints.erase(Found);
}

std::vector<EndpointLoad> RelayCore::loads() const {
  std::vector<EndpointLoad> Loads;
  for (const auto &Known : m_Endpoints)
    if (Known.second.m_InFlight > 0)
      Loads.push_back(
          {Known.first, Known.second.m_InFlight, Known.second.m_PrefillTokens});
  return Loads;
}

std::vector<UseCount> RelayCore::takeUses() {
  std::vector<UseCount> Risen;
  for (const auto &Use : m_Uses) {
    uint64_t &Told = m_ToldUses[Use.first];
    if (Told == Use.second.m_Requests)
      continue;
    Told = Use.second.m_Requests;
    Risen.push_back(Use.second);
  }
  return Risen;
}

} // namespace bronzepass::core::gateway
