#include "Core/Adapters/Gateway/PlacementControl.h"

#include <string>
#include <utility>

namespace bronzepass::core::adapters::gateway {

namespace gateway = core::gateway;

namespace {

/// Engines answer orders and report requests within milliseconds. The outcome
/// of an unanswered order is determined from the engine's order count, and a
/// short timeout makes that happen early.
constexpr model::Duration OrderTimeout = std::chrono::milliseconds(300);
constexpr model::Duration ReportTimeout = std::chrono::milliseconds(800);
/// A holder whose fencing token was refused stops placing models for this many
/// lease terms.
constexpr int SuspensionTerms = 2;
const model::LeaseName PlacementLease{"placement"};
/// Half terms of the lease: the first candidate would have taken it by then,
/// and holders announce themselves each second.
constexpr int HolderSilenceHalfTerms = 3;
constexpr model::Duration RankLogPeriod = std::chrono::seconds(2);

leases::GovernorSettings governorSettings() {
  leases::GovernorSettings Settings;
  // A refused write is evaluated again instead of being repeated unchanged.
  Settings.m_MaxAttempts = 2;
  return Settings;
}

} // namespace

PlacementControl::PlacementControl(
    const Options &Values, const gateway::Dialect &Dialect, StoreClient &Store,
    ControlCalls &Calls, net::EventLoop &Loop, const ports::Clock &Clock,
    ports::Random &Random, GatewayLog &Log, PlacementEvents &Events)
    : m_Options(Values), m_Dialect(Dialect), m_Store(Store), m_Calls(Calls),
      m_Loop(Loop), m_Clock(Clock), m_Log(Log), m_Events(Events),
      m_Governor(governorSettings(), Random),
      m_LeaseManager(m_Options.m_Lease, m_Options.m_Self, m_Governor, Random),
      m_Candidates(m_Options.m_Self, PlacementLease.m_Duty),
      m_Residency(m_Options.m_Residency, m_Options.m_Self),
      m_HolderHeardAt(Clock.now()) {}

void PlacementControl::tick() {
  const model::TimePoint Now = m_Clock.now();
  ports::EffectList Effects;
  for (const leases::RoutedAnswer &Each : m_Governor.tick(Now, Effects))
    logLeaseChanges(m_LeaseManager.onStoreAnswer(Each.m_Answer, Now, Effects));
  logLeaseChanges(m_LeaseManager.tick(Now, Effects));
  submit(Effects);
  updateLease();
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

void PlacementControl::onDemandReport(
    const model::NodeId &Node, uint64_t Start,
    const std::vector<gateway::UsageCounter> &Counters) {
  m_Residency.onDemandReport(Node, Start, Counters, m_Clock.now());
}

void PlacementControl::onCopyRequest(const gateway::CopyRequest &Request) {
  decide([&](residency::ResidencyCore &Core, model::TimePoint Now,
             residency::ResidencyEffectList &Out) {
    Core.onCopyRequest(Request, Now, Out);
  });
}

void PlacementControl::onStatementChange(
    const gateway::StatementChange &Change) {
  m_Residency.onStatementChange(Change);
}

void PlacementControl::onPauseBegun(const gateway::PauseBegun &Pause) {
  m_Residency.onPauseBegun(Pause, m_Clock.now());
}

void PlacementControl::setNodes(const std::vector<gateway::NodeEntry> &Nodes) {
  m_Candidates.setRegistered(Nodes);
}

void PlacementControl::onLivePeers(const gateway::LivePeers &Peers) {
  const model::TimePoint Now = m_Clock.now();
  if (Peers.m_HasHolder)
    m_HolderHeardAt = Now;
  m_Candidates.setHeard(Peers);
  m_Candidates.setHolderSilent(Now - m_HolderHeardAt >=
                               HolderSilenceHalfTerms *
                                   m_Options.m_Lease.m_Term / 2);
  if (m_Stopping)
    return;
  const uint32_t Rank = m_Candidates.rank();
  logRank(Rank, Peers.m_Able.size());
  ports::EffectList Effects;
  m_LeaseManager.setCandidacies({{PlacementLease, Rank}}, Now, Effects);
  submit(Effects);
}

void PlacementControl::logRank(uint32_t Rank, size_t Heard) {
  const model::TimePoint Now = m_Clock.now();
  if (m_LoggedRank == Rank || Now < m_RankLoggedAt + RankLogPeriod)
    return;
  m_LoggedRank = Rank;
  m_RankLoggedAt = Now;
  m_Log.write("placement", "rank",
              {{"rank", static_cast<int64_t>(Rank)},
               {"heard", static_cast<int64_t>(Heard)}});
}

void PlacementControl::stop() {
  m_Stopping = true;
  ports::EffectList Effects;
  m_LeaseManager.stop(m_Clock.now(), Effects);
  submit(Effects);
  updateLease();
}

void PlacementControl::submit(const ports::EffectList &Effects) {
  for (const ports::Effect &Each : Effects) {
    const ports::StoreCall *const Call = std::get_if<ports::StoreCall>(&Each);
    if (!Call)
      continue;
    const std::optional<gateway::HttpCall> Encoded = m_Dialect.storeCall(*Call);
    const bool IsOfEarlierEra =
        Call->m_ExpectedEra && Call->m_ExpectedEra != m_Store.era();
    if (!Encoded || IsOfEarlierEra) {
      m_Loop.post([this, Id = Call->m_Id] {
        handleStoreAnswer(
            {.m_Id = Id, .m_Status = ports::StoreStatus::Rejected});
      });
      continue;
    }
    m_Store.call(*Encoded, Call->m_Timeout, false,
                 [this, Call = *Call](const gateway::HttpResult &Result) {
                   handleStoreAnswer(m_Dialect.readStore(Call, Result));
                 });
  }
}

void PlacementControl::handleStoreAnswer(const ports::StoreAnswer &Answer) {
  const model::TimePoint Now = m_Clock.now();
  ports::EffectList Effects;
  const std::optional<leases::RoutedAnswer> Final =
      m_Governor.onAnswer(Answer, Now, Effects);
  if (Final)
    logLeaseChanges(
        m_LeaseManager.onStoreAnswer(Final->m_Answer, Now, Effects));
  submit(Effects);
  updateLease();
}

void PlacementControl::onStoreEra(model::StoreEra Era) {
  ports::EffectList Effects;
  logLeaseChanges(m_LeaseManager.setStoreEra(Era, m_Clock.now(), Effects));
  submit(Effects);
  updateLease();
}

void PlacementControl::logLeaseChanges(
    const std::vector<leases::LeaseNotice> &Notices) {
  for (const leases::LeaseNotice &Each : Notices)
    m_Log.write("placement",
                Each.m_Change == leases::LeaseChange::Gained ? "lease_gained"
                                                             : "lease_lost",
                {{"token", static_cast<int64_t>(Each.m_Lease.m_Token.m_Value)},
                 {"reason", Each.m_Reason}});
}

void PlacementControl::updateLease() {
  const model::TimePoint Now = m_Clock.now();
  std::optional<model::HeldLease> Held =
      m_LeaseManager.find(PlacementLease, Now);
  if (m_SuspendedUntil && Now < *m_SuspendedUntil)
    Held.reset();
  decide([&](residency::ResidencyCore &Core, model::TimePoint At,
             residency::ResidencyEffectList &Out) {
    Core.setLease(Held, At, Out);
  });
  if (Held != m_Held) {
    m_Held = Held;
    m_Events.onLeaseChanged(m_Held);
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
      OrderTimeout, ControlCalls::ConnectionUse::Single,
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
      ControlCalls::ConnectionUse::Single,
      [this, Endpoint = Effect.m_Endpoint](const gateway::HttpResult &Result) {
        const gateway::Decoded<gateway::EngineState> Parsed =
            m_Dialect.readReport(Result);
        m_Log.writeFindings("endpoint", Endpoint.str(), Parsed.m_Findings);
        decide([&](residency::ResidencyCore &Core, model::TimePoint Now,
                   residency::ResidencyEffectList &Out) {
          Core.onReport(Endpoint, Parsed.m_Value, Now, Out);
        });
      });
}

void PlacementControl::on(const residency::AnnounceCopies &Effect) {
  m_Events.onCopiesChanged(Effect.m_Changes);
}

void PlacementControl::on(const residency::TokenRefused &Effect) {
  m_Log.write("placement", "token_refused",
              {{"token", static_cast<int64_t>(Effect.m_Token.m_Value)}});
  // The engine has seen a newer holder, so this node has lost the lease even
  // if its own lease state does not show it yet.
  m_SuspendedUntil = m_Clock.now() + SuspensionTerms * m_Options.m_Lease.m_Term;
}

void PlacementControl::on(const residency::ResidencyLogEntry &Effect) {
  m_Log.write(Effect);
}

} // namespace bronzepass::core::adapters::gateway
