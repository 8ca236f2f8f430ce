#include "Core/Adapters/Curl/BodyFormat.h"

#include "Core/Model/HeaderName.h"

#include <charconv>
#include <string_view>

namespace bronzepass::core::adapters::curl {

namespace {

std::string_view trimmed(std::string_view Text) {
  constexpr std::string_view Blanks = " \t";
  const size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

/// The comma-separated values of all lines named \p Name.
std::vector<std::string_view> listValues(const HeaderLineList &Lines,
                                         std::string_view Name) {
  std::vector<std::string_view> Values;
  for (const auto &Line : Lines) {
    if (!model::isSameHeader(Line.first, Name))
      continue;
    std::string_view Rest = Line.second;
    for (size_t Comma = Rest.find(','); Comma != std::string_view::npos;
         Comma = Rest.find(',')) {
      Values.push_back(trimmed(Rest.substr(0, Comma)));
      Rest.remove_prefix(Comma + 1);
    }
    Values.push_back(trimmed(Rest));
  }
  return Values;
}

/// The last coding that changes the body; empty if there is none.
std::string_view lastTransferCoding(const HeaderLineList &Lines) {
  std::string_view Last;
  for (const std::string_view Coding : listValues(Lines, "Transfer-Encoding"))
    if (!Coding.empty() && !model::isSameHeader(Coding, "identity"))
      Last = Coding;
  return Last;
}

std::optional<uint64_t> readLength(std::string_view Text) {
  uint64_t Length = 0;
  const char *const End = Text.data() + Text.size();
  const std::from_chars_result Result =
      std::from_chars(Text.data(), End, Length);
  if (Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return Length;
}

} // namespace

std::optional<BodyFormat> readBodyFormat(const HeaderLineList &Lines,
                                         bool HasBody) {
  const std::string_view Coding = lastTransferCoding(Lines);
  if (model::isSameHeader(Coding, "chunked"))
    return BodyFormat{HasBody ? model::BodyFraming::Chunked
                              : model::BodyFraming::Length,
                      std::nullopt};
  if (!Coding.empty())
    return std::nullopt;
  BodyFormat Format;
  for (const std::string_view Text : listValues(Lines, "Content-Length")) {
    const std::optional<uint64_t> Length = readLength(Text);
    if (!Length || (Format.m_Length && *Format.m_Length != *Length))
      return std::nullopt;
    Format.m_Length = Length;
  }
  if (Format.m_Length || !HasBody)
    Format.m_Framing = model::BodyFraming::Length;
  return Format;
}

} // namespace bronzepass::core::adapters::curl
