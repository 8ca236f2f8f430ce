#ifndef BRONZEPASS_CORE_RESIDENCY_ENGINEBOOK_H
#define BRONZEPASS_CORE_RESIDENCY_ENGINEBOOK_H

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
  Asked,
  /// Accepted; the engine carries it out.
  Running,
  /// No answer came: it may have been accepted, or may be later.
  Doubtful,
};

struct OpenOrder {
  uint64_t m_Number = 0;
  gateway::PlacementOrder m_Order;
  OrderPhase m_Phase = OrderPhase::Asked;
  model::TimePoint m_SentAt;

  friend auto operator<=>(const OpenOrder &, const OpenOrder &) = default;
};

/// What the lease holder knows of one engine, and what it has promised of its
/// memory. At most one order is open at a time, and each names the count of
/// orders it expects, so that one that is carried out late finds another count
/// and does nothing. Until the engine's own count settles an open order, what
/// it would load stays promised.
class EngineBook {
public:
  explicit EngineBook(gateway::EndpointEntry Entry);

  const gateway::EndpointEntry &entry() const { return m_Entry; }
  const std::vector<gateway::LoadedModel> &models() const { return m_Models; }
  const std::optional<OpenOrder> &open() const { return m_Open; }
  bool isKnown() const { return m_Known; }
  /// It carries out an order that is not known here.
  bool isBusyElsewhere() const { return m_Busy && !m_Open; }
  uint64_t orderCount() const { return m_OrderCount; }
  /// Orders may be sent: its state is known and none is open.
  bool isFree() const {
    return m_Known && !m_Open && !m_Busy && !m_Entry.m_Draining;
  }
  bool holds(const gateway::ModelRef &Use) const;
  /// Whether \p Model could be loaded without the weight store.
  bool hasLocalWeights(const std::string &Model) const;

  /// Memory and adapter places that are not promised.
  int64_t freeMb(const gateway::EngineSpec &Spec) const;
  int32_t freeAdapterPlaces(const gateway::EngineSpec &Spec) const;

  /// The registration has changed. True where an open order has ended by it.
  bool setEntry(const gateway::EndpointEntry &Entry);
  /// Another term of the lease begins: what is there is asked anew, and what
  /// was not answered stays promised.
  void restart();
  void orderSent(uint64_t Number, gateway::PlacementOrder Order,
                 model::TimePoint Now);
  /// True where the order has ended by it.
  bool orderAnswered(gateway::OrderReply Reply);
  /// True where an open order has ended by it. A report that is older than
  /// what is known is passed over.
  bool reported(const gateway::EngineState &State);
  /// Forgets unanswered orders that can't be carried out any more.
  void expireLate(model::TimePoint Now);

private:
  /// An order that nobody answered: it may be carried out until m_Until.
  struct LateOrder {
    gateway::PlacementOrder m_Order;
    model::TimePoint m_Until;
    /// Of the engine's life that it was sent to.
    int64_t m_StartedAtMs = 0;
  };

  void reset(const gateway::EndpointEntry &Entry);
  /// Loads that are promised without being held: the open order's and those
  /// that may come late.
  std::vector<gateway::ModelRef> promised() const;
  void apply(const gateway::PlacementOrder &Order);
  bool shows(const std::vector<gateway::LoadedModel> &Models) const;

  gateway::EndpointEntry m_Entry;
  bool m_Known = false;
  bool m_Busy = false;
  uint64_t m_OrderCount = 0;
  std::vector<gateway::LoadedModel> m_Models;
  std::vector<gateway::ModelRef> m_Pending;
  std::vector<std::string> m_LocalWeights;
  std::optional<OpenOrder> m_Open;
  std::vector<LateOrder> m_Late;
};

} // namespace bronzepass::core::residency

#endif // BRONZEPASS_CORE_RESIDENCY_ENGINEBOOK_H
