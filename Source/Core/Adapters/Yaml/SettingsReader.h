#ifndef BRONZEPASS_CORE_ADAPTERS_YAML_SETTINGSREADER_H
#define BRONZEPASS_CORE_ADAPTERS_YAML_SETTINGSREADER_H

#include "Core/Model/Finding.h"
#include "Core/Settings/NodeSettings.h"

#include <optional>
#include <string>

namespace bronzepass::core::adapters::yaml {

/// A node's settings where they have no errors, and all findings.
struct SettingsReadResult {
  std::optional<settings::NodeSettings> m_Settings;
  model::FindingList m_Findings;
};

/// Reads a settings file's text by the settings of \p Table; \p FileName
/// stands in the findings.
SettingsReadResult readSettings(
    const std::string &Text, const std::string &FileName,
    const std::vector<settings::SettingInfo> &Table = settings::allSettings());

} // namespace bronzepass::core::adapters::yaml

#endif // BRONZEPASS_CORE_ADAPTERS_YAML_SETTINGSREADER_H
