#include "Core/Adapters/Front/ChunkReader.h"

#include "Core/Model/HeaderName.h"

#include <algorithm>
#include <optional>

namespace bronzepass::core::adapters::front {

namespace {

constexpr size_t MaxUsefulDigits = 16;
constexpr uint64_t Radix = 16;

std::optional<uint64_t> digitOf(unsigned char Byte) {
  if (Byte >= '0' && Byte <= '9')
    return Byte - '0';
  constexpr uint64_t Ten = 10;
  if (Byte >= 'a' && Byte <= 'f')
    return Byte - 'a' + Ten;
  if (Byte >= 'A' && Byte <= 'F')
    return Byte - 'A' + Ten;
  return std::nullopt;
}

bool isBlank(unsigned char Byte) { return Byte == ' ' || Byte == '\t'; }

/// Whether the byte may stand in an extension or in a header's value.
bool isText(unsigned char Byte) {
  constexpr unsigned char Delete = 0x7f;
  return Byte == '\t' || (Byte >= ' ' && Byte != Delete);
}

} // namespace

ChunkState ChunkReader::read(std::string_view &Input, std::string &Body) {
  while (!Input.empty()) {
    if (m_Place == Place::Data) {
      const size_t Taken =
          static_cast<size_t>(std::min<uint64_t>(m_ChunkLeft, Input.size()));
      Body.append(Input.substr(0, Taken));
      Input.remove_prefix(Taken);
      m_ChunkLeft -= Taken;
      if (m_ChunkLeft == 0)
        m_Place = Place::DataReturn;
      continue;
    }
    const ChunkState State = readByte(static_cast<unsigned char>(Input[0]));
    if (State != ChunkState::MoreNeeded)
      return State;
    Input.remove_prefix(1);
    if (m_Place == Place::End)
      return ChunkState::Done;
  }
  return ChunkState::MoreNeeded;
}

ChunkState ChunkReader::takeExtra() {
  if (m_ExtraLeft == 0)
    return ChunkState::FramingTooLarge;
  --m_ExtraLeft;
  return ChunkState::MoreNeeded;
}

ChunkState ChunkReader::readByte(unsigned char Byte) {
  switch (m_Place) {
  case Place::SizeStart:
    m_ChunkLeft = 0;
    m_Digits = 0;
    if (!digitOf(Byte))
      return ChunkState::Malformed;
    return readSize(Byte);
  case Place::Size:
  case Place::SizeBlank:
  case Place::Extension:
    return readSize(Byte);
  case Place::SizeLineEnd:
    if (m_ChunkLeft > m_BodyLeft)
      return ChunkState::BodyTooLarge;
    m_BodyLeft -= m_ChunkLeft;
    return expect(Byte, '\n',
                  m_ChunkLeft == 0 ? Place::TrailerStart : Place::Data);
  case Place::DataReturn:
    return expect(Byte, '\r', Place::DataLineEnd);
  case Place::DataLineEnd:
    return expect(Byte, '\n', Place::SizeStart);
  case Place::Data:
  case Place::End:
    return ChunkState::Malformed;
  case Place::TrailerStart:
  case Place::TrailerName:
  case Place::TrailerValue:
  case Place::TrailerLineEnd:
  case Place::LastLineEnd:
    return readTrailer(Byte);
  }
  return ChunkState::Malformed;
}

ChunkState ChunkReader::readSize(unsigned char Byte) {
  const std::optional<uint64_t> Digit = digitOf(Byte);
  if (Digit && m_Place != Place::SizeBlank && m_Place != Place::Extension) {
    if (m_ChunkLeft > ~0ULL / Radix)
      return ChunkState::Malformed;
    m_ChunkLeft = m_ChunkLeft * Radix + *Digit;
    m_Place = Place::Size;
    return ++m_Digits > MaxUsefulDigits ? takeExtra() : ChunkState::MoreNeeded;
  }
  if (Byte == '\r' && m_Place != Place::SizeBlank)
    return goTo(Place::SizeLineEnd);
  if (m_Place == Place::Extension) {
    if (!isText(Byte))
      return ChunkState::Malformed;
  } else if (Byte == ';') {
    m_Place = Place::Extension;
  } else if (isBlank(Byte)) {
    m_Place = Place::SizeBlank;
  } else {
    return ChunkState::Malformed;
  }
  return takeExtra();
}

ChunkState ChunkReader::readTrailer(unsigned char Byte) {
  switch (m_Place) {
  case Place::TrailerStart:
    if (Byte == '\r')
      return goTo(Place::LastLineEnd);
    if (!core::model::isTokenByte(Byte))
      return ChunkState::Malformed;
    m_Place = Place::TrailerName;
    return takeExtra();
  case Place::TrailerName:
    if (Byte == ':')
      m_Place = Place::TrailerValue;
    else if (!core::model::isTokenByte(Byte))
      return ChunkState::Malformed;
    return takeExtra();
  case Place::TrailerValue:
    if (Byte == '\r')
      m_Place = Place::TrailerLineEnd;
    else if (!isText(Byte))
      return ChunkState::Malformed;
    return takeExtra();
  case Place::TrailerLineEnd:
    if (Byte != '\n')
      return ChunkState::Malformed;
    m_Place = Place::TrailerStart;
    return takeExtra();
  default:
    return expect(Byte, '\n', Place::End);
  }
}

} // namespace bronzepass::core::adapters::front
