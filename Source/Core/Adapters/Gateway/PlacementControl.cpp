#include "Core/Adapters/Gateway/PlacementControl.h"

#include "Core/Model/Hash.h"

#include <string>
#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;

namespace {

/// Orders and reports are answered within some milliseconds. An order that is
/// not is settled by the engine's count: the sooner, the better.
constexpr model::Duration OrderTimeout = std::chrono::milliseconds(300);
constexpr model::Duration ReportTimeout = std::chrono::milliseconds(800);
/// A holder whose token was refused leaves the matter alone for this many
/// terms of its lease.
constexpr int RefusedTerms = 2;
const model::LeaseName PlacementLease{"placement"};

leases::GovernorSettings governorSettings() {
  leases::GovernorSettings Settings;
  // A write that is refused is looked at anew, not repeated blindly.
  Settings.m_MaxAttempts = 2;
  return Settings;
}

} // namespace

PlacementControl::PlacementControl(const Options &Values,
                                   const gateway::Dialect &Dialect,
                                   ControlCalls &Calls, net::EventLoop &Loop,
                                   const ports::Clock &Clock,
                                   ports::Random &Dice, GatewayLog &Log,
                                   PlacementEvents &Events)
    : m_Options(Values), m_Dialect(Dialect), m_Calls(Calls), m_Loop(Loop),
      m_Clock(Clock), m_Log(Log), m_Events(Events),
      m_Governor(governorSettings(), Dice),
      m_Keeper(m_Options.m_Lease, m_Options.m_Self, m_Governor, Dice),
      m_Residency(m_Options.m_Residency, m_Options.m_Self) {}

void PlacementControl::tick() {
  const model::TimePoint Now = m_Clock.now();
  ports::EffectList Effects;
  for (const leases::RoutedAnswer &Each : m_Governor.tick(Now, Effects))
    noteLease(m_Keeper.onStoreAnswer(Each.m_Answer, Now, Effects));
  noteLease(m_Keeper.tick(Now, Effects));
  submit(Effects);
  syncLease();
  decide([](residency::ResidencyCore &Core, model::TimePoint At,
            residency::ResidencyEffectList &Out) { Core.tick(At, Out); });
}

void PlacementControl::setTable(
    std::shared_ptr<const gateway::RouteTable> Table) {
  m_Residency.setTable(std::move(Table));
}

void PlacementControl::setEndpoints(
    const std::vector<gateway::EndpointEntry> &Entries) {
  decide([&](residency::ResidencyCore &Core, model::TimePoint Now,
             residency::ResidencyEffectList &Out) {
    Core.setEndpoints(Entries, Now, Out);
  });
}

void PlacementControl::demandSeen(
    const model::NodeId &Node, uint64_t Start,
    const std::vector<gateway::UsageCounter> &Uses) {
  m_Residency.onDemandReport(Node, Start, Uses, m_Clock.now());
}

void PlacementControl::copyWanted(const gateway::CopyRequest &Wanted) {
  decide([&](residency::ResidencyCore &Core, model::TimePoint Now,
             residency::ResidencyEffectList &Out) {
    Core.onCopyRequest(Wanted, Now, Out);
  });
}

void PlacementControl::peersHeard(const std::vector<model::NodeId> &Nodes) {
  if (m_Stopping)
    return;
  const uint64_t Own =
      model::rendezvousWeight(PlacementLease.m_Duty, m_Options.m_Self.str());
  uint32_t Rank = 0;
  for (const model::NodeId &Each : Nodes)
    if (model::rendezvousWeight(PlacementLease.m_Duty, Each.str()) > Own)
      ++Rank;
  ports::EffectList Effects;
  m_Keeper.setCandidacies({{PlacementLease, Rank}}, m_Clock.now(), Effects);
  submit(Effects);
}

void PlacementControl::stop() {
  m_Stopping = true;
  ports::EffectList Effects;
  m_Keeper.stop(m_Clock.now(), Effects);
  submit(Effects);
  syncLease();
}

void PlacementControl::submit(const ports::EffectList &Effects) {
  for (const ports::Effect &Each : Effects) {
    const ports::StoreCall *const Call = std::get_if<ports::StoreCall>(&Each);
    if (!Call)
      continue;
    const std::optional<gateway::HttpCall> Made = m_Dialect.storeCall(*Call);
    if (!Made) {
      m_Loop.post([this, Id = Call->m_Id] {
        takeStoreAnswer({.m_Id = Id, .m_Status = ports::StoreStatus::Rejected});
      });
      continue;
    }
    m_Calls.call(m_Options.m_Store, *Made, Call->m_Timeout,
                 [this, Call = *Call](const gateway::HttpResult &Result) {
                   takeStoreAnswer(m_Dialect.readStore(Call, Result));
                 });
  }
}

void PlacementControl::takeStoreAnswer(const ports::StoreAnswer &Answer) {
  const model::TimePoint Now = m_Clock.now();
  ports::EffectList Effects;
  const std::optional<leases::RoutedAnswer> Final =
      m_Governor.onAnswer(Answer, Now, Effects);
  if (Final)
    noteLease(m_Keeper.onStoreAnswer(Final->m_Answer, Now, Effects));
  submit(Effects);
  syncLease();
}

void PlacementControl::noteLease(
    const std::vector<leases::LeaseNotice> &Notices) {
  for (const leases::LeaseNotice &Each : Notices)
    m_Log.write("placement",
                Each.m_Change == leases::LeaseChange::Gained ? "lease_gained"
                                                             : "lease_lost",
                {{"token", static_cast<int64_t>(Each.m_Lease.m_Token.m_Value)},
                 {"reason", Each.m_Reason}});
}

void PlacementControl::syncLease() {
  const model::TimePoint Now = m_Clock.now();
  std::optional<model::HeldLease> Held = m_Keeper.find(PlacementLease, Now);
  if (m_SuspendedUntil && Now < *m_SuspendedUntil)
    Held.reset();
  decide([&](residency::ResidencyCore &Core, model::TimePoint At,
             residency::ResidencyEffectList &Out) {
    Core.setLease(Held, At, Out);
  });
  if (Held.has_value() != m_HoldsLease) {
    m_HoldsLease = Held.has_value();
    m_Events.holdsLease(m_HoldsLease);
  }
}

void PlacementControl::decide(
    const std::function<void(residency::ResidencyCore &, model::TimePoint,
                             residency::ResidencyEffectList &)> &Decide) {
  residency::ResidencyEffectList Effects;
  Decide(m_Residency, m_Clock.now(), Effects);
  for (const residency::ResidencyEffect &Each : Effects)
    std::visit([this](const auto &Effect) { on(Effect); }, Each);
}

void PlacementControl::on(const residency::SendOrder &Effect) {
  m_Calls.call(
      Effect.m_Order.m_Address, m_Dialect.orderCall(Effect.m_Order),
      OrderTimeout,
      [this, Number = Effect.m_Number](const gateway::HttpResult &Result) {
        decide([&](residency::ResidencyCore &Core, model::TimePoint Now,
                   residency::ResidencyEffectList &Out) {
          Core.onOrderReply(Number, m_Dialect.readOrder(Result), Now, Out);
        });
      });
}

void PlacementControl::on(const residency::RequestReport &Effect) {
  m_Calls.call(
      Effect.m_Address, m_Dialect.reportCall(Effect.m_Endpoint), ReportTimeout,
      [this, Endpoint = Effect.m_Endpoint](const gateway::HttpResult &Result) {
        const gateway::Decoded<gateway::EngineState> Reading =
            m_Dialect.readReport(Result);
        m_Log.writeFindings("endpoint", Endpoint.str(), Reading.m_Findings);
        decide([&](residency::ResidencyCore &Core, model::TimePoint Now,
                   residency::ResidencyEffectList &Out) {
          Core.onReport(Endpoint, Reading.m_Value, Now, Out);
        });
      });
}

void PlacementControl::on(const residency::AnnounceCopies &Effect) {
  m_Events.copiesChanged(Effect.m_Changes);
}

void PlacementControl::on(const residency::TokenRefused &Effect) {
  m_Log.write("placement", "token_refused",
              {{"token", static_cast<int64_t>(Effect.m_Token.m_Value)}});
  // The engine has seen a newer holder: this one has lost the lease, whatever
  // it believes.
  m_SuspendedUntil = m_Clock.now() + RefusedTerms * m_Options.m_Lease.m_Term;
}

void PlacementControl::on(const residency::ResidencyLogEntry &Effect) {
  m_Log.write(Effect);
}

} // namespace bronzepass::core::adapters::gateway
