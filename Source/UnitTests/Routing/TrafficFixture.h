#ifndef BRONZEPASS_UNITTESTS_ROUTING_TRAFFICFIXTURE_H
#define BRONZEPASS_UNITTESTS_ROUTING_TRAFFICFIXTURE_H

#include "Core/Routing/TrafficCore.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace bronzepass::unit_tests::routing {

using namespace core;          // NOLINT: names of the code under test.
using namespace core::routing; // NOLINT

class SeededRandom final : public ports::Random {
public:
  explicit SeededRandom(uint64_t Seed) : m_Engine(Seed) {}
  uint64_t next() override { return m_Engine(); }

private:
  std::mt19937_64 m_Engine;
};

constexpr model::Duration Second = std::chrono::seconds(1);
constexpr model::Duration Millisecond = std::chrono::milliseconds(1);
constexpr model::TimePoint StartTime{std::chrono::hours(1)};

/// One engine pool "engines" with model "gas" (version "1") on each engine, and
/// one service pool "booking" whose "/confirm" may not be repeated.
inline model::Intent smallIntent(uint32_t Engines, uint32_t Services) {
  model::Intent Intent;
  model::PoolSpec Pool;
  Pool.m_Name = model::PoolId("engines");
  for (uint32_t Index = 0; Index < Engines; ++Index)
    Pool.m_Endpoints.push_back(
        {.m_Name = model::EndpointId("e" + std::to_string(Index)),
         .m_Address = {"10.0.0.1", static_cast<uint16_t>(8000 + Index)},
         .m_Domain = model::DomainId("d1"),
         .m_Slots = 4});
  Intent.m_Pools.push_back(Pool);
  model::PoolSpec Booking;
  Booking.m_Name = model::PoolId("booking");
  Booking.m_Kind = model::PoolKind::Service;
  Booking.m_PathPrefix = "/booking";
  Booking.m_Routes = {{"/confirm", false}};
  for (uint32_t Index = 0; Index < Services; ++Index)
    Booking.m_Endpoints.push_back(
        {.m_Name = model::EndpointId("s" + std::to_string(Index)),
         .m_Address = {"10.0.0.2", static_cast<uint16_t>(9000 + Index)},
         .m_Domain = model::DomainId("d1"),
         .m_Slots = 4});
  Intent.m_Pools.push_back(Booking);
  model::ModelSpec Model;
  Model.m_Name = model::ModelId("gas");
  Model.m_Versions.push_back({.m_Version = "1", .m_LoadTime = 40 * Second});
  Intent.m_Models.push_back(Model);
  return Intent;
}

inline model::NodeInfo nodeNamed(const std::string &Name) {
  model::NodeInfo Node;
  Node.m_Node = model::NodeId(Name);
  Node.m_Domain = model::DomainId("d1");
  Node.m_CallerAddress = {"10.0.1." + Name.substr(1), 80};
  return Node;
}

/// A routing table's inputs with every engine serving "gas".
inline RoutingInputs smallInputs(uint32_t Engines, uint32_t Services) {
  RoutingInputs Inputs;
  Inputs.m_Intent =
      std::make_shared<model::Intent>(smallIntent(Engines, Services));
  for (uint32_t Index = 0; Index < Engines; ++Index)
    Inputs.m_Copies.push_back({{model::ModelId("gas"), "1", model::AdapterId()},
                               model::EndpointId("e" + std::to_string(Index)),
                               model::CopyState::Serving});
  Inputs.m_Self = nodeNamed("n1");
  Inputs.m_Nodes = {Inputs.m_Self};
  return Inputs;
}

/// Drives a traffic core with a routing table, one event at a time.
class TrafficFixture {
public:
  explicit TrafficFixture(RoutingInputs Inputs, TrafficSettings Settings = {})
      : m_Inputs(std::move(Inputs)), m_Random(7),
        m_Core(Settings, m_Random, m_Inputs.m_Self) {
    publishTable();
  }

  void publishTable() { send(TableChanged{RoutingTable::build(m_Inputs)}); }

  /// Returns the effects of this event.
  const TrafficEffectList &send(const TrafficEvent &Event) {
    m_Effects.clear();
    m_Core.handle(Event, m_Now, m_Effects);
    m_AllEffects.insert(m_AllEffects.end(), m_Effects.begin(), m_Effects.end());
    return m_Effects;
  }

  void advanceTime(model::Duration Span) {
    m_Now += Span;
    send(TrafficTick());
  }

  model::Request modelRequest(uint64_t Id) const {
    model::Request Request;
    Request.m_Id = {Id};
    Request.m_Caller = model::CallerId("crew");
    Request.m_Model = model::ModelId("gas");
    Request.m_Deadline = m_Now + 10 * Second;
    Request.m_Stream = true;
    return Request;
  }

  /// A call that must not be repeated; \p Key is empty for none.
  model::Request confirmRequest(uint64_t Id, const std::string &Key) const {
    model::Request Request;
    Request.m_Id = {Id};
    Request.m_Caller = model::CallerId("crew");
    Request.m_ServicePool = model::PoolId("booking");
    Request.m_Repeatable = false;
    Request.m_Deadline = m_Now + 10 * Second;
    if (!Key.empty())
      Request.m_IdempotencyKey = Key;
    return Request;
  }

  /// The first effect of this type of the last event, or null.
  template <typename EffectT> const EffectT *effect() const {
    for (const TrafficEffect &Effect : m_Effects) {
      if (std::holds_alternative<EffectT>(Effect))
        return &std::get<EffectT>(Effect);
    }
    return nullptr;
  }

  /// All effects of this type since the start.
  template <typename EffectT> std::vector<EffectT> allEffects() const {
    std::vector<EffectT> Found;
    for (const TrafficEffect &Effect : m_AllEffects) {
      if (std::holds_alternative<EffectT>(Effect))
        Found.push_back(std::get<EffectT>(Effect));
    }
    return Found;
  }

  /// The attempt that the last event started; 0 if it started none.
  model::AttemptId startedAttempt() const {
    const StartAttempt *Start = effect<StartAttempt>();
    return Start ? Start->m_Attempt : model::AttemptId();
  }

  RoutingInputs m_Inputs;
  SeededRandom m_Random;
  model::TimePoint m_Now = StartTime;
  TrafficCore m_Core;
  TrafficEffectList m_Effects;
  TrafficEffectList m_AllEffects;
};

} // namespace bronzepass::unit_tests::routing

#endif // BRONZEPASS_UNITTESTS_ROUTING_TRAFFICFIXTURE_H
