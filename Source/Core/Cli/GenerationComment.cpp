#include "Core/Cli/GenerationComment.h"

#include <charconv>

namespace bronzepass::core::cli {

namespace {

const std::string Prefix = "# bronzepass generation ";

} // namespace

std::optional<model::Generation>
parseGenerationComment(const std::string &Text) {
  if (Text.rfind(Prefix, 0) != 0)
    return std::nullopt;
  model::Generation Value;
  const char *Begin = Text.data() + Prefix.size();
  const char *End = Text.data() + Text.size();
  const std::from_chars_result Parsed =
      std::from_chars(Begin, End, Value.m_Value);
  if (Parsed.ec != std::errc())
    return std::nullopt;
  return Value;
}

std::string withoutGenerationComment(const std::string &Text) {
  if (Text.rfind(Prefix, 0) != 0)
    return Text;
  const size_t End = Text.find('\n');
  return End == std::string::npos ? std::string() : Text.substr(End + 1);
}

std::string withGenerationComment(const std::string &Text,
                                  model::Generation Value) {
  return Prefix + std::to_string(Value.m_Value) + "\n" + Text;
}

} // namespace bronzepass::core::cli
