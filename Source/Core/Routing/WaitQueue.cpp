#include "Core/Routing/WaitQueue.h"

#include <algorithm>

namespace bronzepass::core::routing {

bool WaitQueue::push(const LaneKey &Key, const QueuedRequest &Value) {
  Lane &Into = m_Lanes[Key];
  if (Into.m_Count >= m_MaxRequests ||
      Into.m_Bytes + Value.m_Bytes > m_MaxBytes) {
    if (Into.m_Count == 0)
      m_Lanes.erase(Key);
    return false;
  }
  ClassLane &Class = Into.m_Classes[indexOf(Value.m_Priority)];
  if (Class.m_Count == 0)
    Class.m_Served =
        std::max(Class.m_Served, m_ServedFloor[indexOf(Value.m_Priority)]);
  Line &Own = Class.m_Lines[Value.m_Caller];
  if (Own.m_Requests.empty()) {
    auto Next = nextLine(Class);
    if (Next != Class.m_Lines.end())
      Own.m_Served = std::max(Own.m_Served, Next->second.m_Served);
  }
  Own.m_Requests.push_back(Value);
  ++Class.m_Count;
  ++Into.m_Count;
  Into.m_Bytes += Value.m_Bytes;
  ++m_Count;
  return true;
}

void WaitQueue::taken(LaneMap::iterator Found, const QueuedRequest &Value) {
  Lane &From = Found->second;
  ClassLane &Class = From.m_Classes[indexOf(Value.m_Priority)];
  auto Own = Class.m_Lines.find(Value.m_Caller);
  if (Own->second.m_Requests.empty())
    Class.m_Lines.erase(Own);
  --Class.m_Count;
  --From.m_Count;
  From.m_Bytes -= Value.m_Bytes;
  --m_Count;
  if (From.m_Count == 0)
    m_Lanes.erase(Found);
}

bool WaitQueue::remove(const LaneKey &Key, const QueuedRequest &Value) {
  auto Found = m_Lanes.find(Key);
  if (Found == m_Lanes.end())
    return false;
  ClassLane &Class = Found->second.m_Classes[indexOf(Value.m_Priority)];
  auto Own = Class.m_Lines.find(Value.m_Caller);
  if (Own == Class.m_Lines.end())
    return false;
  std::deque<QueuedRequest> &Requests = Own->second.m_Requests;
  auto Place = std::find_if(Requests.begin(), Requests.end(),
                            [&Value](const QueuedRequest &Each) {
                              return Each.m_Request == Value.m_Request;
                            });
  if (Place == Requests.end())
    return false;
  QueuedRequest Gone = *Place;
  Requests.erase(Place);
  taken(Found, Gone);
  return true;
}

std::vector<LaneKey> WaitQueue::lanes(model::Priority Class) const {
  std::vector<LaneMap::const_iterator> Order;
  for (auto It = m_Lanes.begin(); It != m_Lanes.end(); ++It) {
    if (It->second.m_Classes[indexOf(Class)].m_Count > 0)
      Order.push_back(It);
  }
  std::stable_sort(
      Order.begin(), Order.end(),
      [Class](LaneMap::const_iterator Left, LaneMap::const_iterator Right) {
        return Left->second.m_Classes[indexOf(Class)].m_Served <
               Right->second.m_Classes[indexOf(Class)].m_Served;
      });
  std::vector<LaneKey> Keys;
  Keys.reserve(Order.size());
  for (LaneMap::const_iterator Each : Order)
    Keys.push_back(Each->first);
  return Keys;
}

std::map<model::CallerId, WaitQueue::Line>::const_iterator
WaitQueue::nextLine(const ClassLane &Class) {
  auto Best = Class.m_Lines.end();
  for (auto It = Class.m_Lines.begin(); It != Class.m_Lines.end(); ++It) {
    if (It->second.m_Requests.empty())
      continue;
    if (Best == Class.m_Lines.end() ||
        It->second.m_Served < Best->second.m_Served)
      Best = It;
  }
  return Best;
}

const QueuedRequest *WaitQueue::front(const LaneKey &Key,
                                      model::Priority Class) const {
  auto Found = m_Lanes.find(Key);
  if (Found == m_Lanes.end())
    return nullptr;
  const ClassLane &Waiting = Found->second.m_Classes[indexOf(Class)];
  auto Next = nextLine(Waiting);
  return Next == Waiting.m_Lines.end() ? nullptr
                                       : &Next->second.m_Requests.front();
}

void WaitQueue::pop(const LaneKey &Key, model::Priority Class) {
  auto Found = m_Lanes.find(Key);
  if (Found == m_Lanes.end())
    return;
  ClassLane &Waiting = Found->second.m_Classes[indexOf(Class)];
  auto Next = nextLine(Waiting);
  if (Next == Waiting.m_Lines.end())
    return;
  Line &Own = Waiting.m_Lines.find(Next->first)->second;
  QueuedRequest Value = Own.m_Requests.front();
  Own.m_Requests.pop_front();
  Own.m_Served += Value.m_Work / std::max(1U, Value.m_Weight);
  m_ServedFloor[indexOf(Class)] =
      std::max(m_ServedFloor[indexOf(Class)], Waiting.m_Served);
  Waiting.m_Served += Value.m_Work;
  taken(Found, Value);
}

std::optional<QueuedRequest> WaitQueue::newestBatch(const LaneKey &Key) const {
  auto Found = m_Lanes.find(Key);
  if (Found == m_Lanes.end())
    return std::nullopt;
  std::optional<QueuedRequest> Newest;
  const ClassLane &Batch =
      Found->second.m_Classes[indexOf(model::Priority::Batch)];
  for (const auto &[Caller, Own] : Batch.m_Lines) {
    for (const QueuedRequest &Each : Own.m_Requests) {
      if (!Newest || Newest->m_Request < Each.m_Request)
        Newest = Each;
    }
  }
  return Newest;
}

double WaitQueue::ahead(const LaneKey &Key, const model::CallerId &Caller,
                        model::Priority Class) const {
  auto Found = m_Lanes.find(Key);
  if (Found == m_Lanes.end())
    return 0;
  const Lane &In = Found->second;
  const ClassLane &Same = In.m_Classes[indexOf(Class)];
  auto Own = Same.m_Lines.find(Caller);
  double OwnCount =
      Own == Same.m_Lines.end() ? 0 : Own->second.m_Requests.size();
  // Callers take turns, so a caller waits for as many of each other caller.
  double Turns = (OwnCount + 1) * static_cast<double>(Same.m_Lines.size());
  double Ahead = std::min<double>(Same.m_Count, Turns);
  if (Class == model::Priority::Batch)
    Ahead += In.m_Classes[indexOf(model::Priority::Interactive)].m_Count;
  return Ahead;
}

} // namespace bronzepass::core::routing
