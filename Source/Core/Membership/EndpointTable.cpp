#include "Core/Membership/EndpointTable.h"

#include <algorithm>
#include <tuple>

namespace bronzepass::core::membership {

namespace {

bool supersedesEndpoint(const model::EndpointState &A,
                        const model::EndpointState &B) {
  return std::tie(A.m_Version, A.m_Liveness) >
         std::tie(B.m_Version, B.m_Liveness);
}

} // namespace

void EndpointTable::setIntent(const model::Intent &Intent) {
  std::map<model::EndpointId, model::VmId> Vms;
  for (const model::PoolSpec &Pool : Intent.m_Pools)
    for (const model::EndpointSpec &Endpoint : Pool.m_Endpoints)
      Vms[Endpoint.m_Name] = Endpoint.m_Vm;
  // Statements about an endpoint that moved to another VM, or was removed and
  // declared again, no longer apply.
  std::erase_if(m_Statements, [this, &Vms](const auto &Entry) {
    const auto Old = m_Vms.find(Entry.first);
    const auto New = Vms.find(Entry.first);
    const bool WasDeclared = Old != m_Vms.end();
    return WasDeclared && (New == Vms.end() || New->second != Old->second);
  });
  m_Vms = std::move(Vms);
  ++m_Version;
}

model::EndpointState
EndpointTable::nextStatement(const model::EndpointId &Endpoint,
                             model::Liveness Liveness) const {
  const OptionalStatement Known = findStatement(Endpoint);
  return {Endpoint, Liveness, Known ? Known->m_Version + 1 : 1};
}

std::vector<model::EndpointState>
EndpointTable::onVmList(const std::vector<model::VmState> &Vms) {
  const VmListing Before = m_Listing;
  m_Listing.update(Vms);
  std::vector<model::EndpointState> Changed;
  for (const auto &[Endpoint, Vm] : m_Vms) {
    const model::VmState *Now = m_Listing.find(Vm);
    const model::VmState *Old = Before.find(Vm);
    const model::Liveness Was = Old ? Old->m_Liveness : model::Liveness::Live;
    if (!Now || Now->m_Liveness == Was)
      continue;
    ++m_Version;
    const model::EndpointState Statement =
        nextStatement(Endpoint, Now->m_Liveness);
    const OptionalStatement Known = findStatement(Endpoint);
    const bool IsWorse = Known && Known->m_Liveness >= Statement.m_Liveness;
    if (IsWorse && Statement.m_Liveness != model::Liveness::Live)
      continue;
    m_Statements[Endpoint] = Statement;
    Changed.push_back(Statement);
  }
  return Changed;
}

bool EndpointTable::merge(const model::EndpointState &Statement) {
  const OptionalStatement Known = findStatement(Statement.m_Endpoint);
  if (Known && !supersedesEndpoint(Statement, *Known))
    return false;
  if (!Known && m_Statements.size() >= MaxEndpoints)
    return false;
  m_Statements[Statement.m_Endpoint] = Statement;
  ++m_Version;
  return true;
}

EndpointTable::OptionalStatement
EndpointTable::onConnectionRefused(const model::EndpointId &Endpoint,
                                   model::TimePoint Now) {
  const OptionalStatement Known = findStatement(Endpoint);
  if (Known && Known->m_Liveness != model::Liveness::Live)
    return std::nullopt;
  m_LastRefused.forgetOld(Now);
  if (m_LastRefused.find(Endpoint, Now))
    return std::nullopt;
  const model::EndpointState Statement =
      nextStatement(Endpoint, model::Liveness::Suspect);
  if (!merge(Statement))
    return std::nullopt;
  m_LastRefused.record(Endpoint, Now);
  return Statement;
}

EndpointTable::OptionalStatement
EndpointTable::onAnswer(const model::EndpointId &Endpoint) {
  const OptionalStatement Known = findStatement(Endpoint);
  // A Leaving endpoint still answers requests.
  if (!Known || Known->m_Liveness != model::Liveness::Suspect)
    return std::nullopt;
  const model::EndpointState Statement =
      nextStatement(Endpoint, model::Liveness::Live);
  merge(Statement);
  return Statement;
}

EndpointTable::OptionalStatement
EndpointTable::findStatement(const model::EndpointId &Endpoint) const {
  const auto Found = m_Statements.find(Endpoint);
  if (Found == m_Statements.end())
    return std::nullopt;
  return Found->second;
}

model::Liveness
EndpointTable::livenessOf(const model::EndpointId &Endpoint) const {
  const OptionalStatement Known = findStatement(Endpoint);
  model::Liveness Worst = Known ? Known->m_Liveness : model::Liveness::Live;
  const auto Vm = m_Vms.find(Endpoint);
  if (Vm == m_Vms.end())
    return Worst;
  const model::VmState *Listed = m_Listing.find(Vm->second);
  return Listed ? std::max(Worst, Listed->m_Liveness) : Worst;
}

std::vector<model::EndpointState> EndpointTable::states() const {
  std::vector<model::EndpointState> States;
  for (const auto &[Endpoint, Vm] : m_Vms) {
    const OptionalStatement Known = findStatement(Endpoint);
    States.push_back(
        {Endpoint, livenessOf(Endpoint), Known ? Known->m_Version : 0});
  }
  return States;
}

std::vector<model::EndpointState> EndpointTable::nonLiveStatements() const {
  std::vector<model::EndpointState> NotLive;
  for (const auto &[Endpoint, Statement] : m_Statements)
    if (Statement.m_Liveness != model::Liveness::Live)
      NotLive.push_back(Statement);
  return NotLive;
}

} // namespace bronzepass::core::membership
