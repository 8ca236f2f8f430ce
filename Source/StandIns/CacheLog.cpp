#include "StandIns/CacheLog.h"

namespace bronzepass::stand_ins {

namespace {

constexpr size_t MaxLoggedEvents = 4096;

} // namespace

void CacheLog::add(const std::vector<uint64_t> &Blocks) {
  for (const uint64_t Block : Blocks) {
    if (!m_CachedBlocks.insert(Block).second)
      continue;
    m_EvictionOrder.push_back(Block);
    logEvent(Block, true);
  }
  while (m_EvictionOrder.size() > m_MaxBlocks) {
    m_CachedBlocks.erase(m_EvictionOrder.front());
    logEvent(m_EvictionOrder.front(), false);
    m_EvictionOrder.pop_front();
  }
}

void CacheLog::logEvent(uint64_t Block, bool Added) {
  ++m_Sequence;
  m_Events.push_back({Block, Added});
  if (m_Events.size() > MaxLoggedEvents)
    m_Events.pop_front();
}

CacheChanges CacheLog::changesSince(uint64_t Since) const {
  CacheChanges Changes;
  Changes.m_Sequence = m_Sequence;
  const uint64_t SequenceBeforeLog = m_Sequence - m_Events.size();
  if (Since < SequenceBeforeLog || Since > m_Sequence) {
    Changes.m_Cleared = true;
    Changes.m_Added.assign(m_EvictionOrder.begin(), m_EvictionOrder.end());
    return Changes;
  }
  for (size_t I = Since - SequenceBeforeLog; I < m_Events.size(); ++I)
    (m_Events[I].m_Added ? Changes.m_Added : Changes.m_Removed)
        .push_back(m_Events[I].m_Block);
  return Changes;
}

} // namespace bronzepass::stand_ins
