#ifndef BRONZEPASS_CORE_ADAPTERS_CURL_BLOCKINGGET_H
#define BRONZEPASS_CORE_ADAPTERS_CURL_BLOCKINGGET_H

#include "Core/Model/Address.h"

#include <string>

namespace bronzepass::core::adapters::curl {

struct BlockingReply {
  /// HTTP status; 0 if no complete answer was received.
  int m_Status = 0;
  std::string m_Body;
  std::string m_Error;
};

/// Sends a GET request and blocks until it is answered or times out after a few
/// seconds. Used by commands.
BlockingReply blockingGet(const model::Address &Address,
                          const std::string &Path);

} // namespace bronzepass::core::adapters::curl

#endif // BRONZEPASS_CORE_ADAPTERS_CURL_BLOCKINGGET_H
