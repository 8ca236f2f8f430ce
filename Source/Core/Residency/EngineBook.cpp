#include "Core/Residency/EngineBook.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::residency {

using gateway::LoadedModel;
using gateway::ModelRef;
using gateway::OrderReply;
using gateway::OrderVerb;

namespace {

/// An order without an answer is carried out within this, or never: the
/// platform names 12 s.
constexpr model::Duration OrderLifetime = std::chrono::seconds(13);

bool holdsUse(const std::vector<LoadedModel> &Models, const ModelRef &Use) {
  const LoadedModel *const Model = gateway::findModel(Models, Use.m_Model);
  return Model && (Use.m_Adapter.empty() || Model->hasAdapter(Use.m_Adapter));
}

} // namespace

EngineBook::EngineBook(gateway::EndpointEntry Entry)
    : m_Entry(std::move(Entry)) {
  reset(m_Entry);
}

void EngineBook::reset(const gateway::EndpointEntry &Entry) {
  m_Entry = Entry;
  m_Known = false;
  m_Busy = false;
  m_OrderCount = 0;
  m_Models = Entry.m_Models;
  m_LocalWeights = Entry.m_LocalWeights;
  m_Pending.clear();
}

void EngineBook::restart() {
  if (m_Open && m_Open->m_Phase != OrderPhase::Running)
    m_Late.push_back({m_Open->m_Order, m_Open->m_SentAt + OrderLifetime,
                      m_Entry.m_StartedAtMs});
  m_Open.reset();
  reset(m_Entry);
}

bool EngineBook::holds(const ModelRef &Use) const {
  return holdsUse(m_Models, Use);
}

bool EngineBook::hasLocalWeights(const std::string &Model) const {
  return std::find(m_LocalWeights.begin(), m_LocalWeights.end(), Model) !=
         m_LocalWeights.end();
}

int64_t EngineBook::freeMb(const gateway::EngineSpec &Spec) const {
  int64_t Free = static_cast<int64_t>(Spec.m_WeightsMb);
  const auto Take = [&](const ModelRef &Use) {
    const gateway::ServedModel *const Model = Spec.model(Use.m_Model);
    // What is not declared is of unknown size: nothing fits beside it.
    if (!Model)
      Free = 0;
    else
      Free -= static_cast<int64_t>(Use.m_Adapter.empty() ? Model->m_WeightsMb
                                                         : Model->m_AdapterMb);
  };
  for (const LoadedModel &Each : m_Models) {
    Take({Each.m_Name, ""});
    for (const std::string &Adapter : Each.m_Adapters)
      Take({Each.m_Name, Adapter});
  }
  for (const ModelRef &Each : m_Pending)
    if (!holds(Each))
      Take(Each);
  for (const ModelRef &Each : promised())
    Take(Each);
  return Free;
}

int32_t EngineBook::freeAdapterPlaces(const gateway::EngineSpec &Spec) const {
  int32_t Free = static_cast<int32_t>(Spec.m_AdapterSlots);
  for (const LoadedModel &Each : m_Models)
    Free -= static_cast<int32_t>(Each.m_Adapters.size());
  for (const ModelRef &Each : m_Pending)
    if (!holds(Each))
      --Free;
  for (const ModelRef &Each : promised())
    if (!Each.m_Adapter.empty())
      --Free;
  return Free;
}

std::vector<ModelRef> EngineBook::promised() const {
  std::vector<ModelRef> Uses;
  const auto Add = [&](const gateway::PlacementOrder &Order) {
    const bool IsNew =
        std::find(Uses.begin(), Uses.end(), Order.m_ModelRef) == Uses.end();
    if (Order.m_Verb == OrderVerb::Load && !holds(Order.m_ModelRef) && IsNew)
      Uses.push_back(Order.m_ModelRef);
  };
  if (m_Open)
    Add(m_Open->m_Order);
  // A count that has passed is passed in this life of the engine alone: in its
  // next one the counts begin anew, and may fit again.
  for (const LateOrder &Each : m_Late)
    if (Each.m_StartedAtMs != m_Entry.m_StartedAtMs ||
        Each.m_Order.m_ExpectedOrderCount >= m_OrderCount)
      Add(Each.m_Order);
  return Uses;
}

void EngineBook::expireLate(model::TimePoint Now) {
  std::erase_if(m_Late,
                [&](const LateOrder &Each) { return Now >= Each.m_Until; });
}

bool EngineBook::shows(const std::vector<LoadedModel> &Models) const {
  const gateway::PlacementOrder &Order = m_Open->m_Order;
  return holdsUse(Models, Order.m_ModelRef) ==
         (Order.m_Verb == OrderVerb::Load);
}

bool EngineBook::setEntry(const gateway::EndpointEntry &Entry) {
  if (Entry.m_StartedAtMs != m_Entry.m_StartedAtMs) {
    // Another process under the same id. An order that is still on its way to
    // it keeps what it would load promised until a report settles it.
    reset(Entry);
    return false;
  }
  m_Entry = Entry;
  m_LocalWeights = Entry.m_LocalWeights;
  // An entry may be older than an order that was accepted since: it only shows
  // that a running order is done, never what else is there.
  if (!m_Open || m_Open->m_Phase != OrderPhase::Running ||
      !shows(Entry.m_Models))
    return false;
  apply(m_Open->m_Order);
  m_Open.reset();
  m_Busy = false;
  return true;
}

void EngineBook::orderSent(uint64_t Number, gateway::PlacementOrder Order,
                           model::TimePoint Now) {
  m_Open = OpenOrder{Number, std::move(Order), OrderPhase::Asked, Now};
}

void EngineBook::apply(const gateway::PlacementOrder &Order) {
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
  for (LoadedModel &Each : m_Models) {
    if (Each.m_Name != Use.m_Model)
      continue;
    std::erase(Each.m_Adapters, Use.m_Adapter);
    if (IsLoad)
      Each.m_Adapters.push_back(Use.m_Adapter);
  }
}

bool EngineBook::orderAnswered(OrderReply Reply) {
  if (!m_Open)
    return false;
  const bool IsAdapter = !m_Open->m_Order.m_ModelRef.m_Adapter.empty();
  switch (Reply) {
  case OrderReply::Accepted:
    m_OrderCount = m_Open->m_Order.m_ExpectedOrderCount + 1;
    if (!IsAdapter) {
      m_Open->m_Phase = OrderPhase::Running;
      return false;
    }
    apply(m_Open->m_Order);
    m_Open.reset();
    return true;
  case OrderReply::AlreadySatisfied:
    // Whether it counted differs from order to order.
    m_Known = false;
    if (IsAdapter)
      apply(m_Open->m_Order);
    m_Open.reset();
    return true;
  case OrderReply::Unknown:
    m_Late.push_back({m_Open->m_Order, m_Open->m_SentAt + OrderLifetime,
                      m_Entry.m_StartedAtMs});
    m_Open->m_Phase = OrderPhase::Doubtful;
    m_Known = false;
    return false;
  case OrderReply::Busy:
  case OrderReply::StaleToken:
  case OrderReply::Misdirected:
  case OrderReply::Rejected:
    m_Known = false;
    m_Open.reset();
    return true;
  case OrderReply::NotSent:
    m_Open.reset();
    return true;
  }
  return false;
}

bool EngineBook::reported(const gateway::EngineState &State) {
  if (State.m_StartedAtMs == m_Entry.m_StartedAtMs &&
      State.m_OrderCount < m_OrderCount)
    return false;
  bool Ended = false;
  if (m_Open) {
    const uint64_t Expected = m_Open->m_Order.m_ExpectedOrderCount;
    // Unanswered and not counted yet: it may still come.
    if (m_Open->m_Phase != OrderPhase::Running &&
        State.m_StartedAtMs == m_Entry.m_StartedAtMs &&
        State.m_OrderCount <= Expected)
      return false;
    if (State.m_Busy) {
      m_Open->m_Phase = OrderPhase::Running;
    } else {
      m_Open.reset();
      Ended = true;
    }
  }
  m_Known = true;
  m_Busy = State.m_Busy;
  m_OrderCount = State.m_OrderCount;
  m_Models = State.m_Models;
  m_Pending = State.m_Pending;
  m_LocalWeights = State.m_LocalWeights;
  return Ended;
}

} // namespace bronzepass::core::residency
