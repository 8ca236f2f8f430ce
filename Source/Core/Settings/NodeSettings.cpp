#include "Core/Settings/NodeSettings.h"

#include "Core/Settings/SettingTable.h"

namespace bronzepass::core::settings {

namespace {

std::string formatDuration(model::Duration Value) {
  using namespace std::chrono;
  if (Value % seconds(1) == model::Duration::zero())
    return std::to_string(duration_cast<seconds>(Value).count()) + "s";
  if (Value % milliseconds(1) == model::Duration::zero())
    return std::to_string(duration_cast<milliseconds>(Value).count()) + "ms";
  return std::to_string(Value.count()) + "us";
}

std::string formatBytes(uint64_t Value) {
  static constexpr const char *Units[] = {"B", "KiB", "MiB", "GiB", "TiB"};
  size_t Unit = 0;
  while (Unit + 1 < std::size(Units) && Value != 0 && Value % 1024 == 0) {
    Value /= 1024;
    ++Unit;
  }
  return std::to_string(Value) + Units[Unit];
}

struct SettingFormatter {
  std::string operator()(const std::string &Value) const { return Value; }
  std::string operator()(uint64_t Value) const { return std::to_string(Value); }
  std::string operator()(double Value) const {
    std::string Text = std::to_string(Value);
    Text.erase(Text.find_last_not_of('0') + 1);
    return Text.back() == '.' ? Text + "0" : Text;
  }
  std::string operator()(Bytes Value) const {
    return formatBytes(Value.m_Value);
  }
  std::string operator()(model::Duration Value) const {
    return formatDuration(Value);
  }
  std::string operator()(const model::Address &Value) const {
    return Value.m_Ip + ":" + std::to_string(Value.m_Port);
  }
};

} // namespace

std::string toString(const SettingValue &Value) {
  return std::visit(SettingFormatter(), Value);
}

const std::vector<SettingInfo> &allSettings() {
  static const std::vector<SettingInfo> All = {
      toSettingInfo(NodeVm),
      toSettingInfo(NodeFailureDomain),
      toSettingInfo(NodeRegion),
      toSettingInfo(ListenCallers),
      toSettingInfo(ListenPeers),
      toSettingInfo(ListenOperators),
      toSettingInfo(PlatformObjectApi),
      toSettingInfo(PlatformNamespace),
      toSettingInfo(PlatformCallsPerSecond),
      toSettingInfo(TimeoutConnect),
      toSettingInfo(TimeoutFirstByte),
      toSettingInfo(TimeoutObjectApi),
      toSettingInfo(TimeoutWindow),
      toSettingInfo(TimeoutStop),
      toSettingInfo(TimeoutLameDuck),
      toSettingInfo(PeriodReport),
      toSettingInfo(LimitBody),
      toSettingInfo(LimitCallerBuffer),
      toSettingInfo(LimitQueueRequests),
      toSettingInfo(LimitQueueBytes),
      toSettingInfo(LimitReactorThreads),
      toSettingInfo(LimitEngineDrivers),
      toSettingInfo(LogRouting),
      toSettingInfo(LogPlacement),
      toSettingInfo(LogMembership),
      toSettingInfo(LogClaims),
      toSettingInfo(LogIntent),
  };
  return All;
}

} // namespace bronzepass::core::settings
