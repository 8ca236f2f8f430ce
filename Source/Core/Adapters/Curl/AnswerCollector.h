#ifndef BRONZEPASS_CORE_ADAPTERS_CURL_ANSWERCOLLECTOR_H
#define BRONZEPASS_CORE_ADAPTERS_CURL_ANSWERCOLLECTOR_H

#include "Core/Adapters/Curl/CurlMulti.h"

#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace bronzepass::core::adapters::curl {

/// Collects one answer and hands it on.
class AnswerCollector : public TransferListener {
public:
  /// The status is 0 where no head came.
  using DoneCallback = std::function<void(const TransferResult &Result,
                                          int Status, const std::string &Body)>;

  /// What comes beyond \p MaxBytes is left out.
  explicit AnswerCollector(DoneCallback OnDone,
                           size_t MaxBytes = DefaultMaxBytes)
      : m_OnDone(std::move(OnDone)), m_MaxBytes(MaxBytes) {}

  void onHead(const TransferHead &Head) override { m_Status = Head.m_Status; }
  void onChunk(std::string_view Piece) override {
    if (m_Body.size() + Piece.size() <= m_MaxBytes)
      m_Body.append(Piece);
  }
  void onDone(const TransferResult &Result) override {
    m_OnDone(Result, m_Status, m_Body);
  }

private:
  /// A report of some thousand copies, or a page of a list, stays below.
  static constexpr size_t DefaultMaxBytes = 8 << 20;

  const DoneCallback m_OnDone;
  const size_t m_MaxBytes;
  int m_Status = 0;
  std::string m_Body;
};

} // namespace bronzepass::core::adapters::curl

#endif // BRONZEPASS_CORE_ADAPTERS_CURL_ANSWERCOLLECTOR_H
