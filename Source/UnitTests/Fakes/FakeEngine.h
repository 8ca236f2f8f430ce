#ifndef BRONZEPASS_UNITTESTS_FAKES_FAKEENGINE_H
#define BRONZEPASS_UNITTESTS_FAKES_FAKEENGINE_H

#include "Core/Model/Intent.h"
#include "Core/Model/Order.h"
#include "Core/Model/Residency.h"

#include <algorithm>
#include <map>

namespace bronzepass::unit_tests::fakes {

/// A model engine under virtual time. It accepts every load order, so that
/// memory promised twice shows as m_PeakBytes above the engine's memory.
class FakeEngine {
public:
  struct Copy {
    core::model::CopyState m_State = core::model::CopyState::Loading;
    uint64_t m_MemoryBytes = 0;
    core::model::TimePoint m_NextAt;
  };

  core::model::EndpointSpec m_Spec;
  core::model::FencingMode m_Fencing = core::model::FencingMode::Refuses;
  core::model::Duration m_LoadTime = std::chrono::seconds(50);
  core::model::Duration m_DrainTime = std::chrono::seconds(1);
  std::map<core::model::ArtifactId, Copy> m_Copies;
  /// Refuses every load for lack of memory.
  bool m_IsFull = false;
  uint64_t m_PeakBytes = 0;
  uint64_t m_LoadsStarted = 0;

  /// Carries out one order that reached the engine at \p Now.
  core::model::OrderAnswer apply(const core::model::EngineOrder &Order,
                                 core::model::TimePoint Now) {
    using core::model::OrderKind;
    core::model::OrderAnswer Answer{.m_Id = Order.m_Id,
                                    .m_Endpoint = m_Spec.m_Name};
    const bool Stale = m_Fencing == core::model::FencingMode::Refuses &&
                       Order.m_Token < m_HighestToken;
    m_HighestToken = std::max(m_HighestToken, Order.m_Token);
    Answer.m_HighestToken = m_HighestToken;
    Answer.m_Status = Stale ? core::model::OrderStatus::StaleToken
                            : core::model::OrderStatus::Accepted;
    if (!Stale && Order.m_Kind == OrderKind::Load && m_IsFull)
      Answer.m_Status = core::model::OrderStatus::NoMemory;
    else if (!Stale && Order.m_Kind == OrderKind::Load)
      load(Order, Now);
    if (!Stale && Order.m_Kind == OrderKind::Unload)
      unload(Order.m_Artifact, Now);
    if (!Stale && Order.m_Kind == OrderKind::SetRole)
      m_Spec.m_Role = Order.m_Role;
    return Answer;
  }

  /// Completes loads and drains that are due.
  void advance(core::model::TimePoint Now) {
    using core::model::CopyState;
    for (auto It = m_Copies.begin(); It != m_Copies.end();) {
      const bool Due = It->second.m_NextAt <= Now;
      if (Due && It->second.m_State == CopyState::Draining) {
        It = m_Copies.erase(It);
        continue;
      }
      if (Due && It->second.m_State == CopyState::Loading)
        It->second.m_State = CopyState::Serving;
      ++It;
    }
  }

  core::model::EngineReport report(core::model::TimePoint Now) {
    core::model::EngineReport Report{.m_Endpoint = m_Spec.m_Name,
                                     .m_Sequence = ++m_Sequence,
                                     .m_MadeAt = Now,
                                     .m_MemoryBytes = m_Spec.m_MemoryBytes,
                                     .m_UsedBytes = usedBytes(),
                                     .m_HighestToken = m_HighestToken};
    for (const auto &Entry : m_Copies)
      Report.m_Copies.push_back(
          {Entry.first, Entry.second.m_State, Entry.second.m_MemoryBytes});
    return Report;
  }

  /// Replaces the process: memory, sequence and highest token are reset.
  void restart() {
    m_Copies.clear();
    m_Sequence = 0;
    m_HighestToken = {};
  }

  uint64_t usedBytes() const {
    uint64_t Sum = 0;
    for (const auto &Entry : m_Copies)
      Sum += Entry.second.m_MemoryBytes;
    return Sum;
  }

  bool serves(const core::model::ArtifactId &Artifact) const {
    auto Found = m_Copies.find(Artifact);
    return Found != m_Copies.end() &&
           Found->second.m_State == core::model::CopyState::Serving;
  }

  uint32_t loading() const {
    return static_cast<uint32_t>(
        std::count_if(m_Copies.begin(), m_Copies.end(), [](const auto &Entry) {
          return Entry.second.m_State == core::model::CopyState::Loading;
        }));
  }

private:
  void load(const core::model::EngineOrder &Order, core::model::TimePoint Now) {
    using core::model::CopyState;
    auto Found = m_Copies.find(Order.m_Artifact);
    if (Found != m_Copies.end()) {
      if (Found->second.m_State == CopyState::Draining)
        Found->second.m_State = CopyState::Serving;
      return;
    }
    const core::model::Duration Time =
        Order.m_Artifact.isAdapter() ? m_LoadTime / 10 : m_LoadTime;
    m_Copies[Order.m_Artifact] = {CopyState::Loading, Order.m_MemoryBytes,
                                  Now + Time};
    ++m_LoadsStarted;
    m_PeakBytes = std::max(m_PeakBytes, usedBytes());
  }

  void unload(const core::model::ArtifactId &Artifact,
              core::model::TimePoint Now) {
    auto Found = m_Copies.find(Artifact);
    if (Found == m_Copies.end() ||
        Found->second.m_State == core::model::CopyState::Draining)
      return;
    Found->second.m_State = core::model::CopyState::Draining;
    Found->second.m_NextAt = Now + m_DrainTime;
  }

  uint64_t m_Sequence = 0;
  core::model::FencingToken m_HighestToken;
};

} // namespace bronzepass::unit_tests::fakes

#endif // BRONZEPASS_UNITTESTS_FAKES_FAKEENGINE_H
