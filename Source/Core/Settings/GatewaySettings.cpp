#include "Core/Settings/GatewaySettings.h"

#include "Core/Settings/SettingTable.h"

namespace bronzepass::core::settings::gateway {

const std::vector<SettingInfo> &allSettings() {
  static const std::vector<SettingInfo> All = {
      describe(NodeName),      describe(NodeDomain),  describe(ListenCallers),
      describe(ListenReady),   describe(ListenPeers), describe(ListenMetrics),
      describe(PlatformStore), describe(RetryRatio),  describe(RetrySlack),
      describe(RetryWindow),   describe(LeaseTerm),   describe(StopGrace),
      describe(StopLameDuck),
  };
  return All;
}

} // namespace bronzepass::core::settings::gateway
