#ifndef BRONZEPASS_CORE_ADAPTERS_CODEC_FIELDREADER_H
#define BRONZEPASS_CORE_ADAPTERS_CODEC_FIELDREADER_H

#include "Core/Adapters/Codec/EnumNames.h"
#include "Core/Adapters/Codec/Fields.h"
#include "Core/Adapters/Codec/TypeTraits.h"
#include "Core/Adapters/Codec/WireFormat.h"

#include <boost/algorithm/hex.hpp>
#include <charconv>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::adapters::codec {

/// Visits the fields of a value and reads each from a JSON object. Ignores
/// unknown fields, so that a newer release can add some. Keeps the first reason
/// why the object cannot be read.
class FieldReader {
public:
  FieldReader(const nlohmann::json &Object, std::string &Reason)
      : m_Object(Object), m_Reason(Reason) {
    if (!Object.is_object())
      fail("", "an object was expected");
  }

  template <typename T> void required(const char *Key, T &Value) {
    if (const nlohmann::json *Found = find(Key))
      read(Key, *Found, Value);
    else
      fail(Key, "missing");
  }

  template <typename T>
  void optional(const char *Key, std::optional<T> &Value) {
    if (const nlohmann::json *Found = find(Key))
      read(Key, *Found, Value.emplace());
  }

  template <typename T> void optional(const char *Key, T &Value) {
    if (const nlohmann::json *Found = find(Key))
      read(Key, *Found, Value);
  }

  void hash(const char *Key, uint64_t &Value) {
    const nlohmann::json *Found = find(Key);
    if (!Found)
      return fail(Key, "missing");
    readHash(Key, *Found, Value);
  }

  void optionalHash(const char *Key, uint64_t &Value) {
    if (const nlohmann::json *Found = find(Key))
      readHash(Key, *Found, Value);
  }

  void hash(const char *Key, std::vector<uint64_t> &Values) {
    const nlohmann::json *Found = find(Key);
    if (!Found || !Found->is_array())
      return fail(Key, "an array was expected");
    Values.assign(Found->size(), 0);
    for (size_t I = 0; I < Values.size(); ++I)
      readHash(Key, (*Found)[I], Values[I]);
  }

  void bytes(const char *Key, std::string &Value) {
    const nlohmann::json *Found = find(Key);
    if (!Found)
      return;
    if (Found->is_string())
      Value = Found->get_ref<const std::string &>();
    else if (Found->is_binary())
      Value.assign(Found->get_binary().begin(), Found->get_binary().end());
    else
      readHex(Key, *Found, Value);
  }

  void micros(const char *Key, uint64_t &Value) {
    required(Key, Value);
    if (Value > MaxMicros)
      fail(Key, "out of range");
  }

  /// Reads a value from \p Object; \p Reason stays empty on success.
  template <typename T>
  static T readObject(const nlohmann::json &Object, std::string &Reason) {
    T Value;
    FieldReader Reader(Object, Reason);
    if (Reason.empty())
      Fields<T>::visit(Reader, Value);
    return Value;
  }

private:
  const nlohmann::json *find(const char *Key) const {
    const auto Found = m_Object.find(Key);
    return Found == m_Object.end() ? nullptr : &*Found;
  }

  void fail(const std::string &Key, const std::string &What) {
    if (m_Reason.empty())
      m_Reason = Key.empty() ? What : "field '" + Key + "': " + What;
  }

  void readHash(const char *Key, const nlohmann::json &Json, uint64_t &Value) {
    constexpr int Hexadecimal = 16;
    if (Json.is_number_unsigned()) {
      Value = Json.get<uint64_t>();
      return;
    }
    if (!Json.is_string())
      return fail(Key, "a hash was expected");
    const std::string &Text = Json.get_ref<const std::string &>();
    const char *End = Text.data() + Text.size();
    const std::from_chars_result Result =
        std::from_chars(Text.data(), End, Value, Hexadecimal);
    if (Result.ec != std::errc() || Result.ptr != End)
      fail(Key, "a hexadecimal hash was expected");
  }

  void readHex(const char *Key, const nlohmann::json &Json,
               std::string &Value) {
    const auto Hex = Json.is_object() ? Json.find("hex") : Json.end();
    if (Hex == Json.end() || !Hex->is_string())
      return fail(Key, "text or bytes were expected");
    try {
      Value = boost::algorithm::unhex(Hex->get_ref<const std::string &>());
    } catch (const boost::algorithm::hex_decode_error &) {
      fail(Key, "hexadecimal bytes were expected");
    }
  }

  template <typename T>
  void read(const char *Key, const nlohmann::json &Json, T &Value) {
    if constexpr (std::is_same_v<T, model::Duration>)
      Value = model::Duration(readMicros(Key, Json));
    else if constexpr (std::is_same_v<T, model::TimePoint>)
      Value = model::TimePoint(model::Duration(readMicros(Key, Json)));
    else if constexpr (IsId<T>::value)
      Value = T(readText(Key, Json, MaxIdBytes));
    else if constexpr (IsNumber<T>::value)
      readInteger(Key, Json, Value.m_Value);
    else if constexpr (std::is_enum_v<T>)
      readEnum(Key, Json, Value);
    else if constexpr (IsVector<T>::value)
      readArray(Key, Json, Value);
    else if constexpr (std::is_same_v<T, bool>)
      readBool(Key, Json, Value);
    else if constexpr (std::is_floating_point_v<T>)
      readReal(Key, Json, Value);
    else if constexpr (std::is_integral_v<T>)
      readInteger(Key, Json, Value);
    else if constexpr (std::is_same_v<T, std::string>)
      Value = readText(Key, Json, MaxRecordBytes);
    else
      Value = readObject<T>(Json, m_Reason);
  }

  uint64_t readMicros(const char *Key, const nlohmann::json &Json) {
    uint64_t Value = 0;
    readInteger(Key, Json, Value);
    if (Value <= MaxMicros)
      return Value;
    fail(Key, "out of range");
    return 0;
  }

  std::string readText(const char *Key, const nlohmann::json &Json,
                       size_t MaxBytes) {
    if (!Json.is_string()) {
      fail(Key, "text was expected");
      return {};
    }
    const std::string &Text = Json.get_ref<const std::string &>();
    if (Text.size() > MaxBytes) {
      fail(Key, "too long");
      return {};
    }
    return Text;
  }

  template <typename T>
  void readInteger(const char *Key, const nlohmann::json &Json, T &Value) {
    if (!Json.is_number_unsigned())
      return fail(Key, "a non-negative integer was expected");
    const uint64_t Wide = Json.get<uint64_t>();
    if (Wide > std::numeric_limits<T>::max())
      return fail(Key, "out of range");
    Value = static_cast<T>(Wide);
  }

  void readReal(const char *Key, const nlohmann::json &Json, double &Value) {
    if (!Json.is_number() || !std::isfinite(Json.get<double>()))
      return fail(Key, "a finite number was expected");
    Value = Json.get<double>();
  }

  void readBool(const char *Key, const nlohmann::json &Json, bool &Value) {
    if (!Json.is_boolean())
      return fail(Key, "true or false was expected");
    Value = Json.get<bool>();
  }

  template <typename EnumT>
  void readEnum(const char *Key, const nlohmann::json &Json, EnumT &Value) {
    const std::optional<EnumT> Found =
        fromWireName<EnumT>(readText(Key, Json, MaxIdBytes));
    if (!Found)
      return fail(Key, "unknown value");
    Value = *Found;
  }

  template <typename ItemT>
  void readArray(const char *Key, const nlohmann::json &Json,
                 std::vector<ItemT> &Values) {
    if (!Json.is_array())
      return fail(Key, "an array was expected");
    Values.resize(Json.size());
    for (size_t I = 0; I < Values.size() && m_Reason.empty(); ++I)
      read(Key, Json[I], Values[I]);
  }

  const nlohmann::json &m_Object;
  std::string &m_Reason;
};

} // namespace bronzepass::core::adapters::codec

#endif // BRONZEPASS_CORE_ADAPTERS_CODEC_FIELDREADER_H
