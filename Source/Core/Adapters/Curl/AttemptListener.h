#ifndef BRONZEPASS_CORE_ADAPTERS_CURL_ATTEMPTLISTENER_H
#define BRONZEPASS_CORE_ADAPTERS_CURL_ATTEMPTLISTENER_H

#include "Core/Adapters/Curl/CurlMulti.h"
#include "Core/Model/Id.h"

#include <string_view>

namespace bronzepass::core::adapters::curl {

/// Gets the events of many attempts' transfers, on the loop's thread.
class AttemptEventHandler {
public:
  virtual ~AttemptEventHandler() = default;
  virtual void onHead(model::AttemptId Attempt, const TransferHead &Head) = 0;
  virtual void onChunk(model::AttemptId Attempt, std::string_view Piece) = 0;
  /// The last call for \p Attempt.
  virtual void onDone(model::AttemptId Attempt,
                      const TransferResult &Result) = 0;
};

/// Hands one transfer's events on under its attempt's number.
class AttemptListener : public TransferListener {
public:
  /// \p Events outlives the transfer.
  AttemptListener(AttemptEventHandler &Events, model::AttemptId Attempt)
      : m_Events(Events), m_Attempt(Attempt) {}

  void onHead(const TransferHead &Head) override {
    m_Events.onHead(m_Attempt, Head);
  }
  void onChunk(std::string_view Piece) override {
    m_Events.onChunk(m_Attempt, Piece);
  }
  void onDone(const TransferResult &Result) override {
    m_Events.onDone(m_Attempt, Result);
  }

private:
  AttemptEventHandler &m_Events;
  model::AttemptId m_Attempt;
};

} // namespace bronzepass::core::adapters::curl

#endif // BRONZEPASS_CORE_ADAPTERS_CURL_ATTEMPTLISTENER_H
