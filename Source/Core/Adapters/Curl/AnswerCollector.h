#ifndef BRONZEPASS_CORE_ADAPTERS_CURL_ANSWERCOLLECTOR_H
#define BRONZEPASS_CORE_ADAPTERS_CURL_ANSWERCOLLECTOR_H

#include "Core/Adapters/Curl/CurlMulti.h"

#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace bronzepass::core::adapters::curl {

/// Collects the head and body of one answer and passes them to a callback.
class AnswerCollector : public TransferListener {
public:
  /// \p Head has status 0 if no head was received.
  using DoneCallback =
      std::function<void(const TransferResult &Result, const TransferHead &Head,
                         const std::string &Body)>;

  /// An answer whose body is longer than \p MaxBytes is not read further and
  /// counts as incomplete.
  explicit AnswerCollector(DoneCallback OnDone,
                           size_t MaxBytes = DefaultMaxBytes)
      : m_OnDone(std::move(OnDone)), m_MaxBytes(MaxBytes) {}

  void onHead(const TransferHead &Head) override { m_Head = Head; }
  bool onChunk(std::string_view Chunk) override {
    m_TooLong = m_TooLong || m_Body.size() + Chunk.size() > m_MaxBytes;
    if (!m_TooLong)
      m_Body.append(Chunk);
    return !m_TooLong;
  }
  void onDone(const TransferResult &Result) override {
    TransferResult Collected = Result;
    if (m_TooLong) {
      Collected.m_Complete = false;
      Collected.m_EndedByClose = false;
      Collected.m_Error = "the body is too long to be collected";
    }
    m_OnDone(Collected, m_Head, m_Body);
  }

private:
  /// Larger than a report of some thousand copies or a page of a list.
  static constexpr size_t DefaultMaxBytes = 8 << 20;

  const DoneCallback m_OnDone;
  const size_t m_MaxBytes;
  TransferHead m_Head;
  std::string m_Body;
  bool m_TooLong = false;
};

} // namespace bronzepass::core::adapters::curl

#endif // BRONZEPASS_CORE_ADAPTERS_CURL_ANSWERCOLLECTOR_H
