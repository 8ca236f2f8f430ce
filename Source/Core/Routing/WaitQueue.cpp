#include "Core/Routing/WaitQueue.h"

#include <algorithm>

namespace bronzepass::core::routing {

bool WaitQueue::push(const LaneKey &Key, const QueuedRequest &Value) {
  Lane &Target = m_Lanes[Key];
  if (Target.m_Count >= m_MaxRequests ||
      Target.m_Bytes + Value.m_Bytes > m_MaxBytes) {
    if (Target.m_Count == 0)
      m_Lanes.erase(Key);
    return false;
  }
  PriorityLane &Class = Target.m_Classes[indexOf(Value.m_Priority)];
  if (Class.m_Count == 0)
    Class.m_VirtualTime = std::max(Class.m_VirtualTime,
                                   m_MinVirtualTime[indexOf(Value.m_Priority)]);
  CallerQueue &Queue = Class.m_CallerQueues[Value.m_Caller];
  if (Queue.m_Requests.empty()) {
    auto Next = nextCallerQueue(Class);
    if (Next != Class.m_CallerQueues.end())
      Queue.m_VirtualTime =
          std::max(Queue.m_VirtualTime, Next->second.m_VirtualTime);
  }
  Queue.m_Requests.push_back(Value);
  ++Class.m_Count;
  ++Target.m_Count;
  Target.m_Bytes += Value.m_Bytes;
  ++m_Count;
  return true;
}

void WaitQueue::updateAfterRemoval(LaneMap::iterator Found,
                                   const QueuedRequest &Value) {
  Lane &From = Found->second;
  PriorityLane &Class = From.m_Classes[indexOf(Value.m_Priority)];
  auto Queue = Class.m_CallerQueues.find(Value.m_Caller);
  if (Queue->second.m_Requests.empty())
    Class.m_CallerQueues.erase(Queue);
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
  PriorityLane &Class = Found->second.m_Classes[indexOf(Value.m_Priority)];
  auto Queue = Class.m_CallerQueues.find(Value.m_Caller);
  if (Queue == Class.m_CallerQueues.end())
    return false;
  std::deque<QueuedRequest> &Requests = Queue->second.m_Requests;
  auto Place = std::find_if(Requests.begin(), Requests.end(),
                            [&Value](const QueuedRequest &Each) {
                              return Each.m_Request == Value.m_Request;
                            });
  if (Place == Requests.end())
    return false;
  QueuedRequest Removed = *Place;
  Requests.erase(Place);
  updateAfterRemoval(Found, Removed);
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
        return Left->second.m_Classes[indexOf(Class)].m_VirtualTime <
               Right->second.m_Classes[indexOf(Class)].m_VirtualTime;
      });
  std::vector<LaneKey> Keys;
  Keys.reserve(Order.size());
  for (LaneMap::const_iterator Each : Order)
    Keys.push_back(Each->first);
  return Keys;
}

std::map<model::CallerId, WaitQueue::CallerQueue>::const_iterator
WaitQueue::nextCallerQueue(const PriorityLane &Class) {
  auto Best = Class.m_CallerQueues.end();
  for (auto It = Class.m_CallerQueues.begin(); It != Class.m_CallerQueues.end();
       ++It) {
    if (It->second.m_Requests.empty())
      continue;
    if (Best == Class.m_CallerQueues.end() ||
        It->second.m_VirtualTime < Best->second.m_VirtualTime)
      Best = It;
  }
  return Best;
}

const QueuedRequest *WaitQueue::front(const LaneKey &Key,
                                      model::Priority Class) const {
  auto Found = m_Lanes.find(Key);
  if (Found == m_Lanes.end())
    return nullptr;
  const PriorityLane &Waiting = Found->second.m_Classes[indexOf(Class)];
  auto Next = nextCallerQueue(Waiting);
  return Next == Waiting.m_CallerQueues.end()
             ? nullptr
             : &Next->second.m_Requests.front();
}

void WaitQueue::pop(const LaneKey &Key, model::Priority Class) {
  auto Found = m_Lanes.find(Key);
  if (Found == m_Lanes.end())
    return;
  PriorityLane &Waiting = Found->second.m_Classes[indexOf(Class)];
  auto Next = nextCallerQueue(Waiting);
  if (Next == Waiting.m_CallerQueues.end())
    return;
  CallerQueue &Queue = Waiting.m_CallerQueues.find(Next->first)->second;
  QueuedRequest Value = Queue.m_Requests.front();
  Queue.m_Requests.pop_front();
  Queue.m_VirtualTime += Value.m_ServiceSeconds / std::max(1U, Value.m_Weight);
  m_MinVirtualTime[indexOf(Class)] =
      std::max(m_MinVirtualTime[indexOf(Class)], Waiting.m_VirtualTime);
  Waiting.m_VirtualTime += Value.m_ServiceSeconds;
  updateAfterRemoval(Found, Value);
}

std::optional<QueuedRequest> WaitQueue::newestBatch(const LaneKey &Key) const {
  auto Found = m_Lanes.find(Key);
  if (Found == m_Lanes.end())
    return std::nullopt;
  std::optional<QueuedRequest> Newest;
  const PriorityLane &Batch =
      Found->second.m_Classes[indexOf(model::Priority::Batch)];
  for (const auto &[Caller, Queue] : Batch.m_CallerQueues) {
    for (const QueuedRequest &Each : Queue.m_Requests) {
      if (!Newest || Newest->m_Request < Each.m_Request)
        Newest = Each;
    }
  }
  return Newest;
}

double WaitQueue::countAhead(const LaneKey &Key, const model::CallerId &Caller,
                             model::Priority Class) const {
  auto Found = m_Lanes.find(Key);
  if (Found == m_Lanes.end())
    return 0;
  const Lane &Waiting = Found->second;
  const PriorityLane &SameClass = Waiting.m_Classes[indexOf(Class)];
  auto Queue = SameClass.m_CallerQueues.find(Caller);
  double OwnCount = Queue == SameClass.m_CallerQueues.end()
                        ? 0
                        : Queue->second.m_Requests.size();
  // Callers take turns: for each request of its own, a caller waits for one of
  // each other caller.
  double Turns =
      (OwnCount + 1) * static_cast<double>(SameClass.m_CallerQueues.size());
  double Ahead = std::min<double>(SameClass.m_Count, Turns);
  if (Class == model::Priority::Batch)
    Ahead += Waiting.m_Classes[indexOf(model::Priority::Interactive)].m_Count;
  return Ahead;
}

} // namespace bronzepass::core::routing
