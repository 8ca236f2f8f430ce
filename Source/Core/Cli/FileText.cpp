#include "Core/Cli/FileText.h"

#include <cerrno>
#include <fstream>
#include <sstream>
#include <system_error>

namespace bronzepass::core::cli {

std::optional<std::string> readFile(const std::string &Path,
                                    std::string &Reason) {
  std::ifstream Stream(Path, std::ios::binary);
  if (!Stream) {
    Reason = Path + ": " + std::generic_category().message(errno);
    return std::nullopt;
  }
  std::ostringstream Text;
  Text << Stream.rdbuf();
  // A directory can be opened but not read.
  if (Stream.bad() || Text.fail()) {
    Reason = Path + ": not a readable file";
    return std::nullopt;
  }
  return Text.str();
}

} // namespace bronzepass::core::cli
