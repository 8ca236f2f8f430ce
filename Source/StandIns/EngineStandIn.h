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
  /// Sequences that it steps at once, and that may wait for a slot.
  uint32_t m_Slots = 64;
  uint32_t m_QueueLimit = 1024;
  /// One token of each running sequence.
  std::chrono::microseconds m_Step = std::chrono::milliseconds(5);
  std::chrono::milliseconds m_LoadTime = std::chrono::seconds(2);
  core::model::FencingMode m_Fencing = core::model::FencingMode::Refuses;
  bool m_CanResume = true;
  /// Blocks of prompts that its cache holds.
  size_t m_CacheBlocks = 4096;
};

/// What an engine has done, for tests.
struct EngineCounts {
  uint64_t m_Started = 0;
  uint64_t m_Finished = 0;
  uint64_t m_Cancelled = 0;
  uint64_t m_Declined = 0;
};

/// A model engine: OpenAI-compatible completions, and orders to load, unload
/// and change role. docs/PROTOCOLS.md has what it speaks.
class EngineStandIn : public StandIn {
public:
  explicit EngineStandIn(EngineOptions Options);
  ~EngineStandIn() override;

  /// Serves \p Artifact from the start; call before start().
  void preload(const core::model::ArtifactId &Artifact, uint64_t MemoryBytes);

private:
  struct HeldCopy {
    core::model::CopyReport m_Report;
    uint32_t m_Running = 0;
  };

  void handle(const HttpRequest &Request,
              const std::shared_ptr<HttpResponseWriter> &Answer) override;

  void complete(const HttpRequest &Request,
                const std::shared_ptr<HttpResponseWriter> &Answer);
  void decline(const std::shared_ptr<HttpResponseWriter> &Answer,
               const std::string &Message);
  void enqueue(const std::shared_ptr<Completion> &Added);
  void startWaiting();
  void leave(const std::shared_ptr<Completion> &Gone);
  void begin(Completion &Started);
  void step();
  void scheduleStep();
  /// False once it has ended.
  bool stepOne(Completion &Running);
  void finishPlain(Completion &Running);

  void order(const HttpRequest &Request,
             const std::shared_ptr<HttpResponseWriter> &Answer);
  HttpReply load(const core::model::ArtifactId &Artifact, uint64_t Bytes);
  HttpReply unload(const core::model::ArtifactId &Artifact);
  void removeIdleUnloading();
  HttpReply accepted() const;
  uint64_t usedBytes() const;
  HttpReply report(const HttpRequest &Request);
  void setFaults(const HttpRequest &Request,
                 const std::shared_ptr<HttpResponseWriter> &Answer);
  std::vector<HttpHeader> loadHeaders() const;

  EngineOptions m_Options;
  std::map<core::model::ArtifactId, HeldCopy> m_Copies;
  core::model::FencingToken m_HighestToken;
  std::string m_Role = "mixed";
  uint64_t m_ReportSequence = 0;
  EngineCounts m_Counts;
  CacheLog m_Cache;

  std::vector<std::shared_ptr<Completion>> m_Running;
  std::deque<std::shared_ptr<Completion>> m_Waiting;
  bool m_StepScheduled = false;

  /// The next streams that break, and behind how many tokens.
  uint32_t m_BreakNext = 0;
  uint32_t m_BreakAfterTokens = 0;
  /// End them as if they were whole, without their terminal marker.
  bool m_EndCleanly = false;
  /// The next requests that get no answer at all.
  uint32_t m_StallNext = 0;
};

} // namespace bronzepass::stand_ins

#endif // BRONZEPASS_STANDINS_ENGINESTANDIN_H
