#include "Core/Gateway/ConfigDiff.h"

#include <algorithm>
#include <iomanip>
#include <limits>
#include <map>
#include <sstream>
#include <utility>

namespace bronzepass::core::gateway {

namespace {

using organisations::KeyDigest;
using organisations::OrganisationSpec;
using organisations::QuotaSpec;

/// The fields of one entry by name, as text.
using FieldTexts = std::vector<std::pair<std::string, std::string>>;

std::string text(bool Value) { return Value ? "yes" : "no"; }
std::string text(uint64_t Value) { return std::to_string(Value); }
std::string text(double Value) {
  std::ostringstream Stream;
  Stream << std::setprecision(std::numeric_limits<double>::digits10) << Value;
  return Stream.str();
}
std::string text(model::Duration Value) {
  return text(std::chrono::duration<double, std::milli>(Value).count()) + " ms";
}

std::string kindOf(const RouteSpec &Route) {
  if (Route.m_Stream)
    return "stream";
  return Route.m_Repeatable ? "repeatable" : "once";
}

std::string sharesOf(const RouteSpec &Route) {
  std::string Text;
  for (const ServiceShare &Each : Route.m_Services)
    Text += (Text.empty() ? "" : ", ") + Each.m_Service + " " +
            std::to_string(Each.m_Weight);
  return Text;
}

FieldTexts fieldsOf(const RouteSpec &Route) {
  return {{"name", Route.m_Name},
          {"services", sharesOf(Route)},
          {"kind", kindOf(Route)},
          {"resumable", text(Route.m_Resumable)},
          {"timeout", text(Route.m_Timeout)},
          {"event gap target", text(Route.m_EventGapTarget)},
          {"latency target", text(Route.m_LatencyTarget)},
          {"priority", text(uint64_t{Route.m_Priority})},
          {"attempts", text(uint64_t{Route.m_MaxAttempts})},
          {"open", text(Route.m_IsOpen)}};
}

FieldTexts fieldsOf(const ServiceSpec &Service) {
  FieldTexts Fields = {
      {"connections", text(uint64_t{Service.m_MaxConnections})},
      {"engines", text(Service.m_Engine.has_value())}};
  if (!Service.m_Engine)
    return Fields;
  const EngineSpec &Engine = *Service.m_Engine;
  Fields.emplace_back("slots", text(uint64_t{Engine.m_Slots}));
  Fields.emplace_back("cache", text(Engine.m_CacheTokens) + " tokens");
  Fields.emplace_back("weights", text(Engine.m_WeightsMb) + " MB");
  Fields.emplace_back("adapter slots", text(uint64_t{Engine.m_AdapterSlots}));
  Fields.emplace_back("loads a second", text(Engine.m_LoadsPerSecond));
  return Fields;
}

FieldTexts fieldsOf(const ServedModel &Model) {
  return {{"weights", text(Model.m_WeightsMb) + " MB"},
          {"load time", text(Model.m_LoadTime)},
          {"adapters", text(uint64_t{Model.m_AdapterCount})},
          {"adapter size", text(Model.m_AdapterMb) + " MB"}};
}

std::string quotaOf(const OrganisationSpec &Organisation) {
  if (!Organisation.m_Quota)
    return "none";
  const QuotaSpec &Quota = *Organisation.m_Quota;
  const bool CountsTokens = Quota.m_Unit == QuotaSpec::Unit::Tokens;
  return text(Quota.m_PerSecond) + (CountsTokens ? " tokens" : " requests") +
         " a second, burst " + text(Quota.m_Burst) +
         (CountsTokens ? ", plain " + std::to_string(Quota.m_PlainTokens) : "");
}

FieldTexts fieldsOf(const OrganisationSpec &Organisation) {
  return {{"priority", Organisation.m_Priority
                           ? std::to_string(*Organisation.m_Priority)
                           : "of the route"},
          {"quota", quotaOf(Organisation)}};
}

FieldTexts fieldsOf(const CallerInputLimits &Limits) {
  return {{"header bytes", text(uint64_t{Limits.m_MaxHeaderBytes})},
          {"body bytes", text(Limits.m_MaxBodyBytes)},
          {"header timeout", text(Limits.m_HeaderTimeout)},
          {"idle timeout", text(Limits.m_IdleTimeout)}};
}

std::string differences(const FieldTexts &Old, const FieldTexts &New) {
  std::string Text;
  for (const std::pair<std::string, std::string> &Each : New) {
    const auto Before =
        std::find_if(Old.begin(), Old.end(), [&](const auto &Field) {
          return Field.first == Each.first;
        });
    const std::string Was = Before == Old.end() ? "-" : Before->second;
    if (Was != Each.second)
      Text += (Text.empty() ? "" : "; ") + Each.first + ": " + Was + " -> " +
              Each.second;
  }
  return Text;
}

size_t countMissing(const std::vector<KeyDigest> &Keys,
                    const std::vector<KeyDigest> &From) {
  return static_cast<size_t>(
      std::count_if(Keys.begin(), Keys.end(), [&](const KeyDigest &Each) {
        return std::find(From.begin(), From.end(), Each) == From.end();
      }));
}

std::string keyDifferences(const OrganisationSpec &Old,
                           const OrganisationSpec &New) {
  const size_t Added = countMissing(New.m_Keys, Old.m_Keys);
  const size_t Removed = countMissing(Old.m_Keys, New.m_Keys);
  if (Added == 0 && Removed == 0)
    return {};
  return "keys: " + std::to_string(Added) + " added, " +
         std::to_string(Removed) + " taken away";
}

class Differ {
public:
  std::vector<ConfigChange> take() { return std::move(m_Changes); }

  template <typename EntryT>
  using Described = std::map<std::string, const EntryT *>;

  template <typename EntryT>
  void compare(const Described<EntryT> &Old, const Described<EntryT> &New) {
    for (const auto &Each : Old)
      if (!New.contains(Each.first))
        add("removed", Each.first, "");
    for (const auto &Each : New) {
      const auto Before = Old.find(Each.first);
      if (Before == Old.end())
        add("added", Each.first, "");
      else
        addIfChanged(Each.first, detailOf(*Before->second, *Each.second));
    }
  }

  void addIfChanged(const std::string &Subject, const std::string &Detail) {
    if (!Detail.empty())
      add("changed", Subject, Detail);
  }

private:
  template <typename EntryT>
  static std::string detailOf(const EntryT &Old, const EntryT &New) {
    return differences(fieldsOf(Old), fieldsOf(New));
  }
  static std::string detailOf(const OrganisationSpec &Old,
                              const OrganisationSpec &New) {
    const std::string Keys = keyDifferences(Old, New);
    const std::string Others = differences(fieldsOf(Old), fieldsOf(New));
    return Keys + (Keys.empty() || Others.empty() ? "" : "; ") + Others;
  }

  void add(const char *Kind, const std::string &Subject,
           const std::string &Detail) {
    m_Changes.push_back({Kind, Subject, Detail});
  }

  std::vector<ConfigChange> m_Changes;
};

Differ::Described<RouteSpec> routesOf(const GatewayConfig &Config) {
  Differ::Described<RouteSpec> Routes;
  for (const RouteSpec &Each : Config.m_Routes)
    Routes["route " + Each.m_Host + Each.m_PathPrefix] = &Each;
  return Routes;
}

Differ::Described<ServiceSpec> servicesOf(const GatewayConfig &Config) {
  Differ::Described<ServiceSpec> Services;
  for (const ServiceSpec &Each : Config.m_Services)
    Services["service " + Each.m_Name] = &Each;
  return Services;
}

Differ::Described<ServedModel> modelsOf(const GatewayConfig &Config) {
  Differ::Described<ServedModel> Models;
  for (const ServiceSpec &Service : Config.m_Services)
    if (Service.m_Engine)
      for (const ServedModel &Each : Service.m_Engine->m_Models)
        Models["model " + Each.m_Name + " of " + Service.m_Name] = &Each;
  return Models;
}

Differ::Described<OrganisationSpec>
organisationsOf(const GatewayConfig &Config) {
  Differ::Described<OrganisationSpec> Organisations;
  if (Config.m_Organisations)
    for (const OrganisationSpec &Each : *Config.m_Organisations)
      Organisations["organisation " + Each.m_Name] = &Each;
  return Organisations;
}

} // namespace

std::vector<ConfigChange> diffConfigs(const GatewayConfig &Old,
                                      const GatewayConfig &New) {
  Differ Changes;
  Changes.compare(routesOf(Old), routesOf(New));
  Changes.compare(servicesOf(Old), servicesOf(New));
  Changes.compare(modelsOf(Old), modelsOf(New));
  if (Old.m_Organisations.has_value() != New.m_Organisations.has_value())
    Changes.addIfChanged("keys", New.m_Organisations
                                     ? "callers need one from now on"
                                     : "callers need none any more");
  Changes.compare(organisationsOf(Old), organisationsOf(New));
  Changes.addIfChanged(
      "limits", differences(fieldsOf(Old.m_Limits), fieldsOf(New.m_Limits)));
  return Changes.take();
}

} // namespace bronzepass::core::gateway
