#ifndef BRONZEPASS_CORE_MEMBERSHIP_ENDPOINTTABLE_H
#define BRONZEPASS_CORE_MEMBERSHIP_ENDPOINTTABLE_H

#include "Core/Membership/VmListing.h"
#include "Core/Model/Intent.h"
#include "Core/Model/Residency.h"
#include "Core/Model/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bronzepass::core::membership {

/// Liveness of endpoints, from the platform's lagging list, refused
/// connections and peers' news. The worst of what is known counts; only an
/// endpoint that is Live gets new work.
class EndpointTable {
public:
  /// A statement to pass on to peers, or none where nothing changed.
  using News = std::optional<model::EndpointState>;

  /// Takes the endpoints that are declared, and on which VMs they run.
  void setIntent(const model::Intent &Intent);

  /// Takes a list of VMs; returns what is new about endpoints on them.
  std::vector<model::EndpointState>
  onVmList(const std::vector<model::VmState> &Vms);

  /// Takes a peer's statement; returns whether it superseded what was known.
  bool merge(const model::EndpointState &Statement);

  /// The endpoint refused a connection: it is suspect until it answers.
  News refused(const model::EndpointId &Endpoint, model::TimePoint Now);

  /// The endpoint answered.
  News answered(const model::EndpointId &Endpoint);

  model::Liveness livenessOf(const model::EndpointId &Endpoint) const;

  /// All declared endpoints, in order of their names.
  std::vector<model::EndpointState> states() const;

  /// The statement that holds about \p Endpoint, without the list's word.
  News statementOf(const model::EndpointId &Endpoint) const;

  /// Statements other than Live, for a peer that is new.
  std::vector<model::EndpointState> statements() const;

  /// Rises with each change of states().
  uint64_t version() const { return m_Version; }

private:
  static constexpr size_t MaxEndpoints = 8192;

  /// A statement that supersedes what is known of \p Endpoint.
  model::EndpointState next(const model::EndpointId &Endpoint,
                            model::Liveness Liveness) const;

  std::map<model::EndpointId, model::VmId> m_Vms;
  VmListing m_Listing{model::VmKind::Endpoint};
  std::map<model::EndpointId, model::EndpointState> m_Statements;
  std::map<model::EndpointId, model::TimePoint> m_LastRefused;
  uint64_t m_Version = 0;
};

} // namespace bronzepass::core::membership

#endif // BRONZEPASS_CORE_MEMBERSHIP_ENDPOINTTABLE_H
