#include "Core/Gateway/HoldQueue.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

namespace bronzepass::core::gateway {

namespace {

/// Requests held at a busy node; more make the queue grow.
constexpr size_t ExpectedRequests = 512;
/// Requests that one request displaces at most: bounds the work of admit().
constexpr int MaxGivenUp = 16;
/// Organisations whose turns are remembered before the idle ones are erased.
constexpr size_t MaxOrganisations = 1024;
/// Lanes for which room is kept: more than models that wait at once.
constexpr size_t ExpectedLanes = 256;
/// Time over which the load of a lane is averaged.
constexpr double AverageMs = 2000;

double millisUntil(model::TimePoint Then, model::TimePoint Now) {
  return std::chrono::duration<double, std::milli>(Then - Now).count();
}

uint64_t turnKey(const HeldRequest &Request) {
  return Request.m_Organisation ^
         (static_cast<uint64_t>(Request.m_Rank) * 0x9E3779B97F4A7C15ULL);
}

} // namespace

HoldQueue::HoldQueue() {
  m_Pool.reserve(ExpectedRequests);
  m_FreePlaces.reserve(ExpectedRequests);
  m_Order.reserve(ExpectedRequests);
  m_GivenUp.reserve(MaxGivenUp);
  m_NextTurns.reserve(MaxOrganisations);
  m_Lanes.reserve(ExpectedLanes);
}

bool HoldQueue::goesBefore(const Entry &Left, const Entry &Right) {
  const HeldRequest &A = Left.m_Request;
  const HeldRequest &B = Right.m_Request;
  if (A.m_Order != B.m_Order)
    return A.m_Order < B.m_Order;
  if (Left.m_IsLate != Right.m_IsLate)
    return Right.m_IsLate;
  if (A.m_Order == HoldOrder::Slack && !Left.m_IsLate)
    return std::tie(A.m_LatestStart, A.m_Rank, A.m_Number) <
           std::tie(B.m_LatestStart, B.m_Rank, B.m_Number);
  return std::tie(A.m_Rank, Left.m_Turn, A.m_Number) <
         std::tie(B.m_Rank, Right.m_Turn, B.m_Number);
}

bool HoldQueue::displaces(const Entry &Entry, const HoldQueue::Entry &Other) {
  if (Entry.m_Request.m_Rank != Other.m_Request.m_Rank)
    return Entry.m_Request.m_Rank < Other.m_Request.m_Rank;
  return Entry.m_Turn < Other.m_Turn;
}

const HoldQueue::Entry *HoldQueue::find(model::RequestId Number) const {
  for (const Entry &Each : m_Pool)
    if (Each.m_Request.m_Number == Number)
      return &Each;
  return nullptr;
}

void HoldQueue::insert(const Entry &Value) {
  const size_t Index = indexOf(Value);
  uint32_t Place = static_cast<uint32_t>(m_Pool.size());
  if (m_FreePlaces.empty()) {
    m_Pool.push_back(Value);
  } else {
    Place = m_FreePlaces.back();
    m_FreePlaces.pop_back();
    m_Pool[Place] = Value;
  }
  m_Order.insert(m_Order.begin() + static_cast<std::ptrdiff_t>(Index), Place);
}

void HoldQueue::erase(const Entry &Value) {
  const uint32_t Place = static_cast<uint32_t>(&Value - m_Pool.data());
  m_Order.erase(std::find(m_Order.begin(), m_Order.end(), Place));
  m_Pool[Place] = Entry();
  m_FreePlaces.push_back(Place);
}

double HoldQueue::turnOf(const HeldRequest &Request) const {
  if (Request.m_EarlierTurn >= 0)
    return Request.m_EarlierTurn;
  const double Now = m_Turns[std::min<size_t>(Request.m_Rank, MaxRanks - 1)];
  const auto Found = m_NextTurns.find(turnKey(Request));
  return Found == m_NextTurns.end() ? Now : std::max(Now, Found->second.m_Turn);
}

void HoldQueue::charge(const Entry &Value) {
  if (m_NextTurns.size() >= MaxOrganisations)
    forgetIdleOrganisations();
  NextTurn &Next = m_NextTurns[turnKey(Value.m_Request)];
  Next.m_Rank = Value.m_Request.m_Rank;
  Next.m_Turn = std::max(Next.m_Turn, Value.m_Turn + Value.m_Request.m_CostMs);
}

/// An organisation whose turn has passed is treated like one that is not known.
void HoldQueue::forgetIdleOrganisations() {
  std::erase_if(m_NextTurns, [this](const auto &Each) {
    return Each.second.m_Turn <=
           m_Turns[std::min<size_t>(Each.second.m_Rank, MaxRanks - 1)];
  });
  if (m_NextTurns.size() >= MaxOrganisations)
    m_NextTurns.clear();
}

size_t HoldQueue::indexOf(const Entry &Value) const {
  return static_cast<size_t>(
      std::lower_bound(m_Order.begin(), m_Order.end(), Value,
                       [this](uint32_t Place, const Entry &Wanted) {
                         return goesBefore(m_Pool[Place], Wanted);
                       }) -
      m_Order.begin());
}

double HoldQueue::waitMs(const Entry &Value, const HoldRoom &Room) const {
  double Ahead = 0;
  const size_t Index = indexOf(Value);
  for (size_t I = 0; I < Index; ++I)
    if (entry(I).m_Request.m_Lane == Value.m_Request.m_Lane)
      Ahead += entry(I).m_Request.m_CostMs;
  return Room.m_WaitMs + Ahead * Room.m_DelayPerMs;
}

HoldQueue::Entry *HoldQueue::weakestBefore(const Entry &Value, size_t End) {
  Entry *Weakest = nullptr;
  for (size_t I = 0; I < End; ++I) {
    Entry &Each = entry(I);
    if (Each.m_Request.m_Lane == Value.m_Request.m_Lane && !Each.m_IsGivenUp &&
        displaces(Value, Each) && (!Weakest || displaces(*Weakest, Each)))
      Weakest = &Each;
  }
  return Weakest;
}

bool HoldQueue::fitsInTime(const Entry &Value, size_t Index,
                           const HoldRoom &Room, model::TimePoint Now,
                           bool &HasGivenUp) {
  const double OwnDelay = Value.m_Request.m_CostMs * Room.m_DelayPerMs;
  const double OwnLeft = millisUntil(Value.m_Request.m_LatestStart, Now);
  for (int GivenUp = 0; GivenUp <= MaxGivenUp; ++GivenUp) {
    double Wait = Room.m_WaitMs;
    for (size_t I = 0; I < Index; ++I) {
      const Entry &Each = entry(I);
      if (Each.m_Request.m_Lane == Value.m_Request.m_Lane && !Each.m_IsGivenUp)
        Wait += Each.m_Request.m_CostMs * Room.m_DelayPerMs;
    }
    // The first request that would be late and can't be given up.
    std::optional<size_t> Late;
    if (Wait > OwnLeft)
      Late = Index;
    for (size_t I = Index; I < m_Order.size() && !Late; ++I) {
      Entry &Each = entry(I);
      if (Each.m_IsLate)
        break;
      if (Each.m_Request.m_Lane != Value.m_Request.m_Lane || Each.m_IsGivenUp)
        continue;
      const double Left = millisUntil(Each.m_Request.m_LatestStart, Now);
      if (Wait > Left || Wait + OwnDelay <= Left) {
        Wait += Each.m_Request.m_CostMs * Room.m_DelayPerMs;
      } else if (displaces(Value, Each)) {
        Each.m_IsGivenUp = true;
        HasGivenUp = true;
      } else {
        Late = I;
      }
    }
    if (!Late)
      return true;
    Entry *const Weakest = weakestBefore(Value, *Late);
    if (!Weakest)
      return false;
    Weakest->m_IsGivenUp = true;
    HasGivenUp = true;
  }
  return false;
}

void HoldQueue::moveGivenUpBehind() {
  m_GivenUp.clear();
  for (const Entry &Each : m_Pool)
    if (Each.m_IsGivenUp)
      m_GivenUp.push_back(Each);
  for (Entry &Each : m_GivenUp) {
    erase(*find(Each.m_Request.m_Number));
    Each.m_IsGivenUp = false;
    Each.m_IsLate = true;
    insert(Each);
  }
}

HoldDecision HoldQueue::admit(const HeldRequest &Request, const HoldRoom &Room,
                              model::TimePoint Now) {
  const Entry *const Held = find(Request.m_Number);
  const bool IsNew = !Held;
  Entry Value{Request, IsNew ? turnOf(Request) : Held->m_Turn, false, false};
  if (!IsNew) {
    addLoad(*Held, -1, Now);
    erase(*Held);
  }
  HoldDecision Decision;
  Decision.m_Turn = Value.m_Turn;
  bool HasGivenUp = false;
  if (fitsInTime(Value, indexOf(Value), Room, Now, HasGivenUp)) {
    if (HasGivenUp)
      moveGivenUpBehind();
  } else {
    if (HasGivenUp)
      for (Entry &Each : m_Pool)
        Each.m_IsGivenUp = false;
    Value.m_IsLate = true;
    Decision.m_WaitMs = waitMs(Value, Room);
    Decision.m_Verdict =
        Decision.m_WaitMs <= millisUntil(Request.m_LateUntil, Now)
            ? HoldVerdict::Late
            : HoldVerdict::Refuse;
    if (Decision.m_Verdict == HoldVerdict::Refuse)
      return Decision;
  }
  insert(Value);
  addLoad(Value, 1, Now);
  if (IsNew)
    charge(Value);
  return Decision;
}

void HoldQueue::hold(const HeldRequest &Request, model::TimePoint Now) {
  if (find(Request.m_Number))
    return;
  const Entry Value = entryOf(Request);
  insert(Value);
  addLoad(Value, 1, Now);
  charge(Value);
}

void HoldQueue::remove(model::RequestId Number, model::TimePoint Now) {
  const Entry *const Found = find(Number);
  if (!Found)
    return;
  addLoad(*Found, -1, Now);
  erase(*Found);
}

void HoldQueue::onSent(model::RequestId Number, model::TimePoint Now) {
  const Entry *const Found = find(Number);
  if (!Found)
    return;
  const uint32_t Rank = Found->m_Request.m_Rank;
  double Turn = Found->m_Turn;
  addLoad(*Found, -1, Now);
  erase(*Found);
  // The time of the turns goes on with the earliest one that waits.
  for (const Entry &Each : m_Pool)
    if (Each.m_Request.m_Number.m_Value != 0 && Each.m_Request.m_Rank == Rank)
      Turn = std::min(Turn, Each.m_Turn);
  double &Current = m_Turns[std::min<size_t>(Rank, MaxRanks - 1)];
  Current = std::max(Current, Turn);
}

HoldQueue::LaneLoad &HoldQueue::laneLoad(uint64_t Lane, model::TimePoint Now) {
  LaneLoad &Load = m_Lanes[Lane];
  const double Passed = std::max(0.0, millisUntil(Now, Load.m_At));
  Load.m_AverageMs +=
      (Load.m_CostMs - Load.m_AverageMs) * (1 - std::exp(-Passed / AverageMs));
  Load.m_At = Now;
  return Load;
}

void HoldQueue::addLoad(const Entry &Value, double Sign, model::TimePoint Now) {
  LaneLoad &Load = laneLoad(Value.m_Request.m_Lane, Now);
  Load.m_CostMs =
      std::max(0.0, Load.m_CostMs + Sign * Value.m_Request.m_CostMs);
}

double HoldQueue::averageShare(uint64_t Lane, model::TimePoint Now) {
  const LaneLoad &Load = laneLoad(Lane, Now);
  return Load.m_CostMs <= 0
             ? 0
             : std::clamp(Load.m_AverageMs / Load.m_CostMs, 0.0, 1.0);
}

HoldQueue::Entry HoldQueue::entryOf(const HeldRequest &Request) const {
  const Entry *const Held = find(Request.m_Number);
  return Held ? Entry{Request, Held->m_Turn, Held->m_IsLate, false}
              : Entry{Request, turnOf(Request), false, false};
}

double HoldQueue::costAhead(const HeldRequest &Request) const {
  return waitMs(entryOf(Request), {0, 1});
}

size_t HoldQueue::countAhead(const HeldRequest &Request) const {
  const Entry Value = entryOf(Request);
  size_t Count = 0;
  const size_t Index = indexOf(Value);
  for (size_t I = 0; I < Index; ++I)
    Count += entry(I).m_Request.m_Lane == Request.m_Lane ? 1 : 0;
  return Count;
}

bool HoldQueue::isLate(model::RequestId Number) const {
  const Entry *const Found = find(Number);
  return Found && Found->m_IsLate;
}

} // namespace bronzepass::core::gateway
