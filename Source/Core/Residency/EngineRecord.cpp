#include "Core/Residency/EngineRecord.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::residency {

using gateway::LoadedModel;
using gateway::ModelRef;
using gateway::OrderReply;
using gateway::OrderVerb;

namespace {

/// An order without an answer is carried out within this time or never: the
/// platform guarantees 12 s.
constexpr model::Duration OrderLifetime = std::chrono::seconds(13);

bool holdsUse(const std::vector<LoadedModel> &Models, const ModelRef &Use) {
  const LoadedModel *const Model = gateway::findModel(Models, Use.m_Model);
  return Model && (Use.m_Adapter.empty() || Model->hasAdapter(Use.m_Adapter));
}

} // namespace

EngineRecord::EngineRecord(gateway::EndpointEntry Entry)
    : m_Entry(std::move(Entry)) {
  resetState(m_Entry);
}

void EngineRecord::resetState(const gateway::EndpointEntry &Entry) {
  m_Entry = Entry;
  m_StateKnown = false;
  m_Busy = false;
  m_OrderCount = 0;
  m_Models = Entry.m_Models;
  m_LocalWeights = Entry.m_LocalWeights;
  m_PendingAdapters.clear();
  m_LeavingAdapters.clear();
}

void EngineRecord::startTerm() {
  if (m_OpenOrder && m_OpenOrder->m_Phase != OrderPhase::Running)
    m_Unanswered.push_back({m_OpenOrder->m_Order,
                            m_OpenOrder->m_SentAt + OrderLifetime,
                            m_Entry.m_StartedAtMs});
  m_OpenOrder.reset();
  resetState(m_Entry);
}

bool EngineRecord::holds(const ModelRef &Use) const {
  return holdsUse(m_Models, Use);
}

bool EngineRecord::isDropping(const ModelRef &Adapter) const {
  return std::find(m_LeavingAdapters.begin(), m_LeavingAdapters.end(),
                   Adapter) != m_LeavingAdapters.end();
}

bool EngineRecord::hasLocalWeights(const std::string &Model) const {
  return std::find(m_LocalWeights.begin(), m_LocalWeights.end(), Model) !=
         m_LocalWeights.end();
}

int64_t EngineRecord::freeMb(const gateway::EngineSpec &Spec) const {
  int64_t Free = static_cast<int64_t>(Spec.m_WeightsMb);
  const auto Subtract = [&](const ModelRef &Use) {
    const gateway::ServedModel *const Model = Spec.model(Use.m_Model);
    // The size of an undeclared model is unknown: nothing fits beside it.
    if (!Model)
      Free = 0;
    else
      Free -= static_cast<int64_t>(Use.m_Adapter.empty() ? Model->m_WeightsMb
                                                         : Model->m_AdapterMb);
  };
  for (const LoadedModel &Each : m_Models) {
    Subtract({Each.m_Name, ""});
    for (const std::string &Adapter : Each.m_Adapters)
      Subtract({Each.m_Name, Adapter});
  }
  for (const ModelRef &Each : m_LeavingAdapters)
    Subtract(Each);
  for (const ModelRef &Each : m_PendingAdapters)
    if (!holds(Each))
      Subtract(Each);
  for (const ModelRef &Each : promisedLoads())
    Subtract(Each);
  return Free;
}

int32_t EngineRecord::freeAdapterSlots(const gateway::EngineSpec &Spec) const {
  int32_t Free = static_cast<int32_t>(Spec.m_AdapterSlots);
  for (const LoadedModel &Each : m_Models)
    Free -= static_cast<int32_t>(Each.m_Adapters.size());
  Free -= static_cast<int32_t>(m_LeavingAdapters.size());
  for (const ModelRef &Each : m_PendingAdapters)
    if (!holds(Each))
      --Free;
  for (const ModelRef &Each : promisedLoads())
    if (!Each.m_Adapter.empty())
      --Free;
  return Free;
}

std::vector<ModelRef> EngineRecord::promisedLoads() const {
  std::vector<ModelRef> Uses;
  const auto Add = [&](const gateway::PlacementOrder &Order) {
    const bool IsNew =
        std::find(Uses.begin(), Uses.end(), Order.m_ModelRef) == Uses.end();
    if (Order.m_Verb == OrderVerb::Load && !holds(Order.m_ModelRef) &&
        !isDropping(Order.m_ModelRef) && IsNew)
      Uses.push_back(Order.m_ModelRef);
  };
  if (m_OpenOrder)
    Add(m_OpenOrder->m_Order);
  // An order whose expected count has passed can no longer be carried out by
  // this engine process. After a restart the counts start from zero and may
  // match again.
  for (const UnansweredOrder &Each : m_Unanswered)
    if (Each.m_StartedAtMs != m_Entry.m_StartedAtMs ||
        Each.m_Order.m_ExpectedOrderCount >= m_OrderCount)
      Add(Each.m_Order);
  return Uses;
}

void EngineRecord::expireUnanswered(model::TimePoint Now) {
  std::erase_if(m_Unanswered, [&](const UnansweredOrder &Each) {
    return Now >= Each.m_ExpiresAt;
  });
}

bool EngineRecord::showsOpenOrderDone(
    const std::vector<LoadedModel> &Models) const {
  const gateway::PlacementOrder &Order = m_OpenOrder->m_Order;
  return holdsUse(Models, Order.m_ModelRef) ==
         (Order.m_Verb == OrderVerb::Load);
}

bool EngineRecord::setEntry(const gateway::EndpointEntry &Entry) {
  if (Entry.m_StartedAtMs != m_Entry.m_StartedAtMs) {
    // Another process under the same id. An order that is still on its way to
    // it keeps the memory for its load promised until a report settles it.
    resetState(Entry);
    return false;
  }
  m_Entry = Entry;
  m_LocalWeights = Entry.m_LocalWeights;
  // An entry may be older than an order that was accepted since. It only shows
  // that a running order is done, not what else the engine holds.
  if (!m_OpenOrder || m_OpenOrder->m_Phase != OrderPhase::Running ||
      !showsOpenOrderDone(Entry.m_Models))
    return false;
  applyOrder(m_OpenOrder->m_Order);
  m_OpenOrder.reset();
  m_Busy = false;
  return true;
}

void EngineRecord::onOrderSent(uint64_t Number, gateway::PlacementOrder Order,
                               model::TimePoint Now) {
  m_OpenOrder = OpenOrder{Number, std::move(Order), OrderPhase::Sent, Now};
}

void EngineRecord::applyOrder(const gateway::PlacementOrder &Order) {
  const ModelRef &Use = Order.m_ModelRef;
  const bool IsLoad = Order.m_Verb == OrderVerb::Load;
  if (Use.m_Adapter.empty()) {
    std::erase_if(m_Models, [&](const LoadedModel &Each) {
      return !IsLoad && Each.m_Name == Use.m_Model;
    });
    if (IsLoad && !gateway::findModel(m_Models, Use.m_Model))
      m_Models.push_back({Use.m_Model, {}});
    return;
  }
  std::erase(m_LeavingAdapters, Use);
  for (LoadedModel &Each : m_Models) {
    if (Each.m_Name != Use.m_Model)
      continue;
    std::erase(Each.m_Adapters, Use.m_Adapter);
    if (IsLoad)
      Each.m_Adapters.push_back(Use.m_Adapter);
  }
}

bool EngineRecord::onOrderReply(OrderReply Reply) {
  if (!m_OpenOrder)
    return false;
  const bool IsAdapter = !m_OpenOrder->m_Order.m_ModelRef.m_Adapter.empty();
  switch (Reply) {
  case OrderReply::Accepted:
    m_OrderCount = m_OpenOrder->m_Order.m_ExpectedOrderCount + 1;
    if (!IsAdapter) {
      m_OpenOrder->m_Phase = OrderPhase::Running;
      return false;
    }
    applyOrder(m_OpenOrder->m_Order);
    // An adapter that no request used would have been dropped at once.
    if (m_OpenOrder->m_Order.m_Verb == OrderVerb::Unload)
      m_LeavingAdapters.push_back(m_OpenOrder->m_Order.m_ModelRef);
    m_OpenOrder.reset();
    return true;
  case OrderReply::AlreadySatisfied:
    // The engine counts some of these orders and not others.
    m_StateKnown = false;
    if (IsAdapter)
      applyOrder(m_OpenOrder->m_Order);
    m_OpenOrder.reset();
    return true;
  case OrderReply::Unknown:
    m_Unanswered.push_back({m_OpenOrder->m_Order,
                            m_OpenOrder->m_SentAt + OrderLifetime,
                            m_Entry.m_StartedAtMs});
    m_OpenOrder->m_Phase = OrderPhase::Unanswered;
    m_StateKnown = false;
    return false;
  case OrderReply::Busy:
  case OrderReply::StaleToken:
  case OrderReply::Misdirected:
  case OrderReply::Rejected:
    m_StateKnown = false;
    m_OpenOrder.reset();
    return true;
  case OrderReply::NotSent:
    m_OpenOrder.reset();
    return true;
  }
  return false;
}

void EngineRecord::setReportedModels(const std::vector<LoadedModel> &Models) {
  std::erase_if(m_LeavingAdapters,
                [&](const ModelRef &Each) { return !holdsUse(Models, Each); });
  m_Models = Models;
  for (LoadedModel &Each : m_Models)
    std::erase_if(Each.m_Adapters, [&](const std::string &Adapter) {
      return isDropping({Each.m_Name, Adapter});
    });
}

bool EngineRecord::onReport(const gateway::EngineState &State) {
  if (State.m_StartedAtMs == m_Entry.m_StartedAtMs &&
      State.m_OrderCount < m_OrderCount)
    return false;
  bool Ended = false;
  if (m_OpenOrder) {
    const uint64_t Expected = m_OpenOrder->m_Order.m_ExpectedOrderCount;
    // Not answered and not counted yet: the engine may still accept it.
    if (m_OpenOrder->m_Phase != OrderPhase::Running &&
        State.m_StartedAtMs == m_Entry.m_StartedAtMs &&
        State.m_OrderCount <= Expected)
      return false;
    if (State.m_Busy) {
      m_OpenOrder->m_Phase = OrderPhase::Running;
    } else {
      m_OpenOrder.reset();
      Ended = true;
    }
  }
  m_StateKnown = true;
  m_Busy = State.m_Busy;
  m_OrderCount = State.m_OrderCount;
  setReportedModels(State.m_Models);
  m_PendingAdapters = State.m_Pending;
  m_LocalWeights = State.m_LocalWeights;
  return Ended;
}

} // namespace bronzepass::core::residency
