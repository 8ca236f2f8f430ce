#include "Core/Adapters/Daemon/NodeSetup.h"

namespace bronzepass::core::adapters::daemon {

using settings::NodeSettings;

model::NodeInfo makeSelf(const NodeSettings &Settings, model::TimePoint Now) {
  const uint64_t Incarnation =
      static_cast<uint64_t>(Now.time_since_epoch().count());
  const model::VmId Vm(Settings.get(settings::NodeVm));
  return {.m_Node = model::makeNodeId(Vm, Incarnation),
          .m_Vm = Vm,
          .m_Domain =
              model::DomainId(Settings.get(settings::NodeFailureDomain)),
          .m_Region = model::RegionId(Settings.get(settings::NodeRegion)),
          .m_PeerAddress = Settings.get(settings::ListenPeers),
          .m_CallerAddress = Settings.get(settings::ListenCallers),
          .m_Incarnation = Incarnation};
}

node::NodeConfig makeNodeConfig(const NodeSettings &Settings,
                                const model::NodeInfo &Self) {
  node::NodeConfig Config;
  Config.m_Self = Self;
  const double Rate =
      static_cast<double>(Settings.get(settings::PlatformCallsPerSecond));
  Config.m_Governor.m_CallsPerSecond = Rate;
  Config.m_Governor.m_Burst = Rate;
  Config.m_Governor.m_DefaultTimeout = Settings.get(settings::TimeoutObjectApi);
  Config.m_Claims.m_StoreTimeout = Settings.get(settings::TimeoutObjectApi);
  Config.m_Placement.m_StoreTimeout = Settings.get(settings::TimeoutObjectApi);
  Config.m_Table.m_DirectNodesPerEndpoint =
      static_cast<uint32_t>(Settings.get(settings::LimitEngineDrivers));
  Config.m_ReportPeriod = Settings.get(settings::PeriodReport);
  Config.m_LameDuck = Settings.get(settings::TimeoutLameDuck);
  return Config;
}

routing::TrafficSettings makeTrafficSettings(const NodeSettings &Settings) {
  routing::TrafficSettings Traffic;
  Traffic.m_ConnectTimeout = Settings.get(settings::TimeoutConnect);
  Traffic.m_FirstByteTimeout = Settings.get(settings::TimeoutFirstByte);
  Traffic.m_QueueRequests =
      static_cast<uint32_t>(Settings.get(settings::LimitQueueRequests));
  Traffic.m_QueueBytes = Settings.get(settings::LimitQueueBytes).m_Value;
  return Traffic;
}

traffic::TrafficOptions makeTrafficOptions(const model::NodeInfo &Self) {
  return {.m_Node = Self.m_Node};
}

callers::CallerServerOptions
makeCallerServerOptions(const NodeSettings &Settings) {
  callers::CallerServerOptions Options;
  Options.m_Server.m_Address = Settings.get(settings::ListenCallers);
  Options.m_Server.m_Threads =
      static_cast<int>(Settings.get(settings::LimitReactorThreads));
  Options.m_Server.m_MaxBodyBytes = Settings.get(settings::LimitBody).m_Value;
  Options.m_Server.m_Connections.m_BufferBytes =
      Settings.get(settings::LimitCallerBuffer).m_Value;
  Options.m_Windows.m_Default = Settings.get(settings::TimeoutWindow);
  return Options;
}

pistache::HttpServerOptions
makeOperatorServerOptions(const NodeSettings &Settings) {
  pistache::HttpServerOptions Options;
  Options.m_Address = Settings.get(settings::ListenOperators);
  Options.m_Threads = 1;
  return Options;
}

object_api::ObjectApiSettings
makeObjectApiSettings(const NodeSettings &Settings) {
  return {.m_Address = Settings.get(settings::PlatformObjectApi),
          .m_Namespace = Settings.get(settings::PlatformNamespace)};
}

} // namespace bronzepass::core::adapters::daemon
