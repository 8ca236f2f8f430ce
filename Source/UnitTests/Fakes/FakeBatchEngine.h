#ifndef BRONZEPASS_UNITTESTS_FAKES_FAKEBATCHENGINE_H
#define BRONZEPASS_UNITTESTS_FAKES_FAKEBATCHENGINE_H

#include "Core/Model/Intent.h"
#include "Core/Model/Time.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace bronzepass::unit_tests::fakes {

/// One answer being generated, with the id that its submitter gave it.
struct Sequence {
  uint64_t m_Id = 0;
  core::model::Priority m_Priority = core::model::Priority::Interactive;
  uint32_t m_PromptTokens = 0;
  uint32_t m_Tokens = 1;
  uint32_t m_GeneratedTokens = 0;
  std::vector<uint64_t> m_Prefix;
};

/// Number of tokens that an engine sends together while it generates more.
constexpr uint32_t ProgressTokens = 16;

/// The events of one step.
struct StepResult {
  std::vector<uint64_t> m_Started;
  /// Unfinished sequences that have generated another ProgressTokens tokens.
  std::vector<uint64_t> m_Progressed;
  std::vector<uint64_t> m_Finished;
  std::vector<uint64_t> m_CacheAdded;
  std::vector<uint64_t> m_CacheRemoved;
};

struct BatchEngineSettings {
  uint32_t m_Slots = 16;
  core::model::Duration m_StepTime = std::chrono::milliseconds(5);
  /// Ratio of a full batch's step time to an empty batch's.
  double m_FullBatchFactor = 2;
  core::model::Duration m_PromptTokenTime = std::chrono::microseconds(100);
  uint32_t m_BlockTokens = 64;
  size_t m_CacheBlocks = 600;
};

/// A model engine under virtual time with continuous batching: each step
/// generates one token per running sequence. It prefills the part of a prompt
/// that its prefix cache lacks, and starts interactive sequences before batch
/// ones.
class FakeBatchEngine {
public:
  explicit FakeBatchEngine(BatchEngineSettings Settings)
      : m_Settings(Settings) {}

  /// Multiplies the duration of each step.
  double m_SlowFactor = 1;

  void submit(Sequence Value) {
    auto Position = std::find_if(m_Waiting.begin(), m_Waiting.end(),
                                 [&Value](const Sequence &Each) {
                                   return Value.m_Priority < Each.m_Priority;
                                 });
    m_Waiting.insert(Position, std::move(Value));
  }

  void cancel(uint64_t Id) {
    auto HasId = [Id](const Sequence &Each) { return Each.m_Id == Id; };
    std::erase_if(m_Waiting, HasId);
    std::erase_if(m_Running, HasId);
  }

  void clear() {
    m_Waiting.clear();
    m_Running.clear();
  }

  bool idle() const { return m_Waiting.empty() && m_Running.empty(); }
  uint32_t running() const { return static_cast<uint32_t>(m_Running.size()); }
  uint32_t waiting() const { return static_cast<uint32_t>(m_Waiting.size()); }

  /// Fills the batch and returns the duration of the step that begins now.
  core::model::Duration beginStep(StepResult &Result) {
    uint32_t Prefill = 0;
    while (m_Running.size() < m_Settings.m_Slots && !m_Waiting.empty()) {
      Prefill += prefillTokens(m_Waiting.front(), Result);
      m_Running.push_back(std::move(m_Waiting.front()));
      m_Waiting.pop_front();
    }
    double Filled = static_cast<double>(m_Running.size()) / m_Settings.m_Slots;
    double Factor = 1 + (m_Settings.m_FullBatchFactor - 1) * Filled;
    return std::chrono::duration_cast<core::model::Duration>(
        (m_Settings.m_StepTime * Factor +
         Prefill * m_Settings.m_PromptTokenTime) *
        m_SlowFactor);
  }

  void endStep(StepResult &Result) {
    for (Sequence &Each : m_Running) {
      if (++Each.m_GeneratedTokens == 1)
        Result.m_Started.push_back(Each.m_Id);
      if (Each.m_GeneratedTokens >= Each.m_Tokens)
        Result.m_Finished.push_back(Each.m_Id);
      else if (Each.m_GeneratedTokens % ProgressTokens == 0)
        Result.m_Progressed.push_back(Each.m_Id);
    }
    std::erase_if(m_Running, [](const Sequence &Each) {
      return Each.m_GeneratedTokens >= Each.m_Tokens;
    });
  }

private:
  uint32_t prefillTokens(const Sequence &Value, StepResult &Result) {
    uint32_t Cached = 0;
    bool Leading = true;
    for (uint64_t Block : Value.m_Prefix) {
      auto Found = m_Cache.find(Block);
      Leading &= Found != m_Cache.end();
      if (Found != m_Cache.end())
        m_Recent.erase(Found->second);
      else
        Result.m_CacheAdded.push_back(Block);
      m_Recent.push_front(Block);
      m_Cache[Block] = m_Recent.begin();
      Cached += Leading ? m_Settings.m_BlockTokens : 0;
    }
    while (m_Cache.size() > m_Settings.m_CacheBlocks) {
      Result.m_CacheRemoved.push_back(m_Recent.back());
      m_Cache.erase(m_Recent.back());
      m_Recent.pop_back();
    }
    return Value.m_PromptTokens - std::min(Value.m_PromptTokens, Cached);
  }

  BatchEngineSettings m_Settings;
  std::deque<Sequence> m_Waiting;
  std::vector<Sequence> m_Running;
  std::list<uint64_t> m_Recent;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_Cache;
};

} // namespace bronzepass::unit_tests::fakes

#endif // BRONZEPASS_UNITTESTS_FAKES_FAKEBATCHENGINE_H
