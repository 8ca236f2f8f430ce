#ifndef BRONZEPASS_CORE_CLI_FILETEXT_H
#define BRONZEPASS_CORE_CLI_FILETEXT_H

#include <optional>
#include <string>

namespace bronzepass::core::cli {

/// The content of the file at \p Path; nullopt and an error message in
/// \p Reason if it can't be read.
std::optional<std::string> readFile(const std::string &Path,
                                    std::string &Reason);

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_FILETEXT_H
