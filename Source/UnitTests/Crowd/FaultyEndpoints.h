#ifndef BRONZEPASS_UNITTESTS_CROWD_FAULTYENDPOINTS_H
#define BRONZEPASS_UNITTESTS_CROWD_FAULTYENDPOINTS_H

#include "UnitTests/Crowd/EndlessAnswer.h"
#include "UnitTests/Soak/PlatformStore.h"
#include "UnitTests/Soak/ThreadServer.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string>

namespace bronzepass::unit_tests::crowd {

/// Enters an endpoint with many slots on 127.0.0.1.
void enterEndpoint(soak::PlatformStore &Store, const std::string &Service,
                   uint16_t Port);

/// The endpoints of one service, each of which sends an EndlessAnswer to each
/// request.
class FaultyEndpoints {
public:
  /// Sends without an end once \p Expected requests have arrived, or after a
  /// while.
  FaultyEndpoints(const EndlessAnswer &Answer, size_t Count, size_t Expected);

  void enter(soak::PlatformStore &Store, const std::string &Service) const;
  void leave(soak::PlatformStore &Store, const std::string &Service) const;
  size_t arrived() const { return m_Arrived; }
  /// Connections to which something is being sent.
  size_t sending() const { return m_Sending; }

private:
  void send(soak::ServerConnection &To, const std::string &Start);
  void awaitOthers() const;

  const EndlessAnswer m_Answer;
  const size_t m_Expected;
  std::atomic<size_t> m_Arrived = 0;
  std::atomic<size_t> m_Sending = 0;
  std::list<soak::ThreadServer> m_Servers;
};

} // namespace bronzepass::unit_tests::crowd

#endif // BRONZEPASS_UNITTESTS_CROWD_FAULTYENDPOINTS_H
