#ifndef BRONZEPASS_CORE_ROUTING_PREFIXINDEX_H
#define BRONZEPASS_CORE_ROUTING_PREFIXINDEX_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace bronzepass::core::routing {

/// Short number of an endpoint, valid within one process; 0 means none.
using EndpointTag = uint16_t;

/// Estimates which endpoints hold which prompt blocks in their caches. A
/// set-associative table of fixed size: a new block replaces the least recently
/// used one of its set. It may err both ways; a wrong estimate costs a prefill,
/// never an answer.
class PrefixIndex {
public:
  /// \p Entries is rounded up to a power of two.
  explicit PrefixIndex(uint32_t Entries);

  void add(uint64_t Hash, EndpointTag Holder);
  void remove(uint64_t Hash, EndpointTag Holder);
  /// Removes an endpoint that has lost its whole cache.
  void forget(EndpointTag Holder);

  bool holds(uint64_t Hash, EndpointTag Holder) const;
  /// Returns how many leading blocks of \p Hashes \p Holder has.
  uint32_t matched(const std::vector<uint64_t> &Hashes,
                   EndpointTag Holder) const;

  size_t memoryBytes() const { return m_Entries.size() * sizeof(Entry); }

private:
  static constexpr size_t MaxHolders = 4;
  static constexpr size_t Ways = 4;

  struct Entry {
    uint64_t m_Hash = 0;
    uint32_t m_UsedAt = 0;
    std::array<EndpointTag, MaxHolders> m_Holders{};
  };

  const Entry *find(uint64_t Hash) const;
  size_t firstWay(uint64_t Hash) const { return (Hash & m_Mask) * Ways; }

  std::vector<Entry> m_Entries;
  uint64_t m_Mask;
  uint32_t m_UseCounter = 0;
};

} // namespace bronzepass::core::routing

#endif // BRONZEPASS_CORE_ROUTING_PREFIXINDEX_H
