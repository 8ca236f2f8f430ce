#include "UnitTests/Crowd/EndlessAnswer.h"

#include <array>
#include <cstdio>

namespace bronzepass::unit_tests::crowd {

namespace {

constexpr size_t PieceBytes = 4 << 10;
/// Just below the limits of a head, an event and a failure's body, and of an
/// answer that is collected.
constexpr size_t HeldBytes = 60 << 10;
constexpr size_t CollectedBytes = 124 << 10;

std::string asChunk(const std::string &Text) {
  std::array<char, 16> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", Text.size());
  return Size.data() + Text + "\r\n";
}

/// Header lines of a few bytes each, with names of their own.
std::string shortLines() {
  std::string Lines;
  for (int Number = 0; Lines.size() < HeldBytes; ++Number)
    Lines += std::to_string(Number) + ":\r\n";
  return Lines;
}

/// As many as a head may have, and nearly as long.
std::string manyLines() {
  constexpr int Count = 240;
  std::string Lines;
  for (int Number = 0; Number < Count; ++Number)
    Lines += "X-" + std::to_string(Number) + ": " +
             std::string(HeldBytes / Count - 10, 'a') + "\r\n";
  return Lines;
}

} // namespace

std::vector<EndlessAnswer> endlessAnswers(const std::string &Name) {
  const std::string Padding(PieceBytes, 'a');
  const std::string Line = "X-Padding: " + std::string(1000, 'a') + "\r\n";
  const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Event = "id: 2\ndata: x\n\n";
  const std::string Early = "HTTP/1.1 103 Early Hints\r\n\r\n";
  const size_t Held = HeldBytes / PieceBytes;
  const std::string Resumes = "Last-Event-Id: 1\r\n";
  const std::vector<EndlessAnswer> All = {
      {"silence", "/once/x"},
      {"status-line", "/once/x", "", false, "HTTP/1.1 200 ", Padding, Held},
      {"header-lines", "/once/x", "", false, "HTTP/1.1 200 OK\r\n", Line,
       HeldBytes / Line.size()},
      {"short-lines", "/once/x", "", false,
       "HTTP/1.1 200 OK\r\n" + shortLines(), "a:\r\n"},
      {"header-line", "/once/x", "", false, "HTTP/1.1 200 OK\r\nX: ", Padding,
       Held},
      {"interim", "/again/x", "", false, "", Early, HeldBytes / Early.size()},
      {"head-and-body", "/once/x", "", true, manyLines() + Chunked,
       asChunk(Padding), CollectedBytes / PieceBytes},
      {"body", "/once/x", "", true, Chunked, asChunk(Padding),
       CollectedBytes / PieceBytes},
      {"failure", "/once/x", "", false,
       "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n",
       asChunk(Padding), Held},
      {"chunk-size", "/once/x", "", true, Chunked, "0000"},
      {"chunk-extension", "/once/x", "", true, Chunked + "1;", Padding, Held},
      {"trailers", "/once/x", "", true, Chunked + "0\r\n", Line,
       HeldBytes / Line.size()},
      {"event", "/live/x", "", true, Chunked,
       asChunk("data: " + Padding + "\n"), Held - 1},
      {"event-line", "/live/x", "", true, Chunked, asChunk(Padding), Held},
      {"later-event", "/live/x", "", true, Chunked + asChunk(Event),
       asChunk("data: " + Padding + "\n"), Held - 1},
      {"resumed-event", "/resume/x", Resumes, true, Chunked + asChunk(Event),
       asChunk(Padding), Held},
      {"empty-lines", "/live/x", "", true, Chunked + asChunk(Event),
       asChunk(std::string(PieceBytes, '\n')), Held},
      {"behind", "/once/x", "", true, "Content-Length: 2\r\n\r\nok", Padding,
       Held, false, false, true},
      {"unasked", "/once/x", "", false, "", Padding, Held, true},
      {"unread", "/once/x", "", true, Chunked, asChunk(Padding),
       CollectedBytes / PieceBytes, false, true},
      {"unread-stream", "/live/x", "", true, Chunked,
       asChunk("id: 2\ndata: " + Padding + "\n\n"), Held, false, true},
  };
  std::vector<EndlessAnswer> Named;
  for (const EndlessAnswer &Each : All)
    if (Name == "all" || Name == Each.m_Name ||
        (Name == "others" && Each.m_Name != std::string("empty-lines") &&
         Each.m_Name != std::string("header-lines") &&
         Each.m_Name != std::string("status-line")))
      Named.push_back(Each);
  return Named;
}

} // namespace bronzepass::unit_tests::crowd
