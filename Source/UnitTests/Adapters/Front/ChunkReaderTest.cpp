#include "Core/Adapters/Front/ChunkReader.h"

#include <doctest/doctest.h>
#include <string>

namespace bronzepass::core::adapters::front {

namespace {

constexpr uint64_t MaxBody = 100;
constexpr uint64_t MaxExtra = 50;

struct Outcome {
  ChunkState m_State = ChunkState::MoreNeeded;
  std::string m_Body;
  std::string m_Rest;

  friend bool operator==(const Outcome &, const Outcome &) = default;
};

/// Feeds \p Bytes in pieces of \p PieceBytes.
Outcome readIn(const std::string &Bytes, size_t PieceBytes) {
  ChunkReader Reader(MaxBody, MaxExtra);
  Outcome Result;
  for (size_t At = 0; At < Bytes.size(); At += PieceBytes) {
    std::string_view Piece = std::string_view(Bytes).substr(At, PieceBytes);
    Result.m_State = Reader.read(Piece, Result.m_Body);
    if (Result.m_State == ChunkState::MoreNeeded)
      continue;
    Result.m_Rest = std::string(Piece) +
                    Bytes.substr(std::min(Bytes.size(), At + PieceBytes));
    break;
  }
  return Result;
}

} // namespace

TEST_CASE("a chunked body is read in pieces of any size, up to its end") {
  const std::string Bytes =
      "3;a=b\r\nabc\r\n0B ; x\r\n0123456789a\r\n00\r\nX-T: 1\r\n\r\nGET /";
  for (size_t Piece = 1; Piece <= Bytes.size(); ++Piece)
    CHECK(readIn(Bytes, Piece) ==
          Outcome{ChunkState::Done, "abc0123456789a", "GET /"});
}

TEST_CASE("extensions, superfluous digits and trailers share one limit") {
  const std::string Long(MaxExtra + 1, 'x');
  for (const std::string &Bytes :
       {"1;" + Long, std::string(MaxExtra + 20, '0'), "0\r\nX-T: " + Long,
        "1;" + std::string(25, 'a') +
            "\r\nx\r\n0\r\nX-T: " + std::string(28, 'a') + "\r\n"}) {
    CAPTURE(Bytes);
    CHECK(readIn(Bytes, 7).m_State == ChunkState::FramingTooLarge);
  }
  std::string Trailers = "0\r\n";
  for (int I = 0; I < 1000; ++I)
    Trailers += "a:\r\n";
  CHECK(readIn(Trailers, 16).m_State == ChunkState::FramingTooLarge);
}

TEST_CASE("chunks of one byte cost nothing beyond their bodies") {
  std::string Bytes;
  for (uint64_t I = 0; I < MaxBody; ++I)
    Bytes += "1\r\nx\r\n";
  CHECK(readIn(Bytes + "0\r\n\r\n", 16).m_State == ChunkState::Done);
  CHECK(readIn(Bytes + "1\r\nx", 16).m_State == ChunkState::BodyTooLarge);
}

TEST_CASE("chunks that two readers may see differently are malformed") {
  for (const std::string &Bytes :
       {std::string("\r\n"), std::string("-5\r\n"), std::string("0x5\r\n"),
        std::string("5\nabcde"), std::string("5 \r\n"),
        std::string("5\r\nabcdeXX"), std::string("5\r\nabcde\n"),
        std::string(";a\r\n"), std::string("5;a\nb\r\n"),
        std::string("5;a\0b\r\n", 7), std::string("5\r\rabcde"),
        std::string("FFFFFFFFFFFFFFFFF\r\n"), std::string("0\r\n\n"),
        std::string("0\r\n folded: 1\r\n"), std::string("0\r\nA B: 1\r\n"),
        std::string("0\r\nA\r\n"), std::string("0\r\nA: 1\nB: 2\r\n")}) {
    CAPTURE(Bytes);
    CHECK(readIn(Bytes, 3).m_State == ChunkState::Malformed);
  }
}

} // namespace bronzepass::core::adapters::front
