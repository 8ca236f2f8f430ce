#ifndef BRONZEPASS_CORE_RESOURCES_MEMORYSHARES_H
#define BRONZEPASS_CORE_RESOURCES_MEMORYSHARES_H

#include <compare>
#include <cstddef>
#include <cstdint>

namespace bronzepass::core::resources {

/// What callers and endpoints may hold of the memory of a process.
struct MemoryShares {
  /// Requests up to SmallRequestBytes.
  uint64_t m_SmallRequests = 0;
  uint64_t m_LargeRequests = 0;
  /// Answers that callers have not read yet.
  uint64_t m_UnsentAnswers = 0;
  /// Requests that may wait for memory with unread bytes.
  size_t m_MaxWaiting = 0;
  /// Answers of endpoints that are not passed on yet.
  uint64_t m_HeldAnswers = 0;

  friend auto operator<=>(const MemoryShares &, const MemoryShares &) = default;
};

/// Holds the head and the body of most requests.
constexpr uint64_t SmallRequestBytes = 32 << 10;

/// Shares of a process that may use \p MemoryLimit bytes, so that at least one
/// request with a body of \p MaxBodyBytes fits.
MemoryShares sharesOf(uint64_t MemoryLimit, uint64_t MaxBodyBytes);

/// Number of callers' connections in a process with \p DescriptorLimit
/// descriptors; each takes two. The rest is for endpoints, peers and the store.
size_t callerPlacesOf(uint64_t DescriptorLimit);

} // namespace bronzepass::core::resources

#endif // BRONZEPASS_CORE_RESOURCES_MEMORYSHARES_H
