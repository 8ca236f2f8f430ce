#ifndef BRONZEPASS_CORE_SETTINGS_NODESETTINGS_H
#define BRONZEPASS_CORE_SETTINGS_NODESETTINGS_H

#include "Core/Settings/Setting.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bronzepass::core::settings {

using namespace std::chrono_literals;

// Identity of this node.
inline const Setting<std::string> NodeVm{
    "node", "vm", {}, {}, {}, "Name of this VM in the platform's list"};
inline const Setting<std::string> NodeFailureDomain{
    "node", "failure-domain", {}, {}, {}, "Failure domain of this VM"};
inline const Setting<std::string> NodeRegion{"node", "region",           {}, {},
                                             {},     "Region of this VM"};

// Listen addresses.
inline const Setting<model::Address> ListenCallers{
    "listen", "callers", {}, {}, {}, "Callers and forwarded requests"};
inline const Setting<model::Address> ListenPeers{
    "listen", "peers", {}, {}, {}, "Links from other nodes"};
inline const Setting<model::Address> ListenOperators{
    "listen", "operators",
    {},       {},
    {},       "Readiness, liveness, metrics and operators' queries"};

// The platform.
inline const Setting<model::Address> PlatformObjectApi{
    "platform", "object-api", {}, {}, {}, "The platform's object API"};
inline const Setting<std::string> PlatformNamespace{
    "platform", "namespace", "default",
    {},         {},          "Namespace that holds this deployment's objects"};
inline const Setting<uint64_t> PlatformCallsPerSecond{
    "platform", "calls-per-second",
    20,         1,
    1000,       "Most calls a second that this node makes to the object API"};

// Time-outs and periods.
inline const Setting<model::Duration> TimeoutConnect{
    "timeouts", "connect", 300ms, 1ms, 10s, "Connecting to an endpoint"};
inline const Setting<model::Duration> TimeoutFirstByte{
    "timeouts", "first-byte",
    30s,        10ms,
    600s,       "From sending a request to an endpoint to its first byte"};
inline const Setting<model::Duration> TimeoutObjectApi{
    "timeouts", "object-api", 2s, 10ms, 60s, "One call to the object API"};
inline const Setting<model::Duration> TimeoutWindow{
    "timeouts", "window", 60s,
    10ms,       3600s,    "Window of a request whose caller names none"};
inline const Setting<model::Duration> TimeoutStop{
    "timeouts", "stop",
    120s,       1s,
    3600s,      "Upper time of a graceful stop; what is left then is cut"};
inline const Setting<model::Duration> TimeoutLameDuck{
    "timeouts",
    "lame-duck",
    3s,
    0s,
    60s,
    "How long a stopping node still takes requests, so that the balancer sees "
    "that it is not ready"};
inline const Setting<model::Duration> PeriodReport{
    "periods", "report", 500ms, 50ms, 60s, "Between reports of one engine"};
// Limits.
inline const Setting<Bytes> LimitBody{
    "limits",       "body",           Bytes{1 << 20},
    Bytes{1 << 10}, Bytes{64U << 20}, "Body of one caller's request"};
inline const Setting<Bytes> LimitCallerBuffer{
    "limits",
    "caller-buffer",
    Bytes{256 << 10},
    Bytes{4 << 10},
    Bytes{64U << 20},
    "Answer kept for a caller that reads "
    "slowly before its connection is cut"};
inline const Setting<uint64_t> LimitQueueRequests{
    "limits", "queue-requests", 2000,
    1,        100000,           "Requests for one model waiting on a node"};
inline const Setting<Bytes> LimitQueueBytes{
    "limits",           "queue-bytes",
    Bytes{16U << 20},   Bytes{1 << 10},
    Bytes{1024U << 20}, "Bodies of one model's requests waiting on a node"};
inline const Setting<uint64_t> LimitReactorThreads{
    "limits", "reactor-threads", 2, 1, 64, "Threads that read from callers"};
inline const Setting<uint64_t> LimitEngineDrivers{
    "limits", "engine-drivers",
    8,        1,
    64,       "Nodes that send to one engine; others forward to one of them"};

// Logs.
inline const Setting<std::string> LogRouting{
    "logs", "routing", "info", {}, {}, "Level of routing decisions"};
inline const Setting<std::string> LogPlacement{
    "logs", "placement", "info", {}, {}, "Level of placement decisions"};
inline const Setting<std::string> LogMembership{
    "logs", "membership", "info", {}, {}, "Level of membership changes"};
inline const Setting<std::string> LogClaims{
    "logs", "claims", "info", {}, {}, "Level of claims"};
inline const Setting<std::string> LogIntent{
    "logs", "intent", "info", {}, {}, "Level of configuration changes"};

/// Every setting of an entry node other than a gateway node, in the order of
/// docs/SETTINGS.md.
const std::vector<SettingInfo> &allSettings();

/// "40s", "64KiB", "127.0.0.1:80": the value as a settings file writes it.
std::string toString(const SettingValue &Value);

/// The checked settings of one node.
class NodeSettings {
public:
  using Key = std::pair<std::string, std::string>;

  NodeSettings() = default;
  explicit NodeSettings(std::map<Key, SettingValue> Values)
      : m_Values(std::move(Values)) {}

  template <typename ValueT> ValueT get(const Setting<ValueT> &Which) const {
    auto Found = m_Values.find({Which.m_Section, Which.m_Key});
    if (Found != m_Values.end())
      return std::get<ValueT>(Found->second);
    return Which.m_Default.value_or(ValueT());
  }

  friend bool operator==(const NodeSettings &, const NodeSettings &) = default;

private:
  std::map<Key, SettingValue> m_Values;
};

} // namespace bronzepass::core::settings

#endif // BRONZEPASS_CORE_SETTINGS_NODESETTINGS_H
