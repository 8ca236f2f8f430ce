#include "StandIns/CacheLog.h"

namespace bronzepass::stand_ins {

namespace {

constexpr size_t MaxLoggedEvents = 4096;

} // namespace

void CacheLog::add(const std::vector<uint64_t> &Blocks) {
  for (const uint64_t Block : Blocks) {
    if (!m_Held.insert(Block).second)
      continue;
    m_Order.push_back(Block);
    log(Block, true);
  }
  while (m_Order.size() > m_MaxBlocks) {
    m_Held.erase(m_Order.front());
    log(m_Order.front(), false);
    m_Order.pop_front();
  }
}

void CacheLog::log(uint64_t Block, bool Added) {
  ++m_Sequence;
  m_Events.push_back({Block, Added});
  if (m_Events.size() > MaxLoggedEvents)
    m_Events.pop_front();
}

CacheNews CacheLog::since(uint64_t Since) const {
  CacheNews News;
  News.m_Sequence = m_Sequence;
  const uint64_t FirstKept = m_Sequence - m_Events.size();
  if (Since < FirstKept || Since > m_Sequence) {
    News.m_Cleared = true;
    News.m_Added.assign(m_Order.begin(), m_Order.end());
    return News;
  }
  for (size_t I = Since - FirstKept; I < m_Events.size(); ++I)
    (m_Events[I].m_Added ? News.m_Added : News.m_Removed)
        .push_back(m_Events[I].m_Block);
  return News;
}

} // namespace bronzepass::stand_ins
