#ifndef BRONZEPASS_CORE_CLI_FILETEXT_H
#define BRONZEPASS_CORE_CLI_FILETEXT_H

#include <optional>
#include <string>

namespace bronzepass::core::cli {

/// The whole text of the file at \p Path, or nothing with the last reason in
/// \p Reason.
std::optional<std::string> readFile(const std::string &Path,
                                    std::string &Reason);

} // namespace bronzepass::core::cli

#endif // BRONZEPASS_CORE_CLI_FILETEXT_H
