#ifndef BRONZEPASS_UNITTESTS_SOAK_CALLERCONNECTION_H
#define BRONZEPASS_UNITTESTS_SOAK_CALLERCONNECTION_H

#include "Core/Adapters/Net/FileDescriptor.h"

#include <cstdint>
#include <map>
#include <string>

namespace bronzepass::unit_tests::soak {

/// What a caller received for one request.
struct CallerResponse {
  /// 0: no complete head.
  int m_Status = 0;
  /// Values by lower-case name.
  std::map<std::string, std::string> m_Headers;
  /// Without its chunks' framing.
  std::string m_Body;
  /// The body ended as its framing declares.
  bool m_Complete = false;

  std::string header(const std::string &LowerName) const {
    const auto Found = m_Headers.find(LowerName);
    return Found == m_Headers.end() ? std::string() : Found->second;
  }
};

/// A caller's connection to 127.0.0.1, used for one request at a time.
class CallerConnection {
public:
  explicit CallerConnection(uint16_t Port);

  bool isOpen() const { return m_Fd.valid(); }
  void close() { m_Fd.reset(); }
  /// False if not all of it could be sent.
  bool send(const std::string &Request);
  CallerResponse receive();
  /// Waits until some of the answer is there.
  bool awaitAnswer();

private:
  bool receiveMore();
  bool receiveUntil(const std::string &Marker);
  bool receiveBytes(size_t Count);
  bool receiveChunks(std::string &Body);

  core::adapters::net::FileDescriptor m_Fd;
  std::string m_Buffer;
};

} // namespace bronzepass::unit_tests::soak

#endif // BRONZEPASS_UNITTESTS_SOAK_CALLERCONNECTION_H
