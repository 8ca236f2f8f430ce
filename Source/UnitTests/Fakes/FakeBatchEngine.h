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

/// One answer being made, named by whoever submitted it.
struct Sequence {
  uint64_t m_Name = 0;
  core::model::Priority m_Priority = core::model::Priority::Interactive;
  uint32_t m_PromptTokens = 0;
  uint32_t m_Tokens = 1;
  uint32_t m_Made = 0;
  std::vector<uint64_t> m_Prefix;
};

/// Tokens that an engine passes on at once, while it makes more.
constexpr uint32_t ProgressTokens = 16;

/// What one step brought.
struct StepResult {
  std::vector<uint64_t> m_Begun;
  /// Sequences whose next ProgressTokens tokens are made, and not yet all.
  std::vector<uint64_t> m_Grown;
  std::vector<uint64_t> m_Done;
  std::vector<uint64_t> m_CacheAdded;
  std::vector<uint64_t> m_CacheRemoved;
};

struct EngineShape {
  uint32_t m_Slots = 16;
  core::model::Duration m_StepTime = std::chrono::milliseconds(5);
  /// Time of a full batch's step over an empty one's.
  double m_FullBatchFactor = 2;
  core::model::Duration m_PromptTokenTime = std::chrono::microseconds(100);
  uint32_t m_BlockTokens = 64;
  size_t m_CacheBlocks = 600;
};

/// A model engine under virtual time: batches continuously, one token for each
/// running sequence a step; prefills what its prefix cache lacks; takes
/// interactive sequences before batch ones.
class FakeBatchEngine {
public:
  explicit FakeBatchEngine(EngineShape Shape) : m_Shape(Shape) {}

  /// Steps take so many times as long.
  double m_SlowFactor = 1;

  void submit(Sequence Value) {
    auto Place = std::find_if(m_Waiting.begin(), m_Waiting.end(),
                              [&Value](const Sequence &Each) {
                                return Value.m_Priority < Each.m_Priority;
                              });
    m_Waiting.insert(Place, std::move(Value));
  }

  void cancel(uint64_t Name) {
    auto IsIt = [Name](const Sequence &Each) { return Each.m_Name == Name; };
    std::erase_if(m_Waiting, IsIt);
    std::erase_if(m_Running, IsIt);
  }

  void clear() {
    m_Waiting.clear();
    m_Running.clear();
  }

  bool idle() const { return m_Waiting.empty() && m_Running.empty(); }
  uint32_t running() const { return static_cast<uint32_t>(m_Running.size()); }
  uint32_t waiting() const { return static_cast<uint32_t>(m_Waiting.size()); }

  /// Fills the batch and says how long the step takes that begins now.
  core::model::Duration beginStep(StepResult &Result) {
    uint32_t Prefill = 0;
    while (m_Running.size() < m_Shape.m_Slots && !m_Waiting.empty()) {
      Prefill += prefillTokens(m_Waiting.front(), Result);
      m_Running.push_back(std::move(m_Waiting.front()));
      m_Waiting.pop_front();
    }
    double Filled = static_cast<double>(m_Running.size()) / m_Shape.m_Slots;
    double Factor = 1 + (m_Shape.m_FullBatchFactor - 1) * Filled;
    return std::chrono::duration_cast<core::model::Duration>(
        (m_Shape.m_StepTime * Factor + Prefill * m_Shape.m_PromptTokenTime) *
        m_SlowFactor);
  }

  void endStep(StepResult &Result) {
    for (Sequence &Each : m_Running) {
      if (++Each.m_Made == 1)
        Result.m_Begun.push_back(Each.m_Name);
      if (Each.m_Made >= Each.m_Tokens)
        Result.m_Done.push_back(Each.m_Name);
      else if (Each.m_Made % ProgressTokens == 0)
        Result.m_Grown.push_back(Each.m_Name);
    }
    std::erase_if(m_Running, [](const Sequence &Each) {
      return Each.m_Made >= Each.m_Tokens;
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
      Cached += Leading ? m_Shape.m_BlockTokens : 0;
    }
    while (m_Cache.size() > m_Shape.m_CacheBlocks) {
      Result.m_CacheRemoved.push_back(m_Recent.back());
      m_Cache.erase(m_Recent.back());
      m_Recent.pop_back();
    }
    return Value.m_PromptTokens - std::min(Value.m_PromptTokens, Cached);
  }

  EngineShape m_Shape;
  std::deque<Sequence> m_Waiting;
  std::vector<Sequence> m_Running;
  std::list<uint64_t> m_Recent;
  std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_Cache;
};

} // namespace bronzepass::unit_tests::fakes

#endif // BRONZEPASS_UNITTESTS_FAKES_FAKEBATCHENGINE_H
