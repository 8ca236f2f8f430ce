#ifndef BRONZEPASS_CORE_ADAPTERS_OBJECTAPI_BLOCKINGOBJECTAPI_H
#define BRONZEPASS_CORE_ADAPTERS_OBJECTAPI_BLOCKINGOBJECTAPI_H

#include "Core/Adapters/Net/LoopThread.h"
#include "Core/Adapters/ObjectApi/ObjectApiClient.h"
#include "Core/IntentStore/StoreSession.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <random>

namespace bronzepass::core::adapters::object_api {

/// A blocking object API client for commands; one call at a time. backOff()
/// allows retries until \p Timeout after construction.
class BlockingObjectApi : public intent_store::StoreSession,
                          private ports::EventSink {
public:
  BlockingObjectApi(ObjectApiSettings Settings,
                    std::chrono::milliseconds Timeout);
  ~BlockingObjectApi() override;

  ports::StoreAnswer call(ports::StoreCall Call) override;
  bool backOff() override;

private:
  void post(ports::Event Incoming) override;

  net::LoopThread m_Thread;
  ObjectApiClient m_Client;
  const std::chrono::steady_clock::time_point m_Deadline;
  std::chrono::milliseconds m_NextPause;
  std::mt19937_64 m_RandomEngine;

  std::mutex m_Mutex;
  std::condition_variable m_Answered;
  std::optional<ports::StoreAnswer> m_Answer;
  uint64_t m_LastId = 0;
};

} // namespace bronzepass::core::adapters::object_api

#endif // BRONZEPASS_CORE_ADAPTERS_OBJECTAPI_BLOCKINGOBJECTAPI_H
