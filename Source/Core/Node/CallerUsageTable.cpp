#include "Core/Node/CallerUsageTable.h"

namespace bronzepass::core::node {

void CallerUsageTable::take(const model::NodeId &From,
                       const std::vector<ports::CallerUsage> &Usage,
                       model::TimePoint Now) {
  for (const ports::CallerUsage &Each : Usage)
    m_Accounts[Each.m_Caller][From] = {Each, Now};
}

ports::CallerUsage CallerUsageTable::others(const model::CallerId &Caller,
                                       const model::NodeId &Asker,
                                       model::TimePoint Now) const {
  ports::CallerUsage Sum{.m_Caller = Caller};
  auto Found = m_Accounts.find(Caller);
  if (Found == m_Accounts.end())
    return Sum;
  for (const auto &Entry : Found->second) {
    if (Entry.first == Asker || Entry.second.m_At + Lifetime < Now)
      continue;
    Sum.m_Requests += Entry.second.m_Usage.m_Requests;
    Sum.m_Tokens += Entry.second.m_Usage.m_Tokens;
    Sum.m_InFlight += Entry.second.m_Usage.m_InFlight;
  }
  return Sum;
}

void CallerUsageTable::forgetOld(model::TimePoint Now) {
  for (auto &Caller : m_Accounts)
    std::erase_if(Caller.second, [Now](const auto &Entry) {
      return Entry.second.m_At + Lifetime < Now;
    });
  std::erase_if(m_Accounts,
                [](const auto &Entry) { return Entry.second.empty(); });
}

} // namespace bronzepass::core::node
