#ifndef BRONZEPASS_CORE_ADAPTERS_FRONT_CHUNKREADER_H
#define BRONZEPASS_CORE_ADAPTERS_FRONT_CHUNKREADER_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bronzepass::core::adapters::front {

enum class ChunkState {
  MoreNeeded,
  Done,
  Malformed,
  BodyTooLarge,
  /// Extensions and trailers are longer than allowed.
  FramingTooLarge,
};

/// Reads a chunked body piece by piece. Extensions and trailers are checked,
/// counted and dropped; nothing of them is kept.
class ChunkReader {
public:
  /// \p MaxExtraBytes: for extensions, superfluous digits and trailers.
  ChunkReader(uint64_t MaxBodyBytes, uint64_t MaxExtraBytes)
      : m_BodyLeft(MaxBodyBytes), m_ExtraLeft(MaxExtraBytes) {}

  /// Bytes of \p Input that belong to chunks are appended to \p Body. Removes
  /// what was read from \p Input; what follows the body stays.
  ChunkState read(std::string_view &Input, std::string &Body);

private:
  enum class Place {
    SizeStart,
    Size,
    SizeBlank,
    Extension,
    SizeLineEnd,
    Data,
    DataReturn,
    DataLineEnd,
    TrailerStart,
    TrailerName,
    TrailerValue,
    TrailerLineEnd,
    LastLineEnd,
    End,
  };

  ChunkState readByte(unsigned char Byte);
  ChunkState readSize(unsigned char Byte);
  ChunkState readTrailer(unsigned char Byte);
  ChunkState takeExtra();
  ChunkState goTo(Place Next) {
    m_Place = Next;
    return ChunkState::MoreNeeded;
  }
  ChunkState expect(unsigned char Byte, char Wanted, Place Next) {
    return Byte == static_cast<unsigned char>(Wanted) ? goTo(Next)
                                                      : ChunkState::Malformed;
  }

  uint64_t m_BodyLeft;
  uint64_t m_ExtraLeft;
  Place m_Place = Place::SizeStart;
  uint64_t m_ChunkLeft = 0;
  size_t m_Digits = 0;
};

} // namespace bronzepass::core::adapters::front

#endif // BRONZEPASS_CORE_ADAPTERS_FRONT_CHUNKREADER_H
