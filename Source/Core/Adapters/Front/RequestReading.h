#ifndef BRONZEPASS_CORE_ADAPTERS_FRONT_REQUESTREADING_H
#define BRONZEPASS_CORE_ADAPTERS_FRONT_REQUESTREADING_H

#include "Core/Adapters/Front/FrontRequest.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bronzepass::core::adapters::front {

/// What one request may take up.
struct ReadingLimits {
  uint32_t m_MaxHeaderBytes = 16 << 10;
  uint64_t m_MaxBodyBytes = 4 << 20;

  friend auto operator<=>(const ReadingLimits &,
                          const ReadingLimits &) = default;
};

/// Why a request can't be read; its HTTP status is m_Status.
struct ReadingFault {
  int m_Status = 400;
  std::string m_Reason;

  friend auto operator<=>(const ReadingFault &, const ReadingFault &) = default;
};

enum class ReadingPhase { Nothing, Headers, Body, Complete, Faulty };

/// Reads requests one after another from the bytes of one connection. Framing
/// that two parsers could understand in two ways (a length beside chunks,
/// two lengths, a bare line feed, a folded line) is a fault.
class RequestReading {
public:
  explicit RequestReading(ReadingLimits Limits);
  ~RequestReading();
  RequestReading(const RequestReading &) = delete;
  RequestReading &operator=(const RequestReading &) = delete;

  /// Limits for the requests that begin from now on.
  void setLimits(ReadingLimits Limits) { m_Limits = Limits; }

  /// Takes the bytes up to the end of the request that is coming in; what lies
  /// behind it is kept for the next one.
  ReadingPhase feed(std::string_view Bytes);

  ReadingPhase phase() const { return m_Phase; }
  /// Set from its headers on: the caller waits for "100 Continue".
  bool wantsContinue() const { return m_WantsContinue; }
  /// Once it is complete. Call feed() to go on with the bytes kept.
  FrontRequest take();
  /// Once it is faulty.
  const ReadingFault &fault() const { return m_Fault; }

private:
  class Parser;

  void start();
  ReadingPhase fail(int Status, std::string Reason);
  bool checkHeaderLines();
  ReadingPhase parse();
  ReadingPhase noteHeaders();

  ReadingLimits m_Limits;
  std::unique_ptr<Parser> m_Parser;
  std::string m_Buffer;
  /// Bytes of m_Buffer whose line ends were checked.
  size_t m_CheckedBytes = 0;
  ReadingPhase m_Phase = ReadingPhase::Nothing;
  std::chrono::steady_clock::time_point m_BeganAt;
  bool m_WantsContinue = false;
  ReadingFault m_Fault;
};

} // namespace bronzepass::core::adapters::front

#endif // BRONZEPASS_CORE_ADAPTERS_FRONT_REQUESTREADING_H
