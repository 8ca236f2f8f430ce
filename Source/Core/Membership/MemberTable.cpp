#include "Core/Membership/MemberTable.h"

#include "Core/Model/Hash.h"

#include <tuple>

namespace bronzepass::core::membership {

namespace {

/// How long a Gone member is kept: long enough for every statement about its
/// process to have been passed on or dropped.
constexpr model::Duration GoneRetention = std::chrono::minutes(10);

} // namespace

bool supersedes(const model::NodeInfo &A, const model::NodeInfo &B) {
  return std::tie(A.m_Incarnation, A.m_Liveness) >
         std::tie(B.m_Incarnation, B.m_Liveness);
}

uint64_t MemberTable::digestOf(const model::NodeInfo &Info) {
  if (Info.m_Liveness == model::Liveness::Gone)
    return 0;
  const uint64_t Seed =
      Info.m_Incarnation * 8 + static_cast<uint64_t>(Info.m_Liveness);
  return model::stableHash(Info.m_Vm.str(), Seed);
}

bool MemberTable::merge(const model::NodeInfo &Statement,
                        model::TimePoint Now) {
  const auto Found = m_Members.find(Statement.m_Vm);
  const bool Known = Found != m_Members.end();
  if (Known && !supersedes(Statement, Found->second.m_Info))
    return false;
  if (!Known && m_Members.size() >= MaxMembers)
    return false;
  if (Known) {
    m_Digest ^= digestOf(Found->second.m_Info);
    m_Vms.erase(Found->second.m_Info.m_Node);
  }
  m_Members[Statement.m_Vm] = {Statement, Now};
  m_Vms[Statement.m_Node] = Statement.m_Vm;
  m_Digest ^= digestOf(Statement);
  ++m_Version;
  return true;
}

void MemberTable::forgetGone(model::TimePoint Now) {
  for (auto It = m_Members.begin(); It != m_Members.end();) {
    const Member &Known = It->second;
    const bool Old = Known.m_Info.m_Liveness == model::Liveness::Gone &&
                     Now - Known.m_Since > GoneRetention;
    if (!Old) {
      ++It;
      continue;
    }
    m_Vms.erase(Known.m_Info.m_Node);
    It = m_Members.erase(It);
    ++m_Version;
  }
}

const MemberTable::Member *MemberTable::find(const model::VmId &Vm) const {
  const auto Found = m_Members.find(Vm);
  return Found == m_Members.end() ? nullptr : &Found->second;
}

std::optional<model::VmId> MemberTable::vmOf(const model::NodeId &Node) const {
  const auto Found = m_Vms.find(Node);
  if (Found == m_Vms.end())
    return std::nullopt;
  return Found->second;
}

std::vector<model::NodeInfo> MemberTable::present() const {
  std::vector<model::NodeInfo> Present;
  for (const auto &[Vm, Known] : m_Members)
    if (Known.m_Info.m_Liveness != model::Liveness::Gone)
      Present.push_back(Known.m_Info);
  return Present;
}

} // namespace bronzepass::core::membership
