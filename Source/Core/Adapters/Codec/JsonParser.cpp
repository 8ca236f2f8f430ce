#include "Core/Adapters/Codec/JsonParser.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bronzepass::core::adapters::codec {

namespace {

/// Scans a document without building it and stops at the nesting limit, since
/// the library's CBOR reader recurses once per level.
class NestingCheck : public nlohmann::json_sax<nlohmann::json> {
public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t &) override { return true; }
  bool string(string_t &) override { return true; }
  bool binary(binary_t &) override { return true; }
  bool key(string_t &) override { return true; }
  bool start_object(size_t) override { return enter(); }
  bool end_object() override { return leave(); }
  bool start_array(size_t) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(size_t, const std::string &,
                   const nlohmann::json::exception &Error) override {
    m_Reason = Error.what();
    return false;
  }

  const std::string &reason() const { return m_Reason; }

private:
  bool enter() {
    if (++m_Depth <= MaxNesting)
      return true;
    m_Reason = "nested too deeply";
    return false;
  }

  bool leave() {
    --m_Depth;
    return true;
  }

  size_t m_Depth = 0;
  std::string m_Reason;
};

/// Detects a long run of heads of indefinite-length strings. The library's CBOR
/// reader recurses once per head in the run before it calls any handler.
bool hasLongHeadRun(std::string_view Bytes) {
  constexpr char TextHead = 0x7F;
  constexpr char BytesHead = 0x5F;
  constexpr size_t MaxRun = 4096;
  size_t Run = 0;
  for (const char Byte : Bytes) {
    Run = Byte == TextHead || Byte == BytesHead ? Run + 1 : 0;
    if (Run > MaxRun)
      return true;
  }
  return false;
}

} // namespace

std::optional<nlohmann::json> parseJson(std::string_view Bytes,
                                        WireFormat Format, size_t MaxBytes,
                                        std::string &Reason) {
  const bool Binary = Format == WireFormat::Binary;
  if (Bytes.size() > MaxBytes) {
    Reason = "larger than " + std::to_string(MaxBytes) + " bytes";
    return std::nullopt;
  }
  if (Binary && hasLongHeadRun(Bytes)) {
    Reason = "nested too deeply";
    return std::nullopt;
  }
  try {
    NestingCheck Check;
    const nlohmann::json::input_format_t Input =
        Binary ? nlohmann::json::input_format_t::cbor
               : nlohmann::json::input_format_t::json;
    if (!nlohmann::json::sax_parse(Bytes.begin(), Bytes.end(), &Check, Input)) {
      Reason = Check.reason();
      return std::nullopt;
    }
    return Binary ? nlohmann::json::from_cbor(Bytes.begin(), Bytes.end())
                  : nlohmann::json::parse(Bytes.begin(), Bytes.end());
  } catch (const std::exception &Error) {
    Reason = Error.what();
    return std::nullopt;
  }
}

} // namespace bronzepass::core::adapters::codec
