#ifndef BRONZEPASS_CORE_RESOURCES_MEMORYBUDGET_H
#define BRONZEPASS_CORE_RESOURCES_MEMORYBUDGET_H

#include <algorithm>
#include <cstdint>

namespace bronzepass::core::resources {

/// A sum of bytes with a limit.
class MemoryBudget {
public:
  explicit MemoryBudget(uint64_t Limit) : m_Limit(Limit) {}

  bool hasRoom(uint64_t Bytes) const { return m_InUse + Bytes <= m_Limit; }
  void add(uint64_t Bytes) {
    m_InUse += Bytes;
    m_Highest = std::max(m_Highest, m_InUse);
  }
  void remove(uint64_t Bytes) { m_InUse -= std::min(m_InUse, Bytes); }

  void setLimit(uint64_t Limit) { m_Limit = Limit; }
  uint64_t limit() const { return m_Limit; }
  uint64_t inUse() const { return m_InUse; }
  uint64_t highest() const { return m_Highest; }

private:
  uint64_t m_Limit;
  uint64_t m_InUse = 0;
  uint64_t m_Highest = 0;
};

} // namespace bronzepass::core::resources

#endif // BRONZEPASS_CORE_RESOURCES_MEMORYBUDGET_H
