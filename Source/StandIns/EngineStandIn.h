#ifndef BRONZEPASS_STANDINS_ENGINESTANDIN_H
#define BRONZEPASS_STANDINS_ENGINESTANDIN_H

#include "Core/Model/Artifact.h"
#include "Core/Model/Intent.h"
#include "Core/Model/Order.h"
#include "Core/Model/Residency.h"
#include "StandIns/CacheLog.h"
#include "StandIns/Completion.h"
#include "StandIns/StandIn.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bronzepass::stand_ins {

struct EngineOptions {
  core::model::EndpointId m_Name;
  core::model::Address m_Address;
  uint64_t m_MemoryBytes = 80ULL << 30;
  /// Sequences that run at once, and requests that may wait for a slot.
  uint32_t m_Slots = 64;
  uint32_t m_QueueLimit = 1024;
  /// Duration of a step, which generates one token of each running sequence.
  std::chrono::microseconds m_Step = std::chrono::milliseconds(5);
  std::chrono::milliseconds m_LoadTime = std::chrono::seconds(2);
  core::model::FencingMode m_Fencing = core::model::FencingMode::Refuses;
  bool m_CanResume = true;
  /// Capacity of the prefix cache in prompt blocks.
  size_t m_CacheBlocks = 4096;
};

/// Counts of completion requests by outcome, for tests.
struct EngineCounts {
  uint64_t m_Started = 0;
  uint64_t m_Finished = 0;
  uint64_t m_Cancelled = 0;
  uint64_t m_Declined = 0;
};

/// A model engine: OpenAI-compatible completions, and orders to load, unload
/// and change role. docs/PROTOCOLS.md describes its protocol.
class EngineStandIn : public StandIn {
public:
  explicit EngineStandIn(EngineOptions Options);
  ~EngineStandIn() override;

  /// Serves \p Artifact from the start. Must be called before start().
  void preload(const core::model::ArtifactId &Artifact, uint64_t MemoryBytes);

private:
  struct ModelCopy {
    core::model::CopyReport m_Report;
    /// Requests for this copy that wait or run.
    uint32_t m_ActiveRequests = 0;
  };

  void handle(const HttpRequest &Request,
              const std::shared_ptr<HttpResponseWriter> &Answer) override;

  void handleCompletion(const HttpRequest &Request,
                        const std::shared_ptr<HttpResponseWriter> &Answer);
  void decline(const HttpRequest &Request,
               const std::shared_ptr<HttpResponseWriter> &Answer,
               const std::string &Message);
  void enqueue(const std::shared_ptr<Completion> &Added);
  void startWaiting();
  void onCallerDisconnected(const std::shared_ptr<Completion> &Cancelled);
  void startCompletion(Completion &Started);
  void step();
  void scheduleStep();
  /// Generates one token; returns false once the completion has ended.
  bool generateToken(Completion &Running);
  void finishNonStreaming(Completion &Running);

  void handleOrder(const HttpRequest &Request,
                   const std::shared_ptr<HttpResponseWriter> &Answer);
  HttpReply load(const core::model::ArtifactId &Artifact, uint64_t Bytes);
  HttpReply unload(const core::model::ArtifactId &Artifact);
  void removeIdleUnloading();
  HttpReply acceptedReply() const;
  uint64_t usedBytes() const;
  HttpReply report(const HttpRequest &Request);
  void setFaults(const HttpRequest &Request,
                 const std::shared_ptr<HttpResponseWriter> &Answer);
  /// \p Attempt: the number of the request's attempt, or empty.
  std::vector<HttpHeader> answerHeaders(const std::string &Attempt) const;

  EngineOptions m_Options;
  std::map<core::model::ArtifactId, ModelCopy> m_Copies;
  core::model::FencingToken m_HighestToken;
  std::string m_Role = "mixed";
  uint64_t m_ReportSequence = 0;
  EngineCounts m_Counts;
  CacheLog m_Cache;

  std::vector<std::shared_ptr<Completion>> m_Running;
  std::deque<std::shared_ptr<Completion>> m_Waiting;
  bool m_StepScheduled = false;

  /// How many of the next completions break, and after how many tokens.
  uint32_t m_BreakNext = 0;
  uint32_t m_BreakAfterTokens = 0;
  /// End them as if they were complete, without the terminal event.
  bool m_EndCleanly = false;
  /// How many of the next completions stall: they occupy a slot and generate
  /// nothing.
  uint32_t m_StallNext = 0;
};

} // namespace bronzepass::stand_ins

#endif // BRONZEPASS_STANDINS_ENGINESTANDIN_H
