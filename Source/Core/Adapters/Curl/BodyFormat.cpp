#include "Core/Adapters/Curl/BodyFormat.h"

#include "Core/Model/HeaderName.h"
#include "Core/Model/HeaderValue.h"

#include <charconv>
#include <string_view>

namespace bronzepass::core::adapters::curl {

namespace {

/// The comma-separated values of all lines named \p Name.
std::vector<std::string_view> listValues(const HeaderLineList &Lines,
                                         std::string_view Name) {
  std::vector<std::string_view> Values;
  for (const auto &Line : Lines) {
    if (!model::isSameHeader(Line.first, Name))
      continue;
    const std::vector<std::string_view> Parts =
        model::splitHeaderList(Line.second);
    Values.insert(Values.end(), Parts.begin(), Parts.end());
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
