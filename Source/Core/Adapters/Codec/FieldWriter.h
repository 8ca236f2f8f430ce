#ifndef BRONZEPASS_CORE_ADAPTERS_CODEC_FIELDWRITER_H
#define BRONZEPASS_CORE_ADAPTERS_CODEC_FIELDWRITER_H

#include "Core/Adapters/Codec/EnumNames.h"
#include "Core/Adapters/Codec/Fields.h"
#include "Core/Adapters/Codec/TypeTraits.h"
#include "Core/Adapters/Codec/WireFormat.h"

#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzepass::core::adapters::codec {

/// Visits the fields of a value and writes each into a JSON object.
class FieldWriter {
public:
  explicit FieldWriter(WireFormat Format) : m_Format(Format) {}

  template <typename T> void required(const char *Key, const T &Value) {
    m_Object[Key] = write(Value);
  }

  /// Omits the field if it has its default value.
  template <typename T>
  void optional(const char *Key, const std::optional<T> &Value) {
    if (Value)
      required(Key, *Value);
  }

  template <typename T> void optional(const char *Key, const T &Value) {
    if (Value != T())
      required(Key, Value);
  }

  void hash(const char *Key, uint64_t Value) { m_Object[Key] = hash(Value); }

  void optionalHash(const char *Key, uint64_t Value) { hash(Key, Value); }

  void hash(const char *Key, const std::vector<uint64_t> &Values) {
    nlohmann::json Array = nlohmann::json::array();
    for (const uint64_t Value : Values)
      Array.push_back(hash(Value));
    m_Object[Key] = std::move(Array);
  }

  /// Writes a string that need not be valid UTF-8; omits it if empty.
  void bytes(const char *Key, const std::string &Value) {
    if (Value.empty())
      return;
    if (m_Format == WireFormat::Binary)
      m_Object[Key] = nlohmann::json::binary({Value.begin(), Value.end()});
    else if (isUtf8(Value))
      m_Object[Key] = Value;
    else
      m_Object[Key] = {{"hex", boost::algorithm::hex(Value)}};
  }

  void micros(const char *Key, uint64_t Value) { m_Object[Key] = Value; }

  nlohmann::json take() { return std::move(m_Object); }

  /// Writes \p Value as one JSON object.
  template <typename T>
  static nlohmann::json writeObject(const T &Value, WireFormat Format) {
    FieldWriter Writer(Format);
    Fields<T>::visit(Writer, Value);
    return Writer.take();
  }

private:
  nlohmann::json hash(uint64_t Value) const {
    if (m_Format == WireFormat::Binary)
      return Value;
    constexpr int HexDigits = 16;
    constexpr int BitsPerDigit = 4;
    std::string Text(HexDigits, '0');
    for (int I = HexDigits - 1; I >= 0; --I, Value >>= BitsPerDigit)
      Text[I] = "0123456789abcdef"[Value & 0xF];
    return Text;
  }

  static bool isUtf8(const std::string &Value) {
    try {
      (void)nlohmann::json(Value).dump();
      return true;
    } catch (const nlohmann::json::exception &) {
      return false;
    }
  }

  template <typename T> nlohmann::json write(const T &Value) const {
    if constexpr (std::is_same_v<T, model::Duration>)
      return Value.count();
    else if constexpr (std::is_same_v<T, model::TimePoint>)
      return Value.time_since_epoch().count();
    else if constexpr (IsId<T>::value)
      return Value.str();
    else if constexpr (IsNumber<T>::value)
      return Value.m_Value;
    else if constexpr (std::is_enum_v<T>)
      return toWireName(Value);
    else if constexpr (IsVector<T>::value)
      return writeArray(Value);
    else if constexpr (std::is_arithmetic_v<T> ||
                       std::is_same_v<T, std::string>)
      return Value;
    else
      return writeObject(Value, m_Format);
  }

  template <typename ItemT>
  nlohmann::json writeArray(const std::vector<ItemT> &Values) const {
    nlohmann::json Array = nlohmann::json::array();
    for (const ItemT &Value : Values)
      Array.push_back(write(Value));
    return Array;
  }

  WireFormat m_Format;
  nlohmann::json m_Object = nlohmann::json::object();
};

} // namespace bronzepass::core::adapters::codec

#endif // BRONZEPASS_CORE_ADAPTERS_CODEC_FIELDWRITER_H
