#ifndef BRONZEPASS_CORE_MODEL_HEADERNAME_H
#define BRONZEPASS_CORE_MODEL_HEADERNAME_H

#include <algorithm>
#include <cctype>
#include <string_view>

namespace bronzepass::core::model {

/// Whether \p Left and \p Right name the same header, ignoring case.
inline bool isSameHeader(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](unsigned char A, unsigned char B) {
                      return std::tolower(A) == std::tolower(B);
                    });
}

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_HEADERNAME_H
