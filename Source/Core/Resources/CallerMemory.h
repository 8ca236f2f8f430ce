#ifndef BRONZEPASS_CORE_RESOURCES_CALLERMEMORY_H
#define BRONZEPASS_CORE_RESOURCES_CALLERMEMORY_H

#include "Core/Model/Time.h"
#include "Core/Resources/HeldRequest.h"
#include "Core/Resources/MemoryBudget.h"
#include "Core/Resources/MemoryShares.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace bronzepass::core::resources {

/// A caller's connection, as the account of memory sees it.
class MemoryHolder {
public:
  virtual ~MemoryHolder() = default;
  /// There is room again for what the holder waits for.
  virtual void onRoom() = 0;
  /// The holder loses its request, which is not complete: it refuses it and
  /// gives up what it holds.
  virtual void onRequestLost() = 0;
  /// The caller reads its answer too slowly: the holder gives it up.
  virtual void onAnswerLost() = 0;
};

/// How often memory ran short, by what became of it.
struct MemoryCounters {
  uint64_t m_Waits = 0;
  /// Requests refused since they had not moved while others needed room.
  uint64_t m_LostStalled = 0;
  /// Requests refused since no room came in time.
  uint64_t m_LostLargest = 0;
  /// Requests refused at once since too many waited.
  uint64_t m_LostCrowded = 0;
  uint64_t m_LostAnswers = 0;

  friend auto operator<=>(const MemoryCounters &,
                          const MemoryCounters &) = default;
};

/// The memory that callers hold in this process. A request that is incomplete
/// loses before one that is complete, which never does; of several, the one
/// that has not moved for longest, or else the one that holds the most.
class CallerMemory {
public:
  explicit CallerMemory(const MemoryShares &Shares);

  void setShares(const MemoryShares &Shares);

  /// \p Holder begins to read a request.
  void begin(MemoryHolder &Holder, model::TimePoint Now);
  /// Lets the request hold \p Bytes in all. False: it has to wait for onRoom(),
  /// or was lost during this call.
  bool hold(MemoryHolder &Holder, uint64_t Bytes, model::TimePoint Now);
  /// The request holds \p Bytes, no more than it was let hold.
  void settle(MemoryHolder &Holder, uint64_t Bytes) {
    charge(m_Entries[&Holder], Bytes);
  }
  /// Bytes of the request have arrived, \p Total up to now.
  void onReceived(MemoryHolder &Holder, uint64_t Total, model::TimePoint Now);
  /// From now on, the request can't be lost. It is counted until the holder has
  /// ended it and the returned object is gone.
  std::shared_ptr<const HeldRequest> setComplete(MemoryHolder &Holder);
  /// The request has been answered or given up.
  void end(MemoryHolder &Holder);

  /// Bytes of answers that the caller has not read yet. False: the answer of
  /// this holder is the one to give up.
  bool holdAnswer(MemoryHolder &Holder, uint64_t Bytes);

  /// The connection is closed.
  void remove(MemoryHolder &Holder);

  /// Gives room to those that wait, and takes it from others if they wait for
  /// long.
  void tick(model::TimePoint Now);

  const MemoryBudget &smallRequests() const { return m_Small; }
  const MemoryBudget &largeRequests() const { return m_Large; }
  const MemoryBudget &unsentAnswers() const { return m_Answers; }
  size_t waitingCount() const { return m_WaitingCount; }
  const MemoryCounters &counters() const { return m_Counters; }

private:
  struct Entry {
    bool m_Reading = false;
    uint64_t m_Bytes = 0;
    uint64_t m_AnswerBytes = 0;
    /// Once it is complete; not in m_Bytes.
    std::shared_ptr<const HeldRequest> m_Request;
    /// What a holder that waits needs in all.
    uint64_t m_Wanted = 0;
    std::optional<model::TimePoint> m_WaitsSince;
    model::TimePoint m_MovedAt;
    /// What had arrived then.
    uint64_t m_MovedBytes = 0;
  };
  using EntryMap = std::map<MemoryHolder *, Entry>;

  MemoryBudget &budgetOf(uint64_t Bytes) {
    return Bytes > SmallRequestBytes ? m_Large : m_Small;
  }
  void charge(Entry &To, uint64_t Bytes);
  void stopWaiting(Entry &Waiting);
  /// Whether \p Bytes in all fit, if those that don't move lose.
  bool makeRoom(MemoryHolder &For, uint64_t Bytes, model::TimePoint Now);
  void lose(MemoryHolder &Holder);
  /// The incomplete request that holds the most of \p Of.
  MemoryHolder *largestOf(const MemoryBudget &Of);

  MemoryBudget m_Small;
  MemoryBudget m_Large;
  MemoryBudget m_Answers;
  size_t m_MaxWaiting;
  size_t m_WaitingCount = 0;
  EntryMap m_Entries;
  MemoryCounters m_Counters;
};

} // namespace bronzepass::core::resources

#endif // BRONZEPASS_CORE_RESOURCES_CALLERMEMORY_H
