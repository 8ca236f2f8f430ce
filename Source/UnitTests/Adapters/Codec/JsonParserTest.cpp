#include "Core/Adapters/Codec/JsonParser.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <string>

namespace bronzepass::unit_tests::adapters::codec {

using namespace core::adapters::codec;

namespace {

constexpr size_t MaxBytes = 8 << 20;

std::optional<nlohmann::json> parse(const std::string &Bytes,
                                    std::string &Reason) {
  return parseJson(Bytes, WireFormat::Binary, MaxBytes, Reason);
}

std::string repeat(const std::string &Text, size_t Count) {
  std::string Repeated;
  for (size_t I = 0; I < Count; ++I)
    Repeated += Text;
  return Repeated;
}

} // namespace

// Guards against one message that exhausts the stack of the node that reads it:
// pieces of strings that come in pieces, each behind an empty piece.
TEST_CASE("JsonParser: refuses strings in pieces, however they are nested") {
  constexpr size_t Deep = 2 << 20;
  for (const std::string Pair : {"\x7f\x60", "\x5f\x40"}) {
    for (const std::string Before : {"", "\xa1", "\x82\x01", "\x9f\x61\x7f"}) {
      std::string Reason;
      CHECK_FALSE(parse(Before + repeat(Pair, Deep), Reason));
      CHECK(Reason == "a string comes in pieces");
    }
  }
}

// Guards against strings, byte strings and numbers that are refused because
// their content looks like the head of a string in pieces.
TEST_CASE("JsonParser: reads any content of strings and numbers") {
  const nlohmann::json Written = {
      {"text", repeat("\x7f\x5f", 5000)},
      {"short", "\x7f"},
      {"bytes",
       nlohmann::json::binary(std::vector<uint8_t>(70000, uint8_t{0x7F}))},
      {"list", {0x7F, 0x7F7F, 0x7F7F7F7FU, 0x7F5F7F5F7F5F7F5FULL, -0x7F5F}},
      {"real", 1.5e300},
      {"flags", {true, false, nullptr}}};
  std::string Bytes;
  nlohmann::json::to_cbor(Written, Bytes);
  std::string Reason;
  const std::optional<nlohmann::json> Read = parse(Bytes, Reason);
  REQUIRE(Read);
  CHECK(*Read == Written);
}

} // namespace bronzepass::unit_tests::adapters::codec
