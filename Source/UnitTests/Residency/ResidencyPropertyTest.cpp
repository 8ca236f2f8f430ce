#include "Core/Residency/ResidencyCore.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <set>

namespace bronzepass::core::residency {

namespace {

using namespace std::chrono_literals;
using gateway::EngineState;
using gateway::LoadedModel;
using gateway::ModelRef;
using gateway::OrderReply;
using gateway::OrderVerb;
using gateway::PlacementOrder;

constexpr uint64_t WeightsMb = 210;
constexpr uint32_t AdapterPlaces = 2;
constexpr double LoadsPerSecond = 2;
constexpr model::Duration LoadTime = 2s;

/// Engines as the platform specifies them: one order at a time, with the
/// expected count and the fencing token checked when the order is carried out.
struct SimulatedEngines {
  struct Engine {
    std::vector<LoadedModel> m_Models;
    uint64_t m_Count = 0;
    uint64_t m_Token = 0;
    int64_t m_Born = 1;
    std::optional<PlacementOrder> m_Running;
    model::TimePoint m_DoneAt;
    /// When the last request that uses an adapter ends.
    std::map<ModelRef, model::TimePoint> m_UsedUntil;
    /// Adapters that are dropped once no request uses them.
    std::set<ModelRef> m_Leaving;

    void drop(const ModelRef &Adapter) {
      for (LoadedModel &Each : m_Models)
        if (Each.m_Name == Adapter.m_Model)
          std::erase(Each.m_Adapters, Adapter.m_Adapter);
      m_Leaving.erase(Adapter);
    }
  };
  struct DelayedOrder {
    model::TimePoint m_At;
    PlacementOrder m_Order;
  };

  OrderReply execute(const PlacementOrder &Order, model::TimePoint Now) {
    Engine &Target = m_Engines.at(Order.m_Endpoint);
    if (Order.m_Token.m_Value < Target.m_Token)
      return OrderReply::StaleToken;
    Target.m_Token = Order.m_Token.m_Value;
    if (Target.m_Running || Order.m_ExpectedOrderCount != Target.m_Count)
      return OrderReply::Busy;
    LoadedModel *Held = nullptr;
    for (LoadedModel &Each : Target.m_Models)
      if (Each.m_Name == Order.m_ModelRef.m_Model)
        Held = &Each;
    const bool IsAdapter = !Order.m_ModelRef.m_Adapter.empty();
    if (IsAdapter && !Held)
      return OrderReply::Misdirected;
    ++Target.m_Count;
    if (IsAdapter && Order.m_Verb == OrderVerb::Unload) {
      if (Now >= Target.m_UsedUntil[Order.m_ModelRef]) {
        Target.drop(Order.m_ModelRef);
        return OrderReply::AlreadySatisfied;
      }
      Target.m_Leaving.insert(Order.m_ModelRef);
      return OrderReply::Accepted;
    }
    if (IsAdapter) {
      std::erase(Held->m_Adapters, Order.m_ModelRef.m_Adapter);
      Held->m_Adapters.push_back(Order.m_ModelRef.m_Adapter);
      Target.m_Leaving.erase(Order.m_ModelRef);
      checkCapacity(Target, std::nullopt);
      return OrderReply::Accepted;
    }
    if (Order.m_Verb == OrderVerb::Load) {
      m_LoadStarts.push_back(Now);
      checkCapacity(Target, Order.m_ModelRef.m_Model);
    }
    Target.m_Running = Order;
    Target.m_DoneAt =
        Now + (Order.m_Verb == OrderVerb::Load ? LoadTime : 100ms);
    return OrderReply::Accepted;
  }

  void checkCapacity(const Engine &Target,
                     const std::optional<std::string> &LoadingModel) {
    uint64_t Used = LoadingModel ? 100 : 0;
    uint32_t Adapters = 0;
    for (const LoadedModel &Each : Target.m_Models) {
      Used += Each.m_Name == LoadingModel ? 0 : 100;
      Used += Each.m_Adapters.size();
      Adapters += static_cast<uint32_t>(Each.m_Adapters.size());
    }
    CHECK(Used <= WeightsMb);
    CHECK(Adapters <= AdapterPlaces);
  }

  void advance(model::TimePoint Now) {
    for (auto &Each : m_Engines) {
      Engine &Target = Each.second;
      for (const ModelRef &Leaving : std::set<ModelRef>(Target.m_Leaving))
        if (Now >= Target.m_UsedUntil[Leaving])
          Target.drop(Leaving);
      if (!Target.m_Running || Now < Target.m_DoneAt)
        continue;
      const std::string &Model = Target.m_Running->m_ModelRef.m_Model;
      std::erase_if(Target.m_Models, [&](const LoadedModel &Held) {
        return Held.m_Name == Model;
      });
      if (Target.m_Running->m_Verb == OrderVerb::Load)
        Target.m_Models.push_back({Model, {}});
      Target.m_Running.reset();
    }
    while (!m_DelayedOrders.empty() && m_DelayedOrders.front().m_At <= Now) {
      execute(m_DelayedOrders.front().m_Order, Now);
      m_DelayedOrders.pop_front();
    }
  }

  void checkLoadRate() const {
    constexpr model::Duration Window = 5s;
    for (size_t First = 0; First < m_LoadStarts.size(); ++First) {
      size_t Last = First;
      while (Last < m_LoadStarts.size() &&
             m_LoadStarts[Last] < m_LoadStarts[First] + Window)
        ++Last;
      CHECK(static_cast<double>(Last - First) <= LoadsPerSecond * 5 * 1.1 + 3);
    }
  }

  std::map<model::EndpointId, Engine> m_Engines;
  std::deque<DelayedOrder> m_DelayedOrders;
  std::vector<model::TimePoint> m_LoadStarts;
};

/// Two nodes that hold the lease in turn, with lost answers, late orders,
/// engine restarts and demand that shifts between models.
class ResidencyRun {
public:
  explicit ResidencyRun(uint64_t Seed)
      : m_Random(Seed), m_First({}, model::NodeId("n1")),
        m_Second({}, model::NodeId("n2")) {
    gateway::GatewayConfig Config;
    Config.m_Version = 1;
    gateway::ServiceSpec Service;
    Service.m_Name = "s";
    Service.m_Engine = gateway::EngineSpec();
    Service.m_Engine->m_Slots = 4;
    Service.m_Engine->m_WeightsMb = WeightsMb;
    Service.m_Engine->m_AdapterSlots = AdapterPlaces;
    Service.m_Engine->m_LoadsPerSecond = LoadsPerSecond;
    for (const char *const Name : {"a", "b", "c", "d"})
      Service.m_Engine->m_Models.push_back({Name, 100, LoadTime, 3, 1});
    Config.m_Services = {Service};
    const std::shared_ptr<const gateway::RouteTable> Table =
        std::make_shared<gateway::RouteTable>(Config);
    m_First.setTable(Table);
    m_Second.setTable(Table);
    const char *const Held[] = {"a", "b", "c", "d"};
    for (int I = 0; I < 4; ++I)
      m_Simulated.m_Engines[model::EndpointId("e" + std::to_string(I))]
          .m_Models = {{Held[I], {}}, {Held[(I + 1) % 2], {}}};
    for (auto &Each : m_Simulated.m_Engines)
      std::sort(Each.second.m_Models.begin(), Each.second.m_Models.end());
    for (auto &Each : m_Simulated.m_Engines)
      Each.second.m_Models.erase(
          std::unique(Each.second.m_Models.begin(), Each.second.m_Models.end()),
          Each.second.m_Models.end());
  }

  void run() {
    constexpr int Steps = 400;
    for (int I = 0; I < Steps; ++I) {
      m_Now += 50ms;
      m_Simulated.advance(m_Now);
      step();
    }
    m_Simulated.checkLoadRate();
  }

private:
  ResidencyCore &holder() { return m_HolderIsFirst ? m_First : m_Second; }

  void step() {
    if (m_Token == 0 || m_Random() % 90 == 0)
      changeHolder();
    model::HeldLease Lease{{"placement"}, {m_Token}, m_Now + 2s};
    ResidencyEffectList Out;
    holder().setLease(Lease, m_Now, Out);
    if (m_Random() % 3 == 0)
      holder().setEndpoints(entries(), m_Now, Out);
    const std::string Model(
        1, static_cast<char>('a' + (m_Now.time_since_epoch() / 4s) % 4));
    m_DemandTokens += 400;
    holder().onDemandReport(
        model::NodeId("n"), 1,
        {{"s", {Model, ""}, m_DemandTokens, m_DemandTokens}}, m_Now);
    if (m_Random() % 4 == 0)
      holder().onCopyRequest(
          {"s", {Model, "a" + std::to_string(m_Random() % 3)}}, m_Now, Out);
    if (m_Random() % 150 == 0)
      restartRandomEngine();
    if (m_Random() % 4 == 0)
      useRandomAdapter();
    holder().tick(m_Now, Out);
    applyEffects(Out);
  }

  void changeHolder() {
    ResidencyEffectList Out;
    holder().setLease(std::nullopt, m_Now, Out);
    m_HolderIsFirst = !m_HolderIsFirst;
    ++m_Token;
    holder().setEndpoints(entries(), m_Now, Out);
    applyEffects(Out);
  }

  void restartRandomEngine() {
    auto Chosen = m_Simulated.m_Engines.begin();
    std::advance(Chosen, m_Random() % m_Simulated.m_Engines.size());
    const int64_t Born = Chosen->second.m_Born + 1;
    Chosen->second = SimulatedEngines::Engine();
    Chosen->second.m_Born = Born;
  }

  /// A request that lasts for some seconds uses an adapter that an engine
  /// holds.
  void useRandomAdapter() {
    auto Chosen = m_Simulated.m_Engines.begin();
    std::advance(Chosen, m_Random() % m_Simulated.m_Engines.size());
    SimulatedEngines::Engine &Engine = Chosen->second;
    for (const LoadedModel &Each : Engine.m_Models)
      for (const std::string &Adapter : Each.m_Adapters) {
        const ModelRef Used{Each.m_Name, Adapter};
        if (!Engine.m_Leaving.contains(Used))
          Engine.m_UsedUntil[Used] =
              m_Now + std::chrono::milliseconds(m_Random() % 6000);
      }
  }

  std::vector<gateway::EndpointEntry> entries() {
    std::vector<gateway::EndpointEntry> Entries;
    for (const auto &Each : m_Simulated.m_Engines) {
      gateway::EndpointEntry Entry;
      Entry.m_Id = Each.first;
      Entry.m_StartedAtMs = Each.second.m_Born;
      Entry.m_Service = "s";
      Entry.m_Models = Each.second.m_Models;
      Entry.m_Renewals = ++m_Renewals;
      Entries.push_back(Entry);
    }
    return Entries;
  }

  void applyEffects(ResidencyEffectList Effects) {
    while (!Effects.empty()) {
      ResidencyEffectList FollowUps;
      for (const ResidencyEffect &Each : Effects) {
        if (const SendOrder *const Order = std::get_if<SendOrder>(&Each))
          replyTo(*Order, FollowUps);
        if (const RequestReport *const Request =
                std::get_if<RequestReport>(&Each))
          holder().onReport(Request->m_Endpoint, report(Request->m_Endpoint),
                            m_Now, FollowUps);
      }
      Effects = std::move(FollowUps);
    }
  }

  void replyTo(const SendOrder &Sent, ResidencyEffectList &Out) {
    OrderReply Reply = OrderReply::Unknown;
    switch (m_Random() % 6) {
    case 0: // No answer, and carried out 2 to 12 s later.
      m_Simulated.m_DelayedOrders.push_back(
          {m_Now + 2s + std::chrono::milliseconds(m_Random() % 10000),
           Sent.m_Order});
      std::sort(m_Simulated.m_DelayedOrders.begin(),
                m_Simulated.m_DelayedOrders.end(),
                [](const SimulatedEngines::DelayedOrder &Left,
                   const SimulatedEngines::DelayedOrder &Right) {
                  return Left.m_At < Right.m_At;
                });
      break;
    case 1: // Carried out, but the answer is lost.
      m_Simulated.execute(Sent.m_Order, m_Now);
      break;
    case 2:
      Reply = OrderReply::NotSent;
      break;
    default:
      Reply = m_Simulated.execute(Sent.m_Order, m_Now);
    }
    holder().onOrderReply(Sent.m_Number, Reply, m_Now, Out);
  }

  std::optional<EngineState> report(const model::EndpointId &Endpoint) {
    if (m_Random() % 5 == 0)
      return std::nullopt;
    const SimulatedEngines::Engine &Asked = m_Simulated.m_Engines.at(Endpoint);
    EngineState State;
    State.m_StartedAtMs = Asked.m_Born;
    State.m_OrderCount = Asked.m_Count;
    State.m_Busy = Asked.m_Running.has_value();
    State.m_Models = Asked.m_Models;
    return State;
  }

  std::mt19937_64 m_Random;
  SimulatedEngines m_Simulated;
  ResidencyCore m_First;
  ResidencyCore m_Second;
  bool m_HolderIsFirst = true;
  uint64_t m_Token = 0;
  uint64_t m_DemandTokens = 0;
  uint64_t m_Renewals = 0;
  model::TimePoint m_Now = model::TimePoint(1s);
};

} // namespace

TEST_CASE("engine capacity and the load rate are never exceeded over 10,000 "
          "runs with late, lost and repeated orders") {
  constexpr uint64_t Seeds = 10000;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    CAPTURE(Seed);
    ResidencyRun(Seed).run();
  }
}

} // namespace bronzepass::core::residency
