#ifndef BRONZEPASS_UNITTESTS_FAKES_FAKESTORE_H
#define BRONZEPASS_UNITTESTS_FAKES_FAKESTORE_H

#include "Core/Ports/Store.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace bronzepass::unit_tests::fakes {

/// A fault injected into a call. The write of a LostAnswer call takes effect at
/// once, that of a LateWrite after m_LateDelay, and that of a LostCall never;
/// the caller gets the status Unknown in all three cases. A Down call gets
/// NotSent.
enum class StoreFault { None, Slow, LostAnswer, LateWrite, LostCall, Down };

/// An in-memory object API under virtual time. Each call is answered after
/// m_Latency, in order of due time; m_Fault chooses the fault of each call.
class FakeStore {
public:
  using FaultChooser =
      std::function<StoreFault(const core::ports::StoreCall &)>;

  /// An answer and the caller that gets it.
  struct DueAnswer {
    core::model::TimePoint m_At;
    core::model::NodeId m_Caller;
    core::ports::StoreAnswer m_Answer;
    /// The era that the answer names; nullopt if it never arrives.
    std::optional<core::model::StoreEra> m_Era;
  };

  core::model::Duration m_Latency = std::chrono::milliseconds(5);
  core::model::Duration m_SlowLatency = std::chrono::seconds(2);
  core::model::Duration m_LateDelay = std::chrono::seconds(3);
  FaultChooser m_Fault = [](const core::ports::StoreCall &) {
    return StoreFault::None;
  };

  /// Applies a call's effect at \p Now and schedules its answer. A slow call's
  /// effect is also applied at once, since writes are ordered by arrival.
  void submit(const core::model::NodeId &Caller,
              const core::ports::StoreCall &Call, core::model::TimePoint Now) {
    using core::ports::StoreStatus;
    applyLateWrites(Now);
    ++m_CallCount;
    const StoreFault Fault = m_Fault(Call);
    if (Fault == StoreFault::LateWrite) {
      m_LateWrites.push_back({Now + m_LateDelay, Call});
      answer(Caller, {.m_Id = Call.m_Id, .m_Status = StoreStatus::Unknown},
             Now + Call.m_Timeout);
      return;
    }
    if (Fault == StoreFault::Down || Fault == StoreFault::LostCall) {
      const StoreStatus Status = Fault == StoreFault::Down
                                     ? StoreStatus::NotSent
                                     : StoreStatus::Unknown;
      answer(Caller, {.m_Id = Call.m_Id, .m_Status = Status},
             Now + failureDelay(Fault, Call));
      return;
    }
    if (Call.m_Verb == core::ports::StoreVerb::Watch && !hasChanges(Call)) {
      m_Watches.push_back({Now + Call.m_Timeout, Caller, Call});
      return;
    }
    core::ports::StoreAnswer Answer = apply(Call);
    if (Fault == StoreFault::LostAnswer)
      Answer = {.m_Id = Call.m_Id, .m_Status = StoreStatus::Unknown};
    const core::model::Duration Delay =
        Fault == StoreFault::Slow         ? m_SlowLatency
        : Fault == StoreFault::LostAnswer ? failureDelay(Fault, Call)
                                          : m_Latency;
    answer(Caller, std::move(Answer), Now + Delay);
    wakeWatches(Now);
  }

  /// Removes and returns the answers due by \p Now, earliest first.
  std::vector<DueAnswer> takeDue(core::model::TimePoint Now) {
    applyLateWrites(Now);
    expireWatches(Now);
    std::stable_sort(
        m_Due.begin(), m_Due.end(),
        [](const DueAnswer &A, const DueAnswer &B) { return A.m_At < B.m_At; });
    auto End = std::find_if(m_Due.begin(), m_Due.end(),
                            [Now](const DueAnswer &D) { return D.m_At > Now; });
    std::vector<DueAnswer> Taken(m_Due.begin(), End);
    m_Due.erase(m_Due.begin(), End);
    return Taken;
  }

  /// Takes a backup of all objects and the version counter.
  void backUp() { m_Backup = {m_Objects, m_Version}; }
  /// Restores the last backup under the next era; versions since are assigned
  /// again. Late writes stay on their way, and answers keep their era.
  void restore(core::model::TimePoint Now) {
    applyLateWrites(Now);
    m_Objects = m_Backup.m_Objects;
    m_Version = m_Backup.m_Version;
    ++m_Era.m_Value;
  }
  core::model::StoreEra era() const { return m_Era; }

  const core::ports::StoredObject *find(const core::ports::ObjectKey &K) const {
    auto Found = m_Objects.find(K);
    return Found == m_Objects.end() ? nullptr : &Found->second;
  }

  uint64_t callCount() const { return m_CallCount; }

  /// When takeDue() next returns an answer, or a late write takes effect.
  std::optional<core::model::TimePoint> nextDueAt() const {
    std::optional<core::model::TimePoint> Next;
    for (const DueAnswer &Due : m_Due)
      Next = std::min(Next.value_or(Due.m_At), Due.m_At);
    for (const LateWrite &Late : m_LateWrites)
      Next = std::min(Next.value_or(Late.m_At), Late.m_At);
    for (const WaitingWatch &Watch : m_Watches)
      Next = std::min(Next.value_or(Watch.m_Until), Watch.m_Until);
    return Next;
  }

private:
  struct WaitingWatch {
    core::model::TimePoint m_Until;
    core::model::NodeId m_Caller;
    core::ports::StoreCall m_Call;
  };

  struct LateWrite {
    core::model::TimePoint m_At;
    core::ports::StoreCall m_Call;
  };

  void applyLateWrites(core::model::TimePoint Now) {
    for (auto It = m_LateWrites.begin(); It != m_LateWrites.end();) {
      if (It->m_At > Now) {
        ++It;
        continue;
      }
      apply(It->m_Call);
      It = m_LateWrites.erase(It);
    }
  }

  static core::model::Duration
  failureDelay(StoreFault Fault, const core::ports::StoreCall &Call) {
    const bool AtOnce = Fault == StoreFault::Down;
    return AtOnce ? core::model::Duration(100) : Call.m_Timeout;
  }

  void answer(const core::model::NodeId &Caller,
              core::ports::StoreAnswer Answer, core::model::TimePoint At) {
    const bool Arrives = Answer.m_Status != core::ports::StoreStatus::Unknown &&
                         Answer.m_Status != core::ports::StoreStatus::NotSent;
    m_Due.push_back({At, Caller, std::move(Answer),
                     Arrives ? std::optional(m_Era) : std::nullopt});
  }

  bool hasChanges(const core::ports::StoreCall &Call) const {
    return std::any_of(m_Objects.begin(), m_Objects.end(),
                       [&Call](const auto &Entry) {
                         return matches(Entry.second, Call) &&
                                Entry.second.m_Version > Call.m_Expected;
                       });
  }

  static bool matches(const core::ports::StoredObject &Object,
                      const core::ports::StoreCall &Call) {
    return Object.m_Key.m_Kind == Call.m_Key.m_Kind &&
           Object.m_Key.m_Name.rfind(Call.m_Key.m_Name, 0) == 0;
  }

  core::ports::StoreAnswer list(const core::ports::StoreCall &Call,
                                core::model::ObjectVersion Since) const {
    core::ports::StoreAnswer Answer{.m_Id = Call.m_Id,
                                    .m_Status = core::ports::StoreStatus::Ok,
                                    .m_ListVersion = m_Version};
    for (const auto &Entry : m_Objects)
      if (matches(Entry.second, Call) && Entry.second.m_Version > Since)
        Answer.m_Objects.push_back(Entry.second);
    return Answer;
  }

  core::ports::StoreAnswer apply(const core::ports::StoreCall &Call) {
    using core::ports::StoreStatus;
    using core::ports::StoreVerb;
    if (Call.m_Verb == StoreVerb::List)
      return list(Call, {});
    if (Call.m_Verb == StoreVerb::Watch)
      return list(Call, Call.m_Expected);
    core::ports::StoreAnswer Answer{.m_Id = Call.m_Id,
                                    .m_Status = StoreStatus::Ok};
    auto Found = m_Objects.find(Call.m_Key);
    const bool Exists = Found != m_Objects.end();
    if (Call.m_Verb == StoreVerb::Create ? Exists : !Exists) {
      Answer.m_Status = Exists ? StoreStatus::Conflict : StoreStatus::NotFound;
      return Answer;
    }
    const bool Conditional =
        Call.m_Verb == StoreVerb::Update || Call.m_Verb == StoreVerb::Delete;
    if (Conditional && Found->second.m_Version != Call.m_Expected) {
      Answer.m_Status = StoreStatus::Conflict;
      return Answer;
    }
    if (Call.m_Verb == StoreVerb::Delete) {
      m_Objects.erase(Found);
      return Answer;
    }
    if (Call.m_Verb != StoreVerb::Get)
      m_Objects[Call.m_Key] = {
          Call.m_Key, {++m_Version.m_Value}, *Call.m_Record};
    Answer.m_Objects.push_back(m_Objects.at(Call.m_Key));
    return Answer;
  }

  void wakeWatches(core::model::TimePoint Now) {
    for (auto It = m_Watches.begin(); It != m_Watches.end();) {
      if (!hasChanges(It->m_Call)) {
        ++It;
        continue;
      }
      answer(It->m_Caller, apply(It->m_Call), Now + m_Latency);
      It = m_Watches.erase(It);
    }
  }

  void expireWatches(core::model::TimePoint Now) {
    for (auto It = m_Watches.begin(); It != m_Watches.end();) {
      if (It->m_Until > Now) {
        ++It;
        continue;
      }
      answer(It->m_Caller, apply(It->m_Call), It->m_Until);
      It = m_Watches.erase(It);
    }
  }

  std::map<core::ports::ObjectKey, core::ports::StoredObject> m_Objects;
  std::vector<DueAnswer> m_Due;
  std::vector<WaitingWatch> m_Watches;
  std::vector<LateWrite> m_LateWrites;
  core::model::ObjectVersion m_Version;
  uint64_t m_CallCount = 0;
  struct Backup {
    std::map<core::ports::ObjectKey, core::ports::StoredObject> m_Objects;
    core::model::ObjectVersion m_Version;
  };
  Backup m_Backup;
  core::model::StoreEra m_Era{1};
};

} // namespace bronzepass::unit_tests::fakes

#endif // BRONZEPASS_UNITTESTS_FAKES_FAKESTORE_H
