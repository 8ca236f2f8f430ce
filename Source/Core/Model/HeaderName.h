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

/// Whether the byte may stand in a header's name.
inline bool isTokenByte(unsigned char Byte) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return std::isalnum(Byte) != 0 ||
         Marks.find(static_cast<char>(Byte)) != std::string_view::npos;
}

inline bool isToken(std::string_view Name) {
  return !Name.empty() && std::all_of(Name.begin(), Name.end(), isTokenByte);
}

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_HEADERNAME_H
