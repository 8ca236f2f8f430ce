#ifndef BRONZEPASS_CORE_GATEWAY_SENTREQUESTIDS_H
#define BRONZEPASS_CORE_GATEWAY_SENTREQUESTIDS_H

#include "Core/Model/Address.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_set>

namespace bronzepass::core::gateway {

/// The ids of the requests that were sent to each address last. An answer can't
/// be told by its id from that to an earlier request with the same id.
class SentRequestIds {
public:
  /// Returns false if a request with this id was sent there before.
  bool add(const model::Address &To, const std::string &Id);

private:
  std::unordered_set<uint64_t> m_Known;
  std::deque<uint64_t> m_InOrder;
};

} // namespace bronzepass::core::gateway

#endif // BRONZEPASS_CORE_GATEWAY_SENTREQUESTIDS_H
