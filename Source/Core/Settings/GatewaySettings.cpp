#include "Core/Settings/GatewaySettings.h"

#include "Core/Settings/SettingTable.h"

namespace bronzepass::core::settings::gateway {

const std::vector<SettingInfo> &allSettings() {
  static const std::vector<SettingInfo> All = {
      toSettingInfo(NodeName),
      toSettingInfo(NodeDomain),
      toSettingInfo(NodeCpuShare),
      toSettingInfo(ListenCallers),
      toSettingInfo(ListenReady),
      toSettingInfo(ListenPeers),
      toSettingInfo(ListenForwardingPort),
      toSettingInfo(ListenMetrics),
      toSettingInfo(PlatformStore),
      toSettingInfo(RetryRatio),
      toSettingInfo(RetrySlack),
      toSettingInfo(RetryWindow),
      toSettingInfo(PlatformLeaveNotice),
      toSettingInfo(PlatformConfigNotice),
      toSettingInfo(PlatformContactTime),
      toSettingInfo(WaitingOrder),
      toSettingInfo(KeyRevocationTime),
      toSettingInfo(QuotaWindow),
      toSettingInfo(QuotaOverage),
      toSettingInfo(QuotaSlack),
      toSettingInfo(MemoryLimit),
      toSettingInfo(DescriptorLimit),
      toSettingInfo(LeaseTerm),
      toSettingInfo(StopGrace),
      toSettingInfo(StopLameDuck),
  };
  return All;
}

} // namespace bronzepass::core::settings::gateway
