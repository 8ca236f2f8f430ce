#ifndef BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTREQUESTPARSER_H
#define BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTREQUESTPARSER_H

#include "Core/Adapters/Front/FrontRequest.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bronzepass::core::adapters::front {

/// What one request may take up.
struct ParserLimits {
  uint32_t m_MaxHeaderBytes = 16 << 10;
  uint64_t m_MaxBodyBytes = 4 << 20;

  friend auto operator<=>(const ParserLimits &, const ParserLimits &) = default;
};

/// Why a request can't be read; its HTTP status is m_Status.
struct ParseError {
  int m_Status = 400;
  std::string m_Reason;

  friend auto operator<=>(const ParseError &, const ParseError &) = default;
};

enum class ParserState { Idle, Headers, Body, Complete, Failed };

/// Reads requests one after another from the bytes of one connection. Framing
/// that two parsers could understand in two ways (a length beside chunks,
/// two lengths, a bare line feed, a folded line) is a fault.
class FrontRequestParser {
public:
  explicit FrontRequestParser(ParserLimits Limits);
  ~FrontRequestParser();
  FrontRequestParser(const FrontRequestParser &) = delete;
  FrontRequestParser &operator=(const FrontRequestParser &) = delete;

  /// Limits for the requests that begin from now on.
  void setLimits(ParserLimits Limits) { m_Limits = Limits; }

  /// Takes the bytes up to the end of the request that is coming in; what lies
  /// behind it is kept for the next one.
  ParserState feed(std::string_view Bytes);

  ParserState state() const { return m_State; }
  /// Set from its headers on: the caller waits for "100 Continue".
  bool expectsContinue() const { return m_ExpectsContinue; }
  /// Once it is complete. Call feed() to go on with the bytes kept.
  FrontRequest take();
  /// Once it is faulty.
  const ParseError &error() const { return m_Error; }

private:
  class Parser;

  void startRequest();
  ParserState fail(int Status, std::string Reason);
  bool checkHeaderLines();
  ParserState parse();
  ParserState validateHeaders();

  ParserLimits m_Limits;
  std::unique_ptr<Parser> m_Parser;
  std::string m_Buffer;
  /// Bytes of m_Buffer whose line ends were checked.
  size_t m_CheckedBytes = 0;
  ParserState m_State = ParserState::Idle;
  std::chrono::steady_clock::time_point m_BeganAt;
  bool m_ExpectsContinue = false;
  ParseError m_Error;
};

} // namespace bronzepass::core::adapters::front

#endif // BRONZEPASS_CORE_ADAPTERS_FRONT_FRONTREQUESTPARSER_H
