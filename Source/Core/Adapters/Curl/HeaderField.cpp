#include "Core/Adapters/Curl/HeaderField.h"

#include "Core/Model/HeaderName.h"
#include "Core/Model/HeaderValue.h"

#include <algorithm>
#include <cstddef>

namespace bronzepass::core::adapters::curl {

namespace {

bool isControl(unsigned char Byte) {
  constexpr unsigned char FirstPrintable = 0x20;
  constexpr unsigned char Delete = 0x7f;
  return (Byte < FirstPrintable && Byte != '\t') || Byte == Delete;
}

bool isFraming(std::string_view Name) {
  return model::isSameHeader(Name, "Content-Length") ||
         model::isSameHeader(Name, "Transfer-Encoding");
}

} // namespace

std::optional<std::pair<std::string, std::string>>
readHeaderField(std::string_view Line) {
  for (const char End : {'\n', '\r'})
    if (!Line.empty() && Line.back() == End)
      Line.remove_suffix(1);
  const size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Name = Line.substr(0, Colon);
  const std::string_view Value = model::trimBlanks(Line.substr(Colon + 1));
  Name = Name.substr(0, Name.find_last_not_of(" \t") + 1);
  const bool HasBlank = Name.size() != Colon;
  if (!model::isToken(Name) || (HasBlank && isFraming(Name)) ||
      std::any_of(Value.begin(), Value.end(), isControl))
    return std::nullopt;
  return std::pair(std::string(Name), std::string(Value));
}

} // namespace bronzepass::core::adapters::curl
