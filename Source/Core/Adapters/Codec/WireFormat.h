#ifndef BRONZEPASS_CORE_ADAPTERS_CODEC_WIREFORMAT_H
#define BRONZEPASS_CORE_ADAPTERS_CODEC_WIREFORMAT_H

#include <cstddef>
#include <cstdint>

namespace bronzepass::core::adapters::codec {

/// The encoding of values that JSON text cannot represent exactly. Text writes
/// 64-bit hashes as hexadecimal strings, since other readers of the object API
/// store numbers as doubles; Binary (CBOR) writes them as integers.
enum class WireFormat { Text, Binary };

/// The platform's object API stores values of up to one megabyte.
constexpr size_t MaxRecordBytes = 1'000'000;
/// Both sides reject a larger peer message.
constexpr size_t MaxMessageBytes = 524'288;
/// Limit of the names of nodes, endpoints, models and so on.
constexpr size_t MaxIdBytes = 256;
/// Limit of nested arrays and maps; the deepest message nests eight.
constexpr size_t MaxNesting = 16;
/// Maximum duration and time accepted, about 3,000 years, so that adding two
/// never overflows.
constexpr uint64_t MaxMicros = 100'000'000'000'000'000;

} // namespace bronzepass::core::adapters::codec

#endif // BRONZEPASS_CORE_ADAPTERS_CODEC_WIREFORMAT_H
