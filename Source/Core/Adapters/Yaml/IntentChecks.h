#ifndef BRONZEPASS_CORE_ADAPTERS_YAML_INTENTCHECKS_H
#define BRONZEPASS_CORE_ADAPTERS_YAML_INTENTCHECKS_H

#include "Core/Adapters/Yaml/MapReader.h"
#include "Core/Model/Intent.h"

namespace bronzepass::core::adapters::yaml {

/// Finds what no single entry shows: names given twice, references that lead
/// nowhere, artifacts that fit on no engine, path prefixes that overlap.
/// \p Document gives the places.
void checkIntent(const model::Intent &Value, const YAML::Node &Document,
                 FindingSink &Sink);

} // namespace bronzepass::core::adapters::yaml

#endif // BRONZEPASS_CORE_ADAPTERS_YAML_INTENTCHECKS_H
