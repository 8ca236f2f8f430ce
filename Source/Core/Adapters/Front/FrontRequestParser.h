#ifndef BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTREQUESTPARSER_H
#define BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTREQUESTPARSER_H

#include "Core/Adapters/Front/ChunkReader.h"
#include "Core/Adapters/Front/FrontRequest.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzepass::core::adapters::front {

/// Size limits for one request.
struct ParserLimits {
  /// For the head, with the extensions of chunks and the trailers.
  uint32_t m_MaxHeaderBytes = 16 << 10;
  uint64_t m_MaxBodyBytes = 4 << 20;

  friend auto operator<=>(const ParserLimits &, const ParserLimits &) = default;
};

/// Why a request cannot be parsed, and the HTTP status of the answer.
struct ParseError {
  int m_Status = 400;
  std::string m_Reason;

  friend auto operator<=>(const ParseError &, const ParseError &) = default;
};

enum class ParserState { Idle, Headers, Body, Complete, Failed };

/// Incremental parser for the requests of one connection. Framing that two
/// parsers could interpret differently (a length together with chunks, two
/// lengths, a bare line feed, a folded line) is an error.
class FrontRequestParser {
public:
  explicit FrontRequestParser(ParserLimits Limits);
  ~FrontRequestParser();
  FrontRequestParser(const FrontRequestParser &) = delete;
  FrontRequestParser &operator=(const FrontRequestParser &) = delete;

  /// Sets the limits for requests that start from now on.
  void setLimits(ParserLimits Limits) { m_Limits = Limits; }

  /// Parses \p Bytes up to the end of the current request; the rest is buffered
  /// for the next request.
  ParserState feed(std::string_view Bytes);

  ParserState state() const { return m_State; }
  /// Whether the caller waits for "100 Continue"; set once the headers are
  /// read.
  bool expectsContinue() const { return m_ExpectsContinue; }
  /// Returns the request; only valid in state Complete. Call feed() afterwards
  /// to parse the buffered bytes.
  FrontRequest take();
  /// Only valid in state Failed.
  const ParseError &error() const { return m_Error; }
  /// Of the current request; empty until its headers are read.
  std::vector<pistache::HttpHeader> receivedHeaders() const;

  /// Bytes that it holds at most once \p Incoming more are fed.
  uint64_t bytesHeldAfter(size_t Incoming) const;
  /// Bytes of the current request that have been fed.
  uint64_t receivedBytes() const { return m_ReceivedBytes; }
  /// Gives up the current request and all that was fed.
  void drop();

private:
  class Parser;

  void startRequest();
  ParserState fail(int Status, std::string Reason);
  bool checkHeaderLines();
  ParserState parse();
  ParserState parseHeaders();
  ParserState validateHeaders();
  /// Keeps what follows the body for the next request.
  ParserState parseBody(std::string_view Input);
  ParserState onChunks(ChunkState State);
  /// Most bytes of a chunked body that there are with \p Incoming more.
  uint64_t chunkedBytesAfter(size_t Incoming) const;
  /// Capacity of the body that holds \p Bytes.
  uint64_t bodyCapacityFor(uint64_t Bytes) const;
  void makeBodyRoom(uint64_t Bytes);

  ParserLimits m_Limits;
  std::unique_ptr<Parser> m_Parser;
  std::string m_Buffer;
  std::string m_Body;
  /// Bytes of the body that are still missing, if its length was announced.
  uint64_t m_BodyLeft = 0;
  /// Set if the body comes in chunks.
  std::optional<ChunkReader> m_Chunks;
  size_t m_HeadBytes = 0;
  uint64_t m_ReceivedBytes = 0;
  /// Number of bytes of m_Buffer that checkHeaderLines() has checked.
  size_t m_CheckedBytes = 0;
  /// Where checkHeaderLines() is in the headers of the current request.
  struct HeaderLines {
    char m_LastByte = 0;
    /// Bytes of the current line, with the carriage return.
    size_t m_LineLength = 0;
    bool m_Ended = false;
  };
  HeaderLines m_HeaderLines;
  ParserState m_State = ParserState::Idle;
  std::chrono::steady_clock::time_point m_BeganAt;
  bool m_ExpectsContinue = false;
  ParseError m_Error;
};

} // namespace bronzepass::core::adapters::front

#endif // BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTREQUESTPARSER_H
