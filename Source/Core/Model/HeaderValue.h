#ifndef BRONZEPASS_CORE_MODEL_HEADERVALUE_H
#define BRONZEPASS_CORE_MODEL_HEADERVALUE_H

#include <cstddef>
#include <string_view>
#include <vector>

namespace bronzepass::core::model {

/// \p Text without the blanks and line ends around it.
inline std::string_view trimBlanks(std::string_view Text) {
  constexpr std::string_view Blanks = " \t\r\n";
  const size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

/// The elements of a comma-separated header value; none of an empty one.
inline std::vector<std::string_view> splitHeaderList(std::string_view Text) {
  std::vector<std::string_view> Parts;
  while (!Text.empty()) {
    const size_t Comma = Text.find(',');
    Parts.push_back(trimBlanks(Text.substr(0, Comma)));
    if (Comma == std::string_view::npos)
      break;
    Text.remove_prefix(Comma + 1);
  }
  return Parts;
}

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_HEADERVALUE_H
