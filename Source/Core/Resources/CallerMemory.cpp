#include "Core/Resources/CallerMemory.h"

#include <algorithm>

namespace bronzepass::core::resources {

namespace {

/// Outlasts a lost packet of a caller that goes on sending.
constexpr model::Duration StallTime = std::chrono::seconds(1);
/// A request moves if so many bytes arrive within StallTime, or it ends.
constexpr uint64_t MovingBytes = 1 << 10;
/// A caller may give up an attempt that is not read within a second.
constexpr model::Duration WaitLimit = std::chrono::milliseconds(500);

} // namespace

CallerMemory::CallerMemory(const MemoryShares &Shares)
    : m_Small(Shares.m_SmallRequests), m_Large(Shares.m_LargeRequests),
      m_Answers(Shares.m_UnsentAnswers), m_MaxWaiting(Shares.m_MaxWaiting) {}

void CallerMemory::setShares(const MemoryShares &Shares) {
  m_Small.setLimit(Shares.m_SmallRequests);
  m_Large.setLimit(Shares.m_LargeRequests);
  m_Answers.setLimit(Shares.m_UnsentAnswers);
  m_MaxWaiting = Shares.m_MaxWaiting;
}

void CallerMemory::begin(MemoryHolder &Holder, model::TimePoint Now) {
  Entry &Began = m_Entries[&Holder];
  Began.m_Reading = true;
  Began.m_MovedAt = Now;
  Began.m_MovedBytes = 0;
}

void CallerMemory::charge(Entry &To, uint64_t Bytes) {
  budgetOf(To.m_Bytes).remove(To.m_Bytes);
  To.m_Bytes = Bytes;
  budgetOf(Bytes).add(Bytes);
}

void CallerMemory::stopWaiting(Entry &Waiting) {
  if (Waiting.m_WaitsSince)
    --m_WaitingCount;
  Waiting.m_WaitsSince.reset();
}

bool CallerMemory::hold(MemoryHolder &Holder, uint64_t Bytes,
                        model::TimePoint Now) {
  if (makeRoom(Holder, Bytes, Now)) {
    Entry &Held = m_Entries[&Holder];
    // The pause was not the caller's.
    if (Held.m_WaitsSince)
      Held.m_MovedAt = Now;
    stopWaiting(Held);
    charge(Held, Bytes);
    return true;
  }
  Entry &Waiting = m_Entries[&Holder];
  if (!Waiting.m_WaitsSince && m_WaitingCount >= m_MaxWaiting) {
    ++m_Counters.m_LostCrowded;
    lose(Holder);
    return false;
  }
  if (!Waiting.m_WaitsSince) {
    Waiting.m_WaitsSince = Now;
    ++m_WaitingCount;
    ++m_Counters.m_Waits;
  }
  Waiting.m_Wanted = Bytes;
  return false;
}

bool CallerMemory::makeRoom(MemoryHolder &For, uint64_t Bytes,
                            model::TimePoint Now) {
  const uint64_t Held = m_Entries[&For].m_Bytes;
  MemoryBudget &Budget = budgetOf(Bytes);
  const bool IsSameBudget = &budgetOf(Held) == &Budget;
  if (IsSameBudget && Bytes <= Held)
    return true;
  const uint64_t More = IsSameBudget ? Bytes - Held : Bytes;
  if (Budget.hasRoom(More))
    return true;
  std::vector<std::pair<model::TimePoint, MemoryHolder *>> Stalled;
  uint64_t Gain = 0;
  for (const auto &[Holder, Each] : m_Entries) {
    if (Holder == &For || !Each.m_Reading || Each.m_WaitsSince ||
        Each.m_Bytes == 0 || &budgetOf(Each.m_Bytes) != &Budget ||
        Now - Each.m_MovedAt < StallTime)
      continue;
    Stalled.emplace_back(Each.m_MovedAt, Holder);
    Gain += Each.m_Bytes;
  }
  if (Budget.inUse() + More > Budget.limit() + Gain)
    return false;
  std::sort(Stalled.begin(), Stalled.end());
  for (const auto &[MovedAt, Holder] : Stalled) {
    if (Budget.hasRoom(More))
      break;
    ++m_Counters.m_LostStalled;
    lose(*Holder);
  }
  return Budget.hasRoom(More);
}

void CallerMemory::lose(MemoryHolder &Holder) {
  // Before the holder acts: it may close, or read the next request.
  end(Holder);
  Holder.onRequestLost();
}

void CallerMemory::onReceived(MemoryHolder &Holder, uint64_t Total,
                              model::TimePoint Now) {
  const auto Found = m_Entries.find(&Holder);
  if (Found == m_Entries.end())
    return;
  if (Total < Found->second.m_MovedBytes + MovingBytes)
    return;
  Found->second.m_MovedBytes = Total;
  Found->second.m_MovedAt = Now;
}

std::shared_ptr<const HeldRequest>
CallerMemory::setComplete(MemoryHolder &Holder) {
  Entry &Complete = m_Entries[&Holder];
  Complete.m_Reading = false;
  const uint64_t Bytes = Complete.m_Bytes;
  charge(Complete, 0);
  Complete.m_Request =
      std::make_shared<const HeldRequest>(budgetOf(Bytes), Bytes);
  return Complete.m_Request;
}

void CallerMemory::end(MemoryHolder &Holder) {
  const auto Found = m_Entries.find(&Holder);
  if (Found == m_Entries.end())
    return;
  stopWaiting(Found->second);
  charge(Found->second, 0);
  Found->second.m_Request.reset();
  Found->second.m_Reading = false;
}

bool CallerMemory::holdAnswer(MemoryHolder &Holder, uint64_t Bytes) {
  Entry &Writing = m_Entries[&Holder];
  m_Answers.remove(Writing.m_AnswerBytes);
  Writing.m_AnswerBytes = Bytes;
  m_Answers.add(Bytes);
  while (!m_Answers.hasRoom(0)) {
    const auto Largest = std::max_element(
        m_Entries.begin(), m_Entries.end(),
        [](const EntryMap::value_type &A, const EntryMap::value_type &B) {
          return A.second.m_AnswerBytes < B.second.m_AnswerBytes;
        });
    ++m_Counters.m_LostAnswers;
    m_Answers.remove(Largest->second.m_AnswerBytes);
    Largest->second.m_AnswerBytes = 0;
    if (Largest->first == &Holder)
      return false;
    Largest->first->onAnswerLost();
  }
  return true;
}

void CallerMemory::remove(MemoryHolder &Holder) {
  const auto Found = m_Entries.find(&Holder);
  if (Found == m_Entries.end())
    return;
  end(Holder);
  m_Answers.remove(Found->second.m_AnswerBytes);
  m_Entries.erase(Found);
}

MemoryHolder *CallerMemory::largestOf(const MemoryBudget &Of) {
  MemoryHolder *Largest = nullptr;
  uint64_t Most = 0;
  for (const auto &[Holder, Each] : m_Entries) {
    if (!Each.m_Reading || &budgetOf(Each.m_Bytes) != &Of ||
        Each.m_Bytes <= Most)
      continue;
    Most = Each.m_Bytes;
    Largest = Holder;
  }
  return Largest;
}

void CallerMemory::tick(model::TimePoint Now) {
  if (m_WaitingCount == 0)
    return;
  std::vector<std::pair<model::TimePoint, MemoryHolder *>> Waiting;
  for (const auto &[Holder, Each] : m_Entries)
    if (Each.m_WaitsSince)
      Waiting.emplace_back(*Each.m_WaitsSince, Holder);
  std::sort(Waiting.begin(), Waiting.end());
  for (const auto &[Since, Holder] : Waiting) {
    // Lost meanwhile, as others got room.
    const auto Found = m_Entries.find(Holder);
    if (Found == m_Entries.end() || !Found->second.m_WaitsSince)
      continue;
    const uint64_t Wanted = Found->second.m_Wanted;
    if (hold(*Holder, Wanted, Now)) {
      Holder->onRoom();
      continue;
    }
    if (Now - Since < WaitLimit)
      continue;
    ++m_Counters.m_LostLargest;
    MemoryHolder *const Largest = largestOf(budgetOf(Wanted));
    lose(Largest ? *Largest : *Holder);
    // One a tick: the room may be enough for all.
    return;
  }
}

} // namespace bronzepass::core::resources
