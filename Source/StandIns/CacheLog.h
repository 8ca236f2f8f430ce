#ifndef BRONZEPASS_STANDINS_CACHELOG_H
#define BRONZEPASS_STANDINS_CACHELOG_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <vector>

namespace bronzepass::stand_ins {

/// What a reader that knows everything up to some event has missed.
struct CacheNews {
  uint64_t m_Sequence = 0;
  std::vector<uint64_t> m_Added;
  std::vector<uint64_t> m_Removed;
  /// Events were lost: forget what was known before these.
  bool m_Cleared = false;
};

/// The prompt blocks that an engine holds, oldest out first, with a bounded
/// log of changes.
class CacheLog {
public:
  explicit CacheLog(size_t MaxBlocks) : m_MaxBlocks(MaxBlocks) {}

  void add(const std::vector<uint64_t> &Blocks);
  /// Events behind number \p Since.
  CacheNews since(uint64_t Since) const;

private:
  struct Event {
    uint64_t m_Block = 0;
    bool m_Added = true;
  };

  void log(uint64_t Block, bool Added);

  size_t m_MaxBlocks;
  std::set<uint64_t> m_Held;
  std::deque<uint64_t> m_Order;
  std::deque<Event> m_Events;
  uint64_t m_Sequence = 0;
};

} // namespace bronzepass::stand_ins

#endif // BRONZEPASS_STANDINS_CACHELOG_H
