#ifndef BRONZEPASS_UNITTESTS_PLACEMENT_PLACEMENTCLUSTER_H
#define BRONZEPASS_UNITTESTS_PLACEMENT_PLACEMENTCLUSTER_H

#include "Core/Placement/PlacementCore.h"
#include "UnitTests/Fakes/FakeEngine.h"
#include "UnitTests/Fakes/FakeStore.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace bronzepass::unit_tests::placement {

using namespace std::chrono_literals;
namespace model = core::model;
namespace ports = core::ports;

constexpr uint64_t GiB = uint64_t(1) << 30;

/// Simulates several placement cores with one store and the engines of one
/// pool, in virtual time. Tests choose the delays of the network for orders.
class PlacementCluster {
public:
  /// Delays after which an order reaches its engine, one for each arrival;
  /// empty if it is lost.
  using Network = std::function<std::vector<model::Duration>()>;
  /// Called when an unload has taken effect on a serving copy.
  using UnloadObserver =
      std::function<void(const model::EngineOrder &, model::TimePoint SentAt)>;

  struct Node {
    std::unique_ptr<core::placement::PlacementCore> m_Core;
    bool m_Paused = false;
    bool m_Gone = false;
    model::FencingToken m_Token;
    /// Orders that the core emitted but the node has not sent yet.
    std::vector<ports::OrderSend> m_UnsentOrders;
    std::vector<ports::StoreAnswer> m_Answers;
  };
  struct InTransitOrder {
    model::TimePoint m_At;
    model::TimePoint m_SentAt;
    size_t m_Node = 0;
    model::EngineOrder m_Order;
    bool m_AnswerLost = false;
  };

  PlacementCluster(std::shared_ptr<const model::Intent> Intent, size_t Nodes,
                   core::placement::PlacementSettings Settings = {})
      : m_Settings(Settings), m_Intent(std::move(Intent)) {
    for (size_t I = 0; I < Nodes; ++I)
      addNode();
    for (const model::EndpointSpec &Spec : pool().m_Endpoints) {
      fakes::FakeEngine Engine;
      Engine.m_Spec = Spec;
      Engine.m_Fencing = pool().m_Fencing;
      m_Engines.push_back(std::move(Engine));
      m_Reachable.push_back(true);
    }
  }

  const model::PoolSpec &pool() const { return m_Intent->m_Pools.front(); }
  model::NodeId nodeId(size_t Node) const {
    return model::NodeId("node-" + std::to_string(Node));
  }

  void addNode() {
    const size_t Index = m_Nodes.size();
    m_Nodes.emplace_back();
    m_Nodes.back().m_Core = std::make_unique<core::placement::PlacementCore>(
        nodeId(Index),
        [this, Index](ports::StoreCall Call) {
          Call.m_Id = {++m_LastCall};
          m_Store.submit(nodeId(Index), Call, m_Now);
          return Call.m_Id;
        },
        m_Settings);
    run(Index, [&](auto &Core, auto &Effects) {
      Core.intentChanged(m_Intent, m_Now, Effects);
    });
  }

  /// Makes \p Holder the lease holder, under a new lease token.
  void grantLease(size_t Holder) {
    m_Holder = Holder;
    m_Nodes[Holder].m_Token = {++m_LastToken};
    renew();
  }

  void renew() {
    Node &Holder = m_Nodes[m_Holder];
    if (Holder.m_Paused || Holder.m_Gone)
      return;
    run(m_Holder, [&](auto &Core, auto &Effects) {
      Core.leaseHeld({core::placement::poolLease(pool().m_Name), Holder.m_Token,
                      m_Now + LeaseTerm},
                     m_Now, Effects);
    });
  }

  /// Pauses the node; its unsent orders are kept.
  void pause(size_t Index) { m_Nodes[Index].m_Paused = true; }

  /// Resumes the node: it sends its kept orders, then learns of the newer
  /// lease.
  void resume(size_t Index) {
    Node &Resumed = m_Nodes[Index];
    Resumed.m_Paused = false;
    for (const ports::OrderSend &Send : Resumed.m_UnsentOrders)
      send(Index, Send.m_Order);
    Resumed.m_UnsentOrders.clear();
    deliverAnswers(Index);
    run(Index, [&](auto &Core, auto &Effects) { Core.tick(m_Now, Effects); });
    if (Index == m_Holder)
      return;
    Resumed.m_Core->leaseLost(core::placement::poolLease(pool().m_Name));
  }

  /// Removes the node's VM from the list; its unsent orders are dropped.
  void kill(size_t Index) {
    m_Nodes[Index].m_Gone = true;
    m_Nodes[Index].m_Paused = false;
    m_Nodes[Index].m_UnsentOrders.clear();
  }

  void changeIntent(std::shared_ptr<const model::Intent> Value) {
    m_Intent = std::move(Value);
    for (size_t I = 0; I < m_Nodes.size(); ++I)
      run(I, [&](auto &Core, auto &Effects) {
        Core.intentChanged(m_Intent, m_Now, Effects);
      });
  }

  /// Advances time by \p Time in steps of \p Step.
  void runFor(model::Duration Time, model::Duration Step = 1s) {
    const model::TimePoint End = m_Now + Time;
    while (m_Now < End)
      step(Step);
  }

  void step(model::Duration Step) {
    m_Now += Step;
    deliver();
    for (size_t I = 0; I < m_Engines.size(); ++I) {
      m_Engines[I].advance(m_Now);
      report(I);
    }
    answerStoreCalls();
    renew();
    for (size_t I = 0; I < m_Nodes.size(); ++I)
      run(I, [&](auto &Core, auto &Effects) { Core.tick(m_Now, Effects); });
    fenceFormerHolders();
    if (m_AfterStep)
      m_AfterStep();
  }

  uint32_t serving(const model::ArtifactId &Artifact) const {
    uint32_t Count = 0;
    for (const fakes::FakeEngine &Engine : m_Engines)
      Count += Engine.serves(Artifact);
    return Count;
  }

  core::placement::PlacementCore &holder() { return *m_Nodes[m_Holder].m_Core; }

  static constexpr model::Duration LeaseTerm = 10s;

  core::placement::PlacementSettings m_Settings;
  std::shared_ptr<const model::Intent> m_Intent;
  model::TimePoint m_Now{std::chrono::hours(1)};
  fakes::FakeStore m_Store;
  std::vector<Node> m_Nodes;
  std::vector<fakes::FakeEngine> m_Engines;
  std::vector<bool> m_Reachable;
  size_t m_Holder = 0;
  Network m_Network = [] { return std::vector<model::Duration>{0ms}; };
  std::function<bool()> m_LoseAnswer = [] { return false; };
  UnloadObserver m_OnUnload;
  std::function<void()> m_AfterStep;
  std::vector<InTransitOrder> m_InTransit;
  std::vector<model::Decision> m_Decisions;
  bool m_KeepDecisions = false;

private:
  template <typename InputT> void run(size_t Index, const InputT &Input) {
    Node &Runner = m_Nodes[Index];
    if (Runner.m_Paused || Runner.m_Gone)
      return;
    ports::EffectList Effects;
    Input(*Runner.m_Core, Effects);
    for (ports::Effect &Effect : Effects) {
      if (auto *Order = std::get_if<ports::OrderSend>(&Effect))
        Runner.m_UnsentOrders.push_back(std::move(*Order));
      else if (m_KeepDecisions && std::get_if<model::Decision>(&Effect))
        m_Decisions.push_back(std::get<model::Decision>(std::move(Effect)));
    }
  }

  void send(size_t Index, const model::EngineOrder &Order) {
    const std::vector<model::Duration> Arrivals = m_Network();
    for (model::Duration Delay : Arrivals)
      m_InTransit.push_back(
          {m_Now + Delay, m_Now, Index, Order, m_LoseAnswer()});
  }

  /// Orders are sent one step after the decision, so that a pause can come
  /// between.
  void deliver() {
    for (size_t I = 0; I < m_Nodes.size(); ++I) {
      if (m_Nodes[I].m_Paused || m_Nodes[I].m_Gone)
        continue;
      const std::vector<ports::OrderSend> Unsent =
          std::move(m_Nodes[I].m_UnsentOrders);
      m_Nodes[I].m_UnsentOrders.clear();
      for (const ports::OrderSend &Send : Unsent)
        send(I, Send.m_Order);
    }
    std::stable_sort(
        m_InTransit.begin(), m_InTransit.end(),
        [](const auto &A, const auto &B) { return A.m_At < B.m_At; });
    while (!m_InTransit.empty() && m_InTransit.front().m_At <= m_Now) {
      const InTransitOrder Due = m_InTransit.front();
      m_InTransit.erase(m_InTransit.begin());
      applyOrder(Due);
    }
  }

  void applyOrder(const InTransitOrder &Due) {
    for (size_t I = 0; I < m_Engines.size(); ++I) {
      fakes::FakeEngine &Engine = m_Engines[I];
      if (Engine.m_Spec.m_Name != Due.m_Order.m_Endpoint || !m_Reachable[I])
        continue;
      const bool Served = Engine.serves(Due.m_Order.m_Artifact);
      const model::OrderAnswer Answer = Engine.apply(Due.m_Order, m_Now);
      if (m_OnUnload && Served && !Engine.serves(Due.m_Order.m_Artifact))
        m_OnUnload(Due.m_Order, Due.m_SentAt);
      if (!Due.m_AnswerLost)
        run(Due.m_Node, [&](auto &Core, auto &Effects) {
          Core.orderAnswered(Answer, m_Now, Effects);
        });
    }
  }

  void report(size_t Engine) {
    const model::EngineReport Report = m_Engines[Engine].report(m_Now);
    for (size_t I = 0; I < m_Nodes.size(); ++I)
      run(I, [&](auto &Core, auto &Effects) {
        if (m_Reachable[Engine])
          Core.reportReceived(Report, m_Now, Effects);
        else
          Core.reportMissed({Report.m_Endpoint}, m_Now, Effects);
      });
  }

  /// Stands for the part of a node that asks former lease holders for an
  /// acknowledgement, or finds their VMs gone. A resumed node acknowledges only
  /// after it has sent its kept orders.
  void fenceFormerHolders() {
    for (const core::placement::UnfencedNode &Former : holder().unfencedNodes())
      for (size_t I = 0; I < m_Nodes.size(); ++I) {
        if (nodeId(I) != Former.m_Node || m_Nodes[I].m_Paused)
          continue;
        run(m_Holder, [&](auto &Core, auto &Effects) {
          if (m_Nodes[I].m_Gone)
            Core.nodeGone(Former.m_Node, m_Now, Effects);
          else
            Core.predecessorFenced(Former.m_Lease, Former.m_Node,
                                   Former.m_Token, m_Now, Effects);
        });
      }
  }

  void answerStoreCalls() {
    for (fakes::FakeStore::DueAnswer &Due : m_Store.takeDue(m_Now))
      for (size_t I = 0; I < m_Nodes.size(); ++I)
        if (nodeId(I) == Due.m_Caller)
          m_Nodes[I].m_Answers.push_back(std::move(Due.m_Answer));
    for (size_t I = 0; I < m_Nodes.size(); ++I)
      deliverAnswers(I);
  }

  /// A paused node receives its answers when it resumes.
  void deliverAnswers(size_t Index) {
    if (m_Nodes[Index].m_Paused || m_Nodes[Index].m_Gone)
      return;
    const std::vector<ports::StoreAnswer> Answers =
        std::move(m_Nodes[Index].m_Answers);
    m_Nodes[Index].m_Answers.clear();
    for (const ports::StoreAnswer &Answer : Answers)
      run(Index, [&](auto &Core, auto &Effects) {
        Core.storeAnswered(Answer, m_Now, Effects);
      });
  }

  uint64_t m_LastCall = 0;
  uint64_t m_LastToken = 0;
};

/// An intent with one pool of \p Engines engines, and \p Models models.
inline model::Intent makeSmallIntent(uint32_t Engines, uint32_t Models,
                                     model::FencingMode Fencing) {
  model::Intent Value{.m_Generation = {1}, .m_Name = "small"};
  model::PoolSpec Pool{.m_Name = model::PoolId("engines"),
                       .m_Fencing = Fencing};
  for (uint32_t I = 0; I < Engines; ++I)
    Pool.m_Endpoints.push_back(
        {.m_Name = model::EndpointId("e" + std::to_string(I)),
         .m_Domain = model::DomainId("d" + std::to_string(I % 2)),
         .m_MemoryBytes = 100 * GiB,
         .m_Accelerators = 1,
         .m_Slots = 8});
  Value.m_Pools.push_back(std::move(Pool));
  for (uint32_t I = 0; I < Models; ++I)
    Value.m_Models.push_back({.m_Name = model::ModelId("m" + std::to_string(I)),
                              .m_Labels = {{"name", "m" + std::to_string(I)}},
                              .m_Versions = {{.m_Version = "v1",
                                              .m_MemoryBytes = 30 * GiB,
                                              .m_LoadTime = 50s}}});
  Value.m_WeightStore = {2, 8};
  return Value;
}

inline std::shared_ptr<const model::Intent> makeShared(model::Intent Value) {
  return std::make_shared<const model::Intent>(std::move(Value));
}

} // namespace bronzepass::unit_tests::placement

#endif // BRONZEPASS_UNITTESTS_PLACEMENT_PLACEMENTCLUSTER_H
