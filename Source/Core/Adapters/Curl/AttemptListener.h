#ifndef BRONZEPASS_CORE_ADAPTERS_CURL_ATTEMPTLISTENER_H
#define BRONZEPASS_CORE_ADAPTERS_CURL_ATTEMPTLISTENER_H

#include "Core/Adapters/Curl/CurlMulti.h"
#include "Core/Model/Id.h"

#include <string_view>

namespace bronzepass::core::adapters::curl {

/// Receives the transfer events of many attempts, on the loop's thread.
class AttemptEventHandler {
public:
  virtual ~AttemptEventHandler() = default;
  /// The head, of which a part has been received, takes \p Bytes in all.
  virtual void onHeadBytes(model::AttemptId /*Attempt*/, uint64_t /*Bytes*/) {}
  virtual void onHead(model::AttemptId Attempt, const TransferHead &Head) = 0;
  /// Returns false to end the transfer as incomplete.
  virtual bool onChunk(model::AttemptId Attempt, std::string_view Chunk) = 0;
  /// The last call for \p Attempt.
  virtual void onDone(model::AttemptId Attempt,
                      const TransferResult &Result) = 0;
};

/// Forwards one transfer's events to an AttemptEventHandler with the id of its
/// attempt.
class AttemptListener : public TransferListener {
public:
  /// \p Handler must outlive the transfer.
  AttemptListener(AttemptEventHandler &Handler, model::AttemptId Attempt)
      : m_Handler(Handler), m_Attempt(Attempt) {}

  void onHeadBytes(uint64_t Bytes) override {
    m_Handler.onHeadBytes(m_Attempt, Bytes);
  }
  void onHead(const TransferHead &Head) override {
    m_Handler.onHead(m_Attempt, Head);
  }
  bool onChunk(std::string_view Chunk) override {
    return m_Handler.onChunk(m_Attempt, Chunk);
  }
  void onDone(const TransferResult &Result) override {
    m_Handler.onDone(m_Attempt, Result);
  }

private:
  AttemptEventHandler &m_Handler;
  model::AttemptId m_Attempt;
};

} // namespace bronzepass::core::adapters::curl

#endif // BRONZEPASS_CORE_ADAPTERS_CURL_ATTEMPTLISTENER_H
