#ifndef BRONZEPASS_CORE_SETTINGS_SETTINGTABLE_H
#define BRONZEPASS_CORE_SETTINGS_SETTINGTABLE_H

#include "Core/Settings/Setting.h"

#include <optional>

namespace bronzepass::core::settings {

template <typename ValueT>
std::optional<SettingValue> toSettingValue(const std::optional<ValueT> &Value) {
  if (!Value)
    return std::nullopt;
  return SettingValue(*Value);
}

template <typename ValueT>
SettingInfo toSettingInfo(const Setting<ValueT> &Which) {
  return {Which.m_Section,
          Which.m_Key,
          SettingValue(Which.m_Default.value_or(ValueT())),
          Which.m_Default.has_value(),
          toSettingValue(Which.m_Minimum),
          toSettingValue(Which.m_Maximum),
          Which.m_Description};
}

} // namespace bronzepass::core::settings

#endif // BRONZEPASS_CORE_SETTINGS_SETTINGTABLE_H
