#ifndef BRONZEPASS_CORE_CLI_GENERATIONCOMMENT_H
#define BRONZEPASS_CORE_CLI_GENERATIONCOMMENT_H

#include "Core/Model/Id.h"

#include <optional>
#include <string>

namespace bronzepass::core::cli {

/// The generation in the comment that `get` writes as the first line; nullopt
/// if there is none.
std::optional<model::Generation>
parseGenerationComment(const std::string &Text);

/// The text without that first line.
std::string withoutGenerationComment(const std::string &Text);

/// The text with a first line that names generation \p Value.
std::string withGenerationComment(const std::string &Text,
                                  model::Generation Value);

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_GENERATIONCOMMENT_H
