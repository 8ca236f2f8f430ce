#ifndef BRONZEPASS_CORE_ADAPTERS_CODEC_WIREFORMAT_H
#define BRONZEPASS_CORE_ADAPTERS_CODEC_WIREFORMAT_H

#include <cstddef>
#include <cstdint>

namespace bronzepass::core::adapters::codec {

/// How values that JSON text cannot carry exactly are written. Text writes
/// 64-bit hashes as hexadecimal strings, since other readers of the object API
/// keep numbers as doubles; Binary (CBOR) writes them as integers.
enum class WireFormat { Text, Binary };

/// The platform's object API holds values up to a megabyte.
constexpr size_t MaxRecordBytes = 1'000'000;
/// A peer message past this is refused by both sides.
constexpr size_t MaxMessageBytes = 524'288;
/// Names of nodes, endpoints, models and the like.
constexpr size_t MaxIdBytes = 256;
/// Arrays and maps inside one another; the deepest message uses eight.
constexpr size_t MaxNesting = 16;
/// Greatest span and time accepted, so that adding two never overflows:
/// about 3,000 years.
constexpr uint64_t MaxMicros = 100'000'000'000'000'000;

} // namespace bronzepass::core::adapters::codec

#endif // BRONZEPASS_CORE_ADAPTERS_CODEC_WIREFORMAT_H
