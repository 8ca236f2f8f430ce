#ifndef BRONZEPASS_CORE_SETTINGS_GATEWAYSETTINGS_H
#define BRONZEPASS_CORE_SETTINGS_GATEWAYSETTINGS_H

#include "Core/Settings/NodeSettings.h"

namespace bronzepass::core::settings::gateway {

using namespace std::chrono_literals;

// Identity of this node.
inline const Setting<std::string> NodeName{
    "node", "name", {}, {}, {}, "Name of this node among the system's nodes"};
inline const Setting<std::string> NodeDomain{
    "node", "failure-domain", {}, {}, {}, "Failure domain of this VM"};
inline const Setting<double> NodeCpuShare{
    "node",
    "cpu-share",
    1.0,
    0.01,
    1024.0,
    "Processor cores that this node may use; duties for the whole fleet go to "
    "the nodes with the most"};

// Listen addresses.
inline const Setting<model::Address> ListenCallers{
    "listen", "callers", {}, {}, {}, "Callers' requests"};
inline const Setting<model::Address> ListenReady{
    "listen", "ready", {}, {}, {}, "Readiness (/ready)"};
inline const Setting<model::Address> ListenPeers{
    "listen", "peers", {}, {}, {}, "Datagrams from other nodes (UDP)"};
inline const Setting<uint64_t> ListenForwardingPort{
    "listen",
    "forwarding-port",
    0,
    0,
    65535,
    "Port, at the address of `peers`, for requests that other nodes forward "
    "(TCP); 0: the next after that of `peers`"};
inline const Setting<model::Address> ListenMetrics{
    "listen", "metrics", {}, {}, {}, "Metrics (/metrics)"};

// The platform.
inline const Setting<model::Address> PlatformStore{
    "platform", "store", {}, {}, {}, "The platform's metadata store"};

// Limits that the platform guarantees or requires.
inline const Setting<double> RetryRatio{
    "retries",
    "ratio",
    0.2,
    0.0,
    10.0,
    "Sends beyond a request's first one, per request to the service, over all "
    "nodes"};
inline const Setting<double> RetrySlack{
    "retries", "slack", 10.0,
    0.0,       1e6,     "Such sends besides, in a window, over all nodes"};
inline const Setting<model::Duration> RetryWindow{
    "retries", "window", 10s, 100ms, 600s, "Window of both"};
inline const Setting<model::Duration> PlatformLeaveNotice{
    "platform",
    "leave-notice",
    2s,
    100ms,
    60s,
    "How long an endpoint still takes requests after the store has accepted "
    "that it leaves"};
inline const Setting<model::Duration> PlatformConfigNotice{
    "platform",
    "config-notice",
    2s,
    100ms,
    60s,
    "How long after the store has accepted a configuration requests may be "
    "handled by the one before"};
inline const Setting<model::Duration> PlatformContactTime{
    "platform",
    "contact-time",
    3s,
    1s,
    60s,
    "Within this time a silent connection to the store has to be noticed"};

// Requests that wait at this node.
inline const Setting<std::string> WaitingOrder{
    "waiting",
    "order",
    "rank",
    {},
    {},
    "Order of requests for engines: rank, or slack (by the time that each has "
    "left, where a higher rank has much more time than a lower one)"};

// Organisations.
inline const Setting<model::Duration> KeyRevocationTime{
    "keys",
    "revocation-time",
    0s,
    0s,
    600s,
    "A key that a configuration takes away opens nothing from so long after "
    "the store has accepted it; 0s: whenever a node learns of it"};
inline const Setting<model::Duration> QuotaWindow{
    "quotas", "window", 8s, 100ms, 600s, "Window in which quotas are judged"};
inline const Setting<double> QuotaOverage{
    "quotas",
    "overage",
    0.0,
    0.0,
    10.0,
    "Share by which an organisation may exceed its quota in a window"};
inline const Setting<double> QuotaSlack{
    "quotas",
    "slack",
    0.0,
    0.0,
    1e9,
    "What it may exceed its quota by besides, in the quota's "
    "unit"};

// Resources of this VM.
inline const Setting<Bytes> MemoryLimit{
    "memory", "limit",
    Bytes{0}, {},
    {},       "Memory that this process may use; 0B: what the system reports"};
inline const Setting<uint64_t> DescriptorLimit{
    "descriptors",
    "limit",
    0,
    0,
    1'000'000,
    "Descriptors that this process may use; 0: what the system reports"};

inline const Setting<model::Duration> LeaseTerm{
    "lease", "term", 3s, 500ms, 60s, "Term of the placement lease"};
inline const Setting<model::Duration> StopGrace{
    "stop", "grace",
    10s,    1s,
    3600s,  "From the signal to stop to the end of the process at the latest"};
inline const Setting<model::Duration> StopLameDuck{
    "stop",
    "lame-duck",
    2500ms,
    0s,
    600s,
    "How long a stopping node still takes requests, so that the balancer sees "
    "that it is not ready"};

/// Every setting of a gateway node, in the order of docs/SETTINGS.md.
const std::vector<SettingInfo> &allSettings();

} // namespace bronzepass::core::settings::gateway

#endif // BRONZEPASS_CORE_SETTINGS_GATEWAYSETTINGS_H
