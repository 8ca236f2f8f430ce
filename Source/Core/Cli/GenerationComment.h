#ifndef BRONZEPASS_CORE_CLI_GENERATIONCOMMENT_H
#define BRONZEPASS_CORE_CLI_GENERATIONCOMMENT_H

#include "Core/Model/Id.h"

#include <optional>
#include <string>

namespace bronzepass::core::cli {

/// The generation that the text's first line names, as `get` wrote it.
std::optional<model::Generation> generationComment(const std::string &Text);

/// The text without that line.
std::string withoutGenerationComment(const std::string &Text);

/// The text with a first line that names \p Value.
std::string withGenerationComment(const std::string &Text,
                                  model::Generation Value);

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_GENERATIONCOMMENT_H
