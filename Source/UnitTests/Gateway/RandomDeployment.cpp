#include "UnitTests/Gateway/RandomDeployment.h"

#include <algorithm>

namespace bronzepass::unit_tests {

namespace {

using namespace std::chrono_literals;

constexpr const char *Prefixes[] = {"/once/", "/again/", "/stream/",
                                    "/resume/"};
/// Two with engines and a plain one.
constexpr const char *Services[] = {"s", "t", "p"};
constexpr const char *Keys[] = {"k1", "k2", "k3", "unknown"};
constexpr const char *Names[] = {"lab", "hall", "mill"};
constexpr const char *Adapters[] = {"", "", "a1", "a1", "a2"};
constexpr const char *Versions[] = {"v1", "v1", "v1", "v2"};
constexpr const char *Host = "h";

} // namespace

gateway::RouteSpec RandomDeployment::nextRoute(const std::string &Prefix) {
  constexpr model::Duration Timeouts[] = {0ms, 150ms, 600ms, 3s};
  constexpr model::Duration Targets[] = {0ms, 40ms, 200ms, 2s};
  gateway::RouteSpec Route;
  Route.m_Name = Prefix;
  Route.m_Host = Host;
  Route.m_PathPrefix = Prefix;
  Route.m_Services = {{Services[oneIn(5) ? 2 : below(2)], 1}};
  if (oneIn(4))
    Route.m_Services.push_back({Services[below(3)], 2});
  Route.m_Timeout = Timeouts[below(4)];
  Route.m_LatencyTarget = Targets[below(4)];
  Route.m_Priority = static_cast<uint32_t>(below(3));
  Route.m_IsOpen = oneIn(5);
  Route.m_Repeatable = Prefix == "/again/";
  Route.m_Stream = Prefix == "/stream/" || Prefix == "/resume/";
  Route.m_Resumable = Prefix == "/resume/";
  if (oneIn(8)) {
    // A route changes its kind.
    Route.m_Repeatable = oneIn(2);
    Route.m_Stream = oneIn(2);
    Route.m_Resumable = Route.m_Stream && oneIn(2);
  }
  if (Route.m_Repeatable || Route.m_Resumable)
    Route.m_MaxAttempts = 2 + static_cast<uint32_t>(below(2));
  if (Route.m_Stream && oneIn(2))
    Route.m_EventGapTarget = 60ms;
  return Route;
}

std::vector<organisations::OrganisationSpec>
RandomDeployment::nextOrganisations() {
  std::vector<organisations::OrganisationSpec> All;
  for (const char *const Name : Names) {
    if (oneIn(6))
      continue;
    organisations::OrganisationSpec Each;
    Each.m_Name = Name;
    for (const char *const Key : {Keys[0], Keys[1], Keys[2]})
      if (!oneIn(3))
        Each.m_Keys.push_back(organisations::digestOf(Key));
    if (oneIn(2))
      Each.m_Priority = static_cast<uint32_t>(below(3));
    if (!oneIn(3)) {
      using Unit = organisations::QuotaSpec::Unit;
      const bool CountsTokens = oneIn(3);
      const double Rate = static_cast<double>(1 + below(20));
      Each.m_Quota = organisations::QuotaSpec{
          CountsTokens ? Unit::Tokens : Unit::Requests,
          CountsTokens ? 1000 * Rate : Rate, Rate, 100};
    }
    All.push_back(Each);
  }
  return All;
}

gateway::GatewayConfig RandomDeployment::nextConfig() {
  gateway::GatewayConfig Config;
  Config.m_Version = ++m_LastVersion;
  for (const char *const Prefix : Prefixes)
    if (!oneIn(20))
      Config.m_Routes.push_back(nextRoute(Prefix));
  for (const char *const Name : Services) {
    gateway::ServiceSpec Service;
    Service.m_Name = Name;
    Service.m_MaxConnections =
        oneIn(6) ? 2 + static_cast<uint32_t>(below(4)) : 0;
    if (Service.m_Name != "p") {
      Service.m_Engine = gateway::EngineSpec();
      Service.m_Engine->m_Models = {{"m", 10, 3s, 4, 1}};
      if (oneIn(2))
        Service.m_Engine->m_Models.push_back({"n", 10, 3s, 4, 1});
    }
    Config.m_Services.push_back(Service);
  }
  if (!oneIn(3))
    Config.m_Organisations = nextOrganisations();
  return Config;
}

std::vector<gateway::EndpointEntry> RandomDeployment::nextEndpoints() {
  std::vector<gateway::EndpointEntry> Entries;
  for (const char *const Id :
       {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}) {
    if (oneIn(6))
      continue;
    gateway::EndpointEntry Entry;
    Entry.m_Id = model::EndpointId(Id);
    Entry.m_StartedAtMs = oneIn(6) ? 2 : 1;
    Entry.m_Service = Services[static_cast<size_t>(*Id - 'a') % 3];
    Entry.m_Address = {"10.0.0.1", 80};
    Entry.m_Slots = 1 + static_cast<uint32_t>(below(3));
    Entry.m_SoftwareVersion = Versions[below(4)];
    Entry.m_Draining = oneIn(8);
    for (const char *const Model : {"m", "n"}) {
      if (Entry.m_Service == "p" || oneIn(*Model == 'm' ? 8 : 3))
        continue;
      gateway::LoadedModel Loaded{Model, {"a1"}};
      if (oneIn(3))
        Loaded.m_Adapters.emplace_back("a2");
      Entry.m_Models.push_back(Loaded);
    }
    Entries.push_back(Entry);
  }
  return Entries;
}

gateway::RelayRequest
RandomDeployment::nextRequest(model::RequestId Number, model::TimePoint Now,
                              const gateway::GatewayConfig &Config) {
  using organisations::Credential;
  gateway::RelayRequest Request;
  Request.m_Number = Number;
  Request.m_CallerRequestId = "c" + std::to_string(Number.m_Value);
  Request.m_Host = Host;
  Request.m_Path = Prefixes[oneIn(4) ? 3 : below(4)];
  // Some time was spent on reading it.
  Request.m_BeganAt = Now - (oneIn(4) ? upTo(200ms) : 0ms);
  if (oneIn(4))
    Request.m_Window = upTo(800ms);
  if (!oneIn(3)) {
    Request.m_ModelRef = {oneIn(6) ? "n" : "m", Adapters[below(5)]};
    Request.m_PromptTokens = static_cast<uint32_t>(below(3) * 2000);
    Request.m_OutputTokens = 100;
    Request.m_Prompt = {{below(8), Request.m_PromptTokens}};
  }
  if (oneIn(12)) {
    Request.m_IsResumption = true;
    Request.m_FirstAttempt = "c" + std::to_string(1 + below(Number.m_Value));
  }
  if (oneIn(4))
    Request.m_Fingerprint = below(40);
  if (!oneIn(8))
    Request.m_Credential = {
        Credential::State::Present,
        organisations::digestOf(Keys[oneIn(8) ? 3 : below(3)])};
  if (oneIn(4)) {
    gateway::ForwardingTerms Terms;
    Terms.m_ConfigVersion = Config.m_Version;
    Terms.m_RunsLeft = 1 + static_cast<uint32_t>(below(2));
    if (Config.m_Organisations)
      Terms.m_Organisation = oneIn(10) ? "" : Names[below(3)];
    if (Request.m_IsResumption)
      Terms.m_RequiredVersion = Versions[below(4)];
    Request.m_Forwarded = Terms;
    Request.m_Credential = {};
  }
  return Request;
}

gateway::PeerNotice RandomDeployment::nextNotice() {
  gateway::PeerNotice Notice;
  Notice.m_From = model::NodeId(std::string("n") + std::to_string(below(4)));
  Notice.m_Start = 1;
  Notice.m_Sequence = ++m_LastSequence;
  Notice.m_SenderIp = "10.0.1.1";
  Notice.m_ForwardingPort = oneIn(5) ? 0 : 1000;
  for (const char *const Name : Services)
    if (oneIn(4))
      Notice.m_LostServices.emplace_back(Name);
  for (const char *const Id : {"a", "b", "d", "e", "g"}) {
    const model::EndpointId Endpoint(Id);
    if (oneIn(4))
      Notice.m_Loads.push_back({Endpoint, static_cast<uint32_t>(below(3)),
                                static_cast<uint32_t>(below(2) * 3000)});
    if (oneIn(4))
      Notice.m_CopyChanges.push_back(
          {Endpoint, {"m", Adapters[below(5)]}, oneIn(3)});
  }
  return Notice;
}

} // namespace bronzepass::unit_tests
