#ifndef BRONZEPASS_STANDINS_CACHELOG_H
#define BRONZEPASS_STANDINS_CACHELOG_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <vector>

namespace bronzepass::stand_ins {

/// Changes to the cached blocks since an event that a reader knows.
struct CacheChanges {
  uint64_t m_Sequence = 0;
  std::vector<uint64_t> m_Added;
  std::vector<uint64_t> m_Removed;
  /// The log no longer reaches back to the reader's event: m_Added lists the
  /// whole cache and replaces what the reader knew.
  bool m_Cleared = false;
};

/// The prompt blocks in an engine's cache, evicted in order of insertion, with
/// a bounded log of changes.
class CacheLog {
public:
  explicit CacheLog(size_t MaxBlocks) : m_MaxBlocks(MaxBlocks) {}

  void add(const std::vector<uint64_t> &Blocks);
  /// Changes after event number \p Since.
  CacheChanges changesSince(uint64_t Since) const;

private:
  struct Event {
    uint64_t m_Block = 0;
    bool m_Added = true;
  };

  void logEvent(uint64_t Block, bool Added);

  size_t m_MaxBlocks;
  std::set<uint64_t> m_CachedBlocks;
  std::deque<uint64_t> m_EvictionOrder;
  std::deque<Event> m_Events;
  uint64_t m_Sequence = 0;
};

} // namespace bronzepass::stand_ins

#endif // BRONZEPASS_STANDINS_CACHELOG_H
