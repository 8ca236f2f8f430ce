#ifndef BRONZEPASS_UNITTESTS_ADAPTERS_GATEWAY_UNREADENDPOINT_H
#define BRONZEPASS_UNITTESTS_ADAPTERS_GATEWAY_UNREADENDPOINT_H

#include "Core/Adapters/Net/FileDescriptor.h"

#include <cstddef>
#include <cstdint>

namespace bronzepass::unit_tests::adapters::gateway {

/// Listens on 127.0.0.1 with small buffers, and reads nothing of the first
/// request before it is told to.
class UnreadEndpoint {
public:
  UnreadEndpoint();

  uint16_t port() const { return m_Port; }
  /// Accepts the first connection; false if no byte arrives on it in time.
  bool waitForRequest();
  /// Reads until the connection ends; returns the number of bytes.
  size_t readToEnd();
  bool wasReset() const { return m_WasReset; }

private:
  core::adapters::net::FileDescriptor m_Listener;
  core::adapters::net::FileDescriptor m_Connection;
  uint16_t m_Port = 0;
  bool m_WasReset = false;
};

} // namespace bronzepass::unit_tests::adapters::gateway

#endif // BRONZEPASS_UNITTESTS_ADAPTERS_GATEWAY_UNREADENDPOINT_H
