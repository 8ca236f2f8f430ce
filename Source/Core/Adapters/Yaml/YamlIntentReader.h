#ifndef BRONZEPASS_CORE_ADAPTERS_YAML_YAMLINTENTREADER_H
#define BRONZEPASS_CORE_ADAPTERS_YAML_YAMLINTENTREADER_H

#include "Core/Ports/Ports.h"

#include <string>

namespace bronzepass::core::adapters::yaml {

/// Reads and checks an intent's YAML text. Reports all findings together, each
/// with its position.
class YamlIntentReader : public ports::IntentReader {
public:
  ports::IntentReadResult read(const std::string &Text,
                               const std::string &FileName) const override;
};

} // namespace bronzepass::core::adapters::yaml

#endif // BRONZEPASS_CORE_ADAPTERS_YAML_YAMLINTENTREADER_H
