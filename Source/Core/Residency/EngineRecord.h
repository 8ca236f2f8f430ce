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

/// How far the one order that an engine may have open has come.
enum class OrderPhase {
  /// Sent, no answer yet.
  Sent,
  /// Accepted; the engine carries it out.
  Running,
  /// No answer came: it may have been accepted, or may be later.
  Unanswered,
};

struct OpenOrder {
  uint64_t m_Number = 0;
  gateway::PlacementOrder m_Order;
  OrderPhase m_Phase = OrderPhase::Sent;
  model::TimePoint m_SentAt;

  friend auto operator<=>(const OpenOrder &, const OpenOrder &) = default;
};

/// What the lease holder knows of one engine, and what it has promised of its
/// memory. At most one order is open at a time, and each names the count of
/// orders it expects, so that one that is carried out late finds another count
/// and does nothing. Until the engine's own count settles an open order, what
/// it would load stays promised.
class EngineRecord {
public:
  explicit EngineRecord(gateway::EndpointEntry Entry);

  const gateway::EndpointEntry &entry() const { return m_Entry; }
  const std::vector<gateway::HeldModel> &models() const { return m_Models; }
  const std::optional<OpenOrder> &openOrder() const { return m_OpenOrder; }
  bool isStateKnown() const { return m_StateKnown; }
  /// It carries out an order that is not known here.
  bool runsUnknownOrder() const { return m_Busy && !m_OpenOrder; }
  uint64_t orderCount() const { return m_OrderCount; }
  /// Orders may be sent: its state is known and none is open.
  bool canTakeOrder() const {
    return m_StateKnown && !m_OpenOrder && !m_Busy && !m_Entry.m_Draining;
  }
  bool holds(const gateway::ModelUse &Use) const;
  /// Whether \p Model could be loaded without the weight store.
  bool hasLocalWeights(const std::string &Model) const;

  /// Memory and adapter places that are not promised.
  int64_t freeMb(const gateway::EngineSpec &Spec) const;
  int32_t freeAdapterSlots(const gateway::EngineSpec &Spec) const;

  /// The registration has changed. True where an open order has ended by it.
  bool setEntry(const gateway::EndpointEntry &Entry);
  /// Another term of the lease begins: what is there is asked anew, and what
  /// was not answered stays promised.
  void startTerm();
  void onOrderSent(uint64_t Number, gateway::PlacementOrder Order,
                   model::TimePoint Now);
  /// True where the order has ended by it.
  bool onOrderReply(gateway::OrderReply Reply);
  /// True where an open order has ended by it. A report that is older than
  /// what is known is passed over.
  bool onReport(const gateway::EngineState &State);
  /// Forgets unanswered orders that can't be carried out any more.
  void expireUnanswered(model::TimePoint Now);

private:
  /// An order that nobody answered: it may be carried out until m_ExpiresAt.
  struct UnansweredOrder {
    gateway::PlacementOrder m_Order;
    model::TimePoint m_ExpiresAt;
    /// Of the engine's life that it was sent to.
    int64_t m_BornMs = 0;
  };

  void resetState(const gateway::EndpointEntry &Entry);
  /// Loads that are promised without being held: the open order's and those
  /// that may come late.
  std::vector<gateway::ModelUse> promisedLoads() const;
  void applyOrder(const gateway::PlacementOrder &Order);
  bool showsOpenOrderDone(const std::vector<gateway::HeldModel> &Models) const;

  gateway::EndpointEntry m_Entry;
  bool m_StateKnown = false;
  bool m_Busy = false;
  uint64_t m_OrderCount = 0;
  std::vector<gateway::HeldModel> m_Models;
  std::vector<gateway::ModelUse> m_Pending;
  std::vector<std::string> m_LocalWeights;
  std::optional<OpenOrder> m_OpenOrder;
  std::vector<UnansweredOrder> m_Unanswered;
};

} // namespace bronzepass::core::residency

#endif // BRONZEPASS_CORE_RESIDENCY_ENGINERECORD_H
