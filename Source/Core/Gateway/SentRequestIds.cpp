#include "Core/Gateway/SentRequestIds.h"

#include "Core/Model/Hash.h"

namespace bronzepass::core::gateway {

namespace {

/// Some 60 bytes each. A node sends as many in half a minute at its peak.
constexpr size_t MaxIds = 4096;

} // namespace

bool SentRequestIds::add(const model::Address &To, const std::string &Id) {
  const uint64_t Key =
      model::stableHash(Id, model::stableHash(To.m_Ip, To.m_Port));
  if (!m_Known.insert(Key).second)
    return false;
  m_InOrder.push_back(Key);
  if (m_InOrder.size() > MaxIds) {
    m_Known.erase(m_InOrder.front());
    m_InOrder.pop_front();
  }
  return true;
}

} // namespace bronzepass::core::gateway
