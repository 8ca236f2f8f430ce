#ifndef BRONZEPASS_CORE_SETTINGS_SETTING_H
#define BRONZEPASS_CORE_SETTINGS_SETTING_H

#include "Core/Model/Address.h"
#include "Core/Model/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace bronzepass::core::settings {

/// A size in bytes; a type of its own so that "64KiB" is parsed as a size.
struct Bytes {
  uint64_t m_Value = 0;

  friend auto operator<=>(const Bytes &, const Bytes &) = default;
};

using SettingValue = std::variant<std::string, uint64_t, double, Bytes,
                                  model::Duration, model::Address>;

/// One named, typed setting of a node. A setting without a default is required.
template <typename ValueT> struct Setting {
  const char *m_Section;
  const char *m_Key;
  std::optional<ValueT> m_Default;
  /// Allowed range, both ends included; not used for strings and addresses.
  std::optional<ValueT> m_Minimum;
  std::optional<ValueT> m_Maximum;
  /// One line for docs/SETTINGS.md.
  const char *m_Description;
};

/// A setting without its type, for the table of all settings.
struct SettingInfo {
  std::string m_Section;
  std::string m_Key;
  /// Holds a value of the setting's type even if there is no default.
  SettingValue m_DefaultValue;
  bool m_HasDefault = false;
  std::optional<SettingValue> m_Minimum;
  std::optional<SettingValue> m_Maximum;
  std::string m_Description;
};

} // namespace bronzepass::core::settings

#endif // BRONZEPASS_CORE_SETTINGS_SETTING_H
