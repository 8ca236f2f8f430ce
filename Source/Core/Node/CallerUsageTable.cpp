#include "Core/Node/CallerUsageTable.h"

namespace bronzepass::core::node {

void CallerUsageTable::update(const model::NodeId &From,
                              const std::vector<ports::CallerUsage> &Usage,
                              model::TimePoint Now) {
  for (const ports::CallerUsage &Each : Usage)
    m_Entries[Each.m_Caller][From] = {Each, Now};
}

ports::CallerUsage
CallerUsageTable::usageOfOthers(const model::CallerId &Caller,
                                const model::NodeId &Requester,
                                model::TimePoint Now) const {
  ports::CallerUsage Sum{.m_Caller = Caller};
  auto Found = m_Entries.find(Caller);
  if (Found == m_Entries.end())
    return Sum;
  for (const auto &Entry : Found->second) {
    if (Entry.first == Requester || Entry.second.m_UpdatedAt + Lifetime < Now)
      continue;
    Sum.m_Requests += Entry.second.m_Usage.m_Requests;
    Sum.m_Tokens += Entry.second.m_Usage.m_Tokens;
    Sum.m_InFlight += Entry.second.m_Usage.m_InFlight;
  }
  return Sum;
}

void CallerUsageTable::removeExpired(model::TimePoint Now) {
  for (auto &Caller : m_Entries)
    std::erase_if(Caller.second, [Now](const auto &Entry) {
      return Entry.second.m_UpdatedAt + Lifetime < Now;
    });
  std::erase_if(m_Entries,
                [](const auto &Entry) { return Entry.second.empty(); });
}

} // namespace bronzepass::core::node
