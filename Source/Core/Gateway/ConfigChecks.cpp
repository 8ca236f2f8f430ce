#include "Core/Gateway/ConfigChecks.h"

#include "Core/Model/LowerCase.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace bronzepass::core::gateway {

namespace {

using model::Severity;
using organisations::KeyDigest;
using organisations::OrganisationSpec;
using organisations::QuotaSpec;

std::string hostKey(const std::string &Host) {
  return model::lowerCase(Host.substr(0, Host.find(':')));
}

class Checker {
public:
  explicit Checker(const GatewayConfig &Config) : m_Config(Config) {
    for (const ServiceSpec &Each : m_Config.m_Services)
      if (!m_Services.insert(Each.m_Name).second)
        error("service " + Each.m_Name, "is declared twice");
  }

  model::FindingList check() {
    checkServices();
    checkRoutes();
    checkOrganisations();
    return std::move(m_Findings);
  }

private:
  void add(Severity Level, const std::string &Place, std::string Message) {
    m_Findings.push_back({Level, {Place, 0, 0}, std::move(Message)});
  }
  void error(const std::string &Place, std::string Message) {
    add(Severity::Error, Place, std::move(Message));
  }
  void warn(const std::string &Place, std::string Message) {
    add(Severity::Warning, Place, std::move(Message));
  }

  void checkServices() {
    for (const ServiceSpec &Each : m_Config.m_Services)
      if (Each.m_Engine)
        checkEngine("service " + Each.m_Name, *Each.m_Engine);
  }

  void checkEngine(const std::string &Place, const EngineSpec &Engine) {
    std::set<std::string> Names;
    for (const ServedModel &Model : Engine.m_Models) {
      if (!Names.insert(Model.m_Name).second)
        error(Place, "model " + Model.m_Name + " is declared twice");
      // A model's size was rounded up, an engine's memory down.
      if (Model.m_WeightsMb > Engine.m_WeightsMb + 1)
        error(Place, "model " + Model.m_Name +
                         " is larger than an engine's memory for weights");
      if (Model.m_AdapterCount > 0 && Engine.m_AdapterSlots == 0)
        warn(Place, "model " + Model.m_Name +
                        " has adapters, but an engine has no place for one");
    }
    if (!Engine.m_Models.empty() && Engine.m_LoadsPerSecond <= 0)
      warn(Place, "no load from the weight store is allowed");
  }

  void checkRoutes() {
    // By host and prefix, as RouteTable finds them.
    std::map<std::pair<std::string, std::string>, std::string> Seen;
    for (const RouteSpec &Route : m_Config.m_Routes) {
      const std::string Place = placeOf(Route);
      const auto First = Seen.emplace(
          std::pair(hostKey(Route.m_Host), Route.m_PathPrefix), Place);
      if (!First.second)
        warn(First.first->second,
             "never matches: a later route has its host and prefix");
      First.first->second = Place;
      checkPrefix(Place, Route.m_PathPrefix);
      checkTargets(Place, Route);
      checkTimes(Place, Route);
      checkKeys(Place, Route);
    }
  }

  static std::string placeOf(const RouteSpec &Route) {
    return "route " + (Route.m_Name.empty() ? Route.m_Host + Route.m_PathPrefix
                                            : Route.m_Name);
  }

  void checkPrefix(const std::string &Place, const std::string &Prefix) {
    if (Prefix.empty() || Prefix.front() != '/' || Prefix.back() != '/')
      warn(Place, "never matches: its prefix does not begin and end with a "
                  "slash");
  }

  void checkTargets(const std::string &Place, const RouteSpec &Route) {
    uint64_t WeightSum = 0;
    for (const ServiceShare &Share : Route.m_Services) {
      WeightSum += Share.m_Weight;
      if (!m_Services.contains(Share.m_Service))
        error(Place, "no service is called " + Share.m_Service);
    }
    if (WeightSum == 0) {
      warn(Place, "all weights are 0: the first service gets every request");
      return;
    }
    for (const ServiceShare &Share : Route.m_Services)
      if (Share.m_Weight == 0)
        warn(Place, "service " + Share.m_Service +
                        " gets no request: its weight is 0");
  }

  void checkTimes(const std::string &Place, const RouteSpec &Route) {
    if (Route.m_Timeout.count() > 0 && Route.m_LatencyTarget > Route.m_Timeout)
      warn(Place, "its latency target is longer than its timeout");
    if (Route.m_Stream && Route.m_Timeout.count() > 0 &&
        Route.m_EventGapTarget > Route.m_Timeout)
      warn(Place, "its event gap target is longer than its timeout");
    if (!Route.m_Stream && Route.m_EventGapTarget.count() > 0)
      warn(Place, "has an event gap target, but no stream");
    if (Route.m_Resumable && !Route.m_Stream)
      warn(Place, "may be resumed, but is no stream");
  }

  void checkKeys(const std::string &Place, const RouteSpec &Route) {
    if (Route.m_IsOpen && !m_Config.m_Organisations)
      warn(Place, "is open to callers without a key, but no organisation is "
                  "declared, so that nobody needs one");
    const bool HasKeys =
        m_Config.m_Organisations &&
        std::any_of(
            m_Config.m_Organisations->begin(), m_Config.m_Organisations->end(),
            [](const OrganisationSpec &Each) { return !Each.m_Keys.empty(); });
    if (m_Config.m_Organisations && !HasKeys && !Route.m_IsOpen)
      error(Place, "nobody can use it: it needs a key, and no organisation "
                   "has one");
  }

  void checkOrganisations() {
    if (!m_Config.m_Organisations)
      return;
    std::set<std::string> Names;
    std::map<KeyDigest, std::string> Holders;
    for (const OrganisationSpec &Each : *m_Config.m_Organisations) {
      const std::string Place = "organisation " + Each.m_Name;
      if (!Names.insert(Each.m_Name).second)
        error(Place, "is declared twice");
      if (Each.m_Keys.empty())
        warn(Place, "has no key: nobody can send requests for it");
      for (const KeyDigest &Key : Each.m_Keys) {
        const auto Holder = Holders.emplace(Key, Each.m_Name);
        if (!Holder.second && Holder.first->second == Each.m_Name)
          warn(Place, "holds a key twice");
        else if (!Holder.second)
          error(Place,
                "holds a key that " + Holder.first->second + " holds already");
      }
      if (Each.m_Quota)
        checkQuota(Place, *Each.m_Quota);
    }
  }

  void checkQuota(const std::string &Place, const QuotaSpec &Quota) {
    const bool CountsTokens = Quota.m_Unit == QuotaSpec::Unit::Tokens;
    const double Most = std::max(Quota.m_Burst, Quota.m_PerSecond);
    if (!CountsTokens && Most < 1)
      warn(Place, "its quota never holds a whole request: both rate and burst "
                  "are under 1");
    if (CountsTokens && Most < Quota.m_PlainTokens)
      warn(Place, "its quota never holds a request without a token count: rate "
                  "and burst are under what such a request counts");
    if (CountsTokens && Quota.m_PlainTokens == 0)
      warn(Place, "requests without a token count are not limited");
    if (Quota.m_Burst < Quota.m_PerSecond)
      warn(Place, "its burst is under the rate of one second, so that requests "
                  "that come together are refused below the rate");
  }

  const GatewayConfig &m_Config;
  std::set<std::string> m_Services;
  model::FindingList m_Findings;
};

} // namespace

model::FindingList checkConfig(const GatewayConfig &Config) {
  return Checker(Config).check();
}

} // namespace bronzepass::core::gateway
