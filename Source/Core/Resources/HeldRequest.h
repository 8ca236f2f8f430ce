#ifndef BRONZEPASS_CORE_RESOURCES_HELDREQUEST_H
#define BRONZEPASS_CORE_RESOURCES_HELDREQUEST_H

#include "Core/Resources/MemoryBudget.h"

#include <cstdint>

namespace bronzepass::core::resources {

/// The memory of a complete request. Counts until the last owner is gone: its
/// caller's connection, or the transfer that still reads its body.
class HeldRequest {
public:
  /// \p Budget must outlive this object.
  HeldRequest(MemoryBudget &Budget, uint64_t Bytes)
      : m_Budget(Budget), m_Bytes(Bytes) {
    m_Budget.add(m_Bytes);
  }
  ~HeldRequest() { m_Budget.remove(m_Bytes); }
  HeldRequest(const HeldRequest &) = delete;
  HeldRequest &operator=(const HeldRequest &) = delete;

private:
  MemoryBudget &m_Budget;
  const uint64_t m_Bytes;
};

} // namespace bronzepass::core::resources

#endif // BRONZEPASS_CORE_RESOURCES_HELDREQUEST_H
