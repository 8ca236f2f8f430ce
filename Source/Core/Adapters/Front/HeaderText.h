#ifndef BRONZEPASS_CORE_ADAPTERS_FRONT_HEADERTEXT_H
#define BRONZEPASS_CORE_ADAPTERS_FRONT_HEADERTEXT_H

#include <cctype>
#include <string_view>

namespace bronzepass::core::adapters::front {

/// Whether the byte may stand in a header's name.
inline bool isTokenByte(unsigned char Byte) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return std::isalnum(Byte) != 0 ||
         Marks.find(static_cast<char>(Byte)) != std::string_view::npos;
}

} // namespace bronzepass::core::adapters::front

#endif // BRONZEPASS_CORE_ADAPTERS_FRONT_HEADERTEXT_H
