#ifndef BRONZEPASS_CORE_MEMBERSHIP_ENDPOINTTABLE_H
#define BRONZEPASS_CORE_MEMBERSHIP_ENDPOINTTABLE_H

#include "Core/Membership/MembershipTiming.h"
#include "Core/Membership/VmListing.h"
#include "Core/Model/Intent.h"
#include "Core/Model/RecentEvents.h"
#include "Core/Model/Residency.h"
#include "Core/Model/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bronzepass::core::membership {

/// Liveness of endpoints, from the platform's VM list (which lags), refused
/// connections and statements received from peers. The worst known state
/// applies; only a Live endpoint gets new work.
class EndpointTable {
public:
  /// A versioned statement about an endpoint's liveness, or none.
  using OptionalStatement = std::optional<model::EndpointState>;

  /// Sets the declared endpoints and the VMs they run on.
  void setIntent(const model::Intent &Intent);

  /// Applies a VM list; returns new statements about endpoints on these VMs.
  std::vector<model::EndpointState>
  onVmList(const std::vector<model::VmState> &Vms);

  /// Applies a peer's statement; returns whether it superseded the known one.
  bool merge(const model::EndpointState &Statement);

  /// The endpoint refused a connection: it is Suspect until it answers.
  /// Returns the statement to pass on to peers, or none if nothing changed.
  OptionalStatement onConnectionRefused(const model::EndpointId &Endpoint,
                                        model::TimePoint Now);

  /// The endpoint answered, which clears a suspicion. Returns the statement to
  /// pass on to peers, or none if nothing changed.
  OptionalStatement onAnswer(const model::EndpointId &Endpoint);

  model::Liveness livenessOf(const model::EndpointId &Endpoint) const;

  /// All declared endpoints, ordered by name.
  std::vector<model::EndpointState> states() const;

  /// The current statement about \p Endpoint, regardless of the VM list.
  OptionalStatement findStatement(const model::EndpointId &Endpoint) const;

  /// All statements other than Live, to bring a new peer up to date.
  std::vector<model::EndpointState> nonLiveStatements() const;

  /// Increases with each change of states().
  uint64_t version() const { return m_Version; }

private:
  static constexpr size_t MaxEndpoints = 8192;

  /// A statement that supersedes the current one about \p Endpoint.
  model::EndpointState nextStatement(const model::EndpointId &Endpoint,
                                     model::Liveness Liveness) const;

  std::map<model::EndpointId, model::VmId> m_Vms;
  VmListing m_Listing{model::VmKind::Endpoint};
  std::map<model::EndpointId, model::EndpointState> m_Statements;
  model::RecentEvents<model::EndpointId> m_LastRefused{RefusalPause};
  uint64_t m_Version = 0;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_ENDPOINTTABLE_H
