#include "Core/Resources/MemoryShares.h"

#include <algorithm>

namespace bronzepass::core::resources {

namespace {

constexpr uint64_t SmallDivisor = 8;
constexpr uint64_t LargeDivisor = 4;
constexpr uint64_t UnsentDivisor = 8;
constexpr uint64_t HeldDivisor = 16;
/// Unread bytes of connections that wait are the kernel's; they count as the
/// process's on machines that are charged for them.
constexpr uint64_t WaitingDivisor = 16;
constexpr uint64_t UnreadBytes = 128 << 10;
constexpr uint64_t DescriptorsPerCaller = 2;
constexpr uint64_t CallerEighths = 5;

} // namespace

MemoryShares sharesOf(uint64_t MemoryLimit, uint64_t MaxBodyBytes) {
  MemoryShares Shares;
  Shares.m_SmallRequests =
      std::max(MemoryLimit / SmallDivisor, 2 * SmallRequestBytes);
  Shares.m_LargeRequests = std::max(MemoryLimit / LargeDivisor,
                                    MaxBodyBytes + 2 * SmallRequestBytes);
  Shares.m_UnsentAnswers = MemoryLimit / UnsentDivisor;
  Shares.m_HeldAnswers = MemoryLimit / HeldDivisor;
  Shares.m_MaxWaiting = static_cast<size_t>(
      std::max<uint64_t>(1, MemoryLimit / WaitingDivisor / UnreadBytes));
  return Shares;
}

size_t callerPlacesOf(uint64_t DescriptorLimit) {
  return static_cast<size_t>(std::max<uint64_t>(
      1, DescriptorLimit * CallerEighths / 8 / DescriptorsPerCaller));
}

} // namespace bronzepass::core::resources
