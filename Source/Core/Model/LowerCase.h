#ifndef BRONZEPASS_CORE_MODEL_LOWERCASE_H
#define BRONZEPASS_CORE_MODEL_LOWERCASE_H

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>

namespace bronzepass::core::model {

/// \p Text with its ASCII letters in lower case.
inline std::string lowerCase(std::string_view Text) {
  std::string Lower(Text);
  std::transform(
      Lower.begin(), Lower.end(), Lower.begin(),
      [](unsigned char C) { return static_cast<char>(std::tolower(C)); });
  return Lower;
}

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_LOWERCASE_H
