#ifndef BRONZEPASS_CORE_RESIDENCY_ENGINERECORD_H
#define BRONZEPASS_CORE_RESIDENCY_ENGINERECORD_H

#include "Core/Gateway/EndpointEntry.h"
#include "Core/Gateway/GatewayConfig.h"
#include "Core/Gateway/PlacementOrder.h"
#include "Core/Model/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::residency {

/// Progress of an engine's open order.
enum class OrderPhase {
  /// Sent; the answer may still come.
  Sent,
  /// Accepted; the engine carries it out.
  Running,
  /// No answer came: the engine may have accepted it, or may do so later.
  Unanswered,
};

/// An order that was sent to an engine and has not ended.
struct OpenOrder {
  uint64_t m_Number = 0;
  gateway::PlacementOrder m_Order;
  OrderPhase m_Phase = OrderPhase::Sent;
  model::TimePoint m_SentAt;

  friend auto operator<=>(const OpenOrder &, const OpenOrder &) = default;
};

/// What the lease holder knows about one engine, and how much of the engine's
/// memory it has promised to loads. At most one order is open at a time. Each
/// order names the order count that it expects, so that one that arrives late
/// finds another count and does nothing. Until the engine's own count settles
/// an open order, the memory for its load stays promised.
class EngineRecord {
public:
  explicit EngineRecord(gateway::EndpointEntry Entry);

  const gateway::EndpointEntry &entry() const { return m_Entry; }
  const std::vector<gateway::LoadedModel> &models() const { return m_Models; }
  const std::optional<OpenOrder> &openOrder() const { return m_OpenOrder; }
  /// The engine has reported, and no order since has left its state in doubt.
  bool isStateKnown() const { return m_StateKnown; }
  /// The engine carries out an order that is not the open one, such as one of a
  /// previous lease holder.
  bool runsUnknownOrder() const { return m_Busy && !m_OpenOrder; }
  /// It drops adapters once the requests that use them have ended. Until a
  /// report shows that it has, their slots and memory are taken, while other
  /// orders go on.
  const std::vector<gateway::ModelRef> &leavingAdapters() const {
    return m_LeavingAdapters;
  }
  bool isDropping(const gateway::ModelRef &Adapter) const;
  uint64_t orderCount() const { return m_OrderCount; }
  /// An order may be sent: the state is known and no order is open or running.
  bool canTakeOrder() const {
    return m_StateKnown && !m_OpenOrder && !m_Busy && !m_Entry.m_Draining;
  }
  bool holds(const gateway::ModelRef &Use) const;
  /// Whether \p Model could be loaded without the weight store.
  bool hasLocalWeights(const std::string &Model) const;

  /// Memory that is neither used nor promised; negative where more is.
  int64_t freeMb(const gateway::EngineSpec &Spec) const;
  /// Adapter slots that are neither used nor promised.
  int32_t freeAdapterSlots(const gateway::EngineSpec &Spec) const;

  /// Takes the engine's changed registration. True where it shows that the open
  /// order is done.
  bool setEntry(const gateway::EndpointEntry &Entry);
  /// A new term of the lease begins: the engine has to report again, and the
  /// memory of unanswered orders stays promised.
  void startTerm();
  void onOrderSent(uint64_t Number, gateway::PlacementOrder Order,
                   model::TimePoint Now);
  /// True where this ends the open order.
  bool onOrderReply(gateway::OrderReply Reply);
  /// True where this ends the open order. A report that is older than what is
  /// known is ignored.
  bool onReport(const gateway::EngineState &State);
  /// Forgets unanswered orders that can no longer be carried out.
  void expireUnanswered(model::TimePoint Now);

private:
  /// An order without an answer: it may be carried out until m_ExpiresAt.
  struct UnansweredOrder {
    gateway::PlacementOrder m_Order;
    model::TimePoint m_ExpiresAt;
    /// Start time of the engine process that it was sent to.
    int64_t m_StartedAtMs = 0;
  };

  void resetState(const gateway::EndpointEntry &Entry);
  /// Loads that memory is promised to and that the engine does not hold yet:
  /// of the open order and of unanswered orders.
  std::vector<gateway::ModelRef> promisedLoads() const;
  void applyOrder(const gateway::PlacementOrder &Order);
  /// Takes the models of a report, apart from adapters that are leaving.
  void setReportedModels(const std::vector<gateway::LoadedModel> &Models);
  bool
  showsOpenOrderDone(const std::vector<gateway::LoadedModel> &Models) const;

  gateway::EndpointEntry m_Entry;
  bool m_StateKnown = false;
  bool m_Busy = false;
  uint64_t m_OrderCount = 0;
  std::vector<gateway::LoadedModel> m_Models;
  std::vector<gateway::ModelRef> m_PendingAdapters;
  /// Their unloads were accepted and wait for requests to end; not in m_Models.
  std::vector<gateway::ModelRef> m_LeavingAdapters;
  std::vector<std::string> m_LocalWeights;
  std::optional<OpenOrder> m_OpenOrder;
  std::vector<UnansweredOrder> m_Unanswered;
};

} // namespace bronzepass::core::residency

#endif // BRONZEPASS_CORE_RESIDENCY_ENGINERECORD_H
