#ifndef BRONZEPASS_CORE_ADAPTERS_YAML_SETTINGSREADER_H
#define BRONZEPASS_CORE_ADAPTERS_YAML_SETTINGSREADER_H

#include "Core/Model/Finding.h"
#include "Core/Settings/NodeSettings.h"

#include <optional>
#include <string>

namespace bronzepass::core::adapters::yaml {

/// A node's settings, set only if there are no errors, and all findings.
struct SettingsReadResult {
  std::optional<settings::NodeSettings> m_Settings;
  model::FindingList m_Findings;
};

/// Reads the text of a settings file that may hold the settings in \p Table.
/// \p FileName is the file named in findings.
SettingsReadResult readSettings(
    const std::string &Text, const std::string &FileName,
    const std::vector<settings::SettingInfo> &Table = settings::allSettings());

} // namespace bronzepass::core::adapters::yaml

#endif // BRONZEPASS_CORE_ADAPTERS_YAML_SETTINGSREADER_H
