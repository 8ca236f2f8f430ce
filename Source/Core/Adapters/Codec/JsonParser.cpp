#include "Core/Adapters/Codec/JsonParser.h"

#include <algorithm>
#include <cstdint>
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

/// Whether a string comes in pieces. The library's CBOR reader recurses on a
/// piece that comes in pieces itself before it calls any handler, and nothing
/// that is read here writes such strings.
bool hasStringInPieces(std::string_view Bytes) {
  constexpr unsigned TypeShift = 5;
  constexpr unsigned BytesType = 2;
  constexpr unsigned TextType = 3;
  constexpr unsigned InfoMask = 0x1F;
  constexpr unsigned FirstWidthInfo = 24;
  constexpr unsigned LastWidthInfo = 27;
  constexpr unsigned IndefiniteInfo = 31;
  constexpr unsigned BitsPerByte = 8;
  // The items follow one another without gaps, whatever their nesting.
  while (!Bytes.empty()) {
    const unsigned Head = static_cast<unsigned char>(Bytes.front());
    Bytes.remove_prefix(1);
    const unsigned Type = Head >> TypeShift;
    const unsigned Info = Head & InfoMask;
    const bool IsString = Type == BytesType || Type == TextType;
    if (Info == IndefiniteInfo && IsString)
      return true;
    uint64_t Length = Info;
    if (Info >= FirstWidthInfo && Info != IndefiniteInfo) {
      const size_t Width = size_t{1} << (Info - FirstWidthInfo);
      // The library's reader stops here, too.
      if (Info > LastWidthInfo || Bytes.size() < Width)
        return false;
      Length = 0;
      for (const char Byte : Bytes.substr(0, Width))
        Length = (Length << BitsPerByte) | static_cast<unsigned char>(Byte);
      Bytes.remove_prefix(Width);
    }
    if (IsString)
      Bytes.remove_prefix(std::min<uint64_t>(Length, Bytes.size()));
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
  if (Binary && hasStringInPieces(Bytes)) {
    Reason = "a string comes in pieces";
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
