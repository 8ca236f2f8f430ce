#include "UnitTests/Crowd/CrowdAttack.h"

namespace bronzepass::unit_tests::crowd {

namespace {

constexpr size_t Clients = 100;
constexpr size_t Returns = 2;
constexpr size_t LargeChunkBytes = 64 << 10;
constexpr size_t TrailerBytes = 1 << 20;
/// Times the limit of a body.
constexpr uint64_t Excess = 8;

std::string head(const std::string &Framing) {
  return "POST /once/crowd HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\n"
         "X-Deadline-Ms: 30000\r\n" +
         Framing + "\r\n\r\n";
}

std::string chunkedHead() { return head("Transfer-Encoding: chunked"); }

std::string chunk(size_t Size) {
  constexpr size_t MaxSize = 1 << 20;
  static_assert(LargeChunkBytes < MaxSize);
  std::string Digits;
  for (size_t Rest = Size; Rest > 0; Rest /= 16)
    Digits.insert(Digits.begin(), "0123456789abcdef"[Rest % 16]);
  return Digits + "\r\n" + std::string(Size, 'x') + "\r\n";
}

/// A chunk without its last byte.
RepeatedPiece unendedChunk(size_t Size) {
  constexpr size_t Missing = 3;
  const std::string Whole = chunk(Size);
  return {Whole.substr(0, Whole.size() - Missing), 1};
}

RepeatedPiece chunks(size_t Size, size_t Times) { return {chunk(Size), Times}; }

} // namespace

std::optional<CrowdAttack> attackNamed(const std::string &Name) {
  CrowdAttack Attack;
  Attack.m_Clients = Clients;
  Attack.m_Returns = Returns;
  const size_t LargeChunks = MaxBodyBytes / LargeChunkBytes;
  if (Name == "trailers") {
    const std::string Line = "X-Trailer: " + std::string(51, 't') + "\r\n";
    Attack.m_Stages = {{{chunkedHead() + chunk(5) + "0\r\n", 1},
                        {Line, TrailerBytes / Line.size()}}};
  } else if (Name == "announced") {
    const uint64_t Length = MaxBodyBytes * Excess;
    Attack.m_Stages = {
        {{head("Content-Length: " + std::to_string(Length)), 1},
         {std::string(LargeChunkBytes, 'x'), Length / LargeChunkBytes - 1}}};
  } else if (Name == "sent") {
    Attack.m_Stages = {
        {{chunkedHead(), 1}, chunks(LargeChunkBytes, LargeChunks)},
        {chunks(LargeChunkBytes, LargeChunks * Excess)}};
  } else if (Name == "large-chunks") {
    Attack.m_Stages = {{{chunkedHead(), 1},
                        chunks(LargeChunkBytes, LargeChunks - 1),
                        unendedChunk(LargeChunkBytes)}};
  } else if (Name == "small-chunks") {
    Attack.m_Stages = {{{chunkedHead(), 1}, chunks(1, MaxBodyBytes - 1)}};
  } else if (Name == "connections") {
    Attack.m_Clients = Clients * 3;
    Attack.m_Stages = {{{"POST /once/", 1}}};
  } else {
    return std::nullopt;
  }
  return Attack;
}

} // namespace bronzepass::unit_tests::crowd
