#ifndef BRONZEPASS_CORE_ADAPTERS_YAML_SELECTOREDITOR_H
#define BRONZEPASS_CORE_ADAPTERS_YAML_SELECTOREDITOR_H

#include <optional>
#include <string>

namespace bronzepass::core::adapters::yaml {

/// An edited intent text, or nothing with the last reason.
struct TextEditResult {
  std::optional<std::string> m_Text;
  std::string m_Reason;
};

/// Adds a selector to an intent's text as an operator would write it, leaving
/// every other byte (comments too) as it is. \p Body is the selector in YAML's
/// flow style without braces, e.g. "name: x, action: drain, endpoints: [e1]".
TextEditResult addSelector(const std::string &Text, const std::string &Body);

/// Removes the selector named \p Name with the lines it stands on.
TextEditResult removeSelector(const std::string &Text, const std::string &Name);

} // namespace bronzepass::core::adapters::yaml

#endif // BRONZEPASS_CORE_ADAPTERS_YAML_SELECTOREDITOR_H
