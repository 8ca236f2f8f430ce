#ifndef BRONZEPASS_CORE_ADAPTERS_YAML_SELECTOREDITOR_H
#define BRONZEPASS_CORE_ADAPTERS_YAML_SELECTOREDITOR_H

#include <optional>
#include <string>

namespace bronzepass::core::adapters::yaml {

/// An edited intent text, or nullopt with the reason for the failure.
struct TextEditResult {
  std::optional<std::string> m_Text;
  std::string m_Reason;
};

/// Inserts a selector into an intent's text and leaves every other byte,
/// comments included, unchanged. \p Body is the selector in YAML's
/// flow style without braces, e.g. "name: x, action: drain, endpoints: [e1]".
TextEditResult addSelector(const std::string &Text, const std::string &Body);

/// Removes the lines of the selector named \p Name.
TextEditResult removeSelector(const std::string &Text, const std::string &Name);

} // namespace bronzepass::core::adapters::yaml

#endif // BRONZEPASS_CORE_ADAPTERS_YAML_SELECTOREDITOR_H
