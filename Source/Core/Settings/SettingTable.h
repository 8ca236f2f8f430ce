#ifndef BRONZEPASS_CORE_SETTINGS_SETTINGTABLE_H
#define BRONZEPASS_CORE_SETTINGS_SETTINGTABLE_H

#include "Core/Settings/Setting.h"

#include <optional>

namespace bronzepass::core::settings {

template <typename ValueT>
std::optional<SettingValue> widen(const std::optional<ValueT> &Value) {
  if (!Value)
    return std::nullopt;
  return SettingValue(*Value);
}

template <typename ValueT> SettingInfo describe(const Setting<ValueT> &Which) {
  return {Which.m_Section,
          Which.m_Key,
          SettingValue(Which.m_Default.value_or(ValueT())),
          Which.m_Default.has_value(),
          widen(Which.m_Minimum),
          widen(Which.m_Maximum),
          Which.m_Description};
}

} // namespace bronzepass::core::settings

#endif // BRONZEPASS_CORE_SETTINGS_SETTINGTABLE_H
