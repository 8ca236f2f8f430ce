#ifndef BRONZEPASS_CORE_ADAPTERS_YAML_INTENTCHECKS_H
#define BRONZEPASS_CORE_ADAPTERS_YAML_INTENTCHECKS_H

#include "Core/Adapters/Yaml/MapReader.h"
#include "Core/Model/Intent.h"

namespace bronzepass::core::adapters::yaml {

/// Checks an intent for faults that no single entry shows: duplicate names,
/// references to unknown objects, artifacts that fit on no engine and duplicate
/// or reserved path prefixes. \p Document supplies the positions of the
/// findings.
void checkIntent(const model::Intent &Value, const YAML::Node &Document,
                 FindingSink &Sink);

} // namespace bronzepass::core::adapters::yaml

#endif // BRONZEPASS_CORE_ADAPTERS_YAML_INTENTCHECKS_H
