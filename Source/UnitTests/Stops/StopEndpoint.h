#ifndef BRONZEPASS_UNITTESTS_STOPS_STOPENDPOINT_H
#define BRONZEPASS_UNITTESTS_STOPS_STOPENDPOINT_H

#include "UnitTests/Soak/PlatformStore.h"
#include "UnitTests/Soak/RequestRecord.h"
#include "UnitTests/Soak/ThreadServer.h"

#include <chrono>
#include <set>
#include <string>

namespace bronzepass::unit_tests::stops {

/// What an endpoint does with a request; the request's path says it, as
/// /ROUTE/ACTION-MILLISECONDS.
struct Behaviour {
  /// answer, never, refuse, reset, part (breaks off in the middle of its
  /// answer) or stream (an event in each such time).
  std::string m_Action;
  std::chrono::milliseconds m_Time{0};

  static Behaviour ofPath(const std::string &Path);
};

/// An endpoint that does what each request asks for.
class StopEndpoint {
public:
  /// \p Models is empty for a plain service.
  StopEndpoint(soak::RequestRecord &Record, std::string Id, std::string Service,
               const std::set<std::string> &Models);

  /// Writes its entry; \p IsReachable: with the right address.
  void enter(soak::PlatformStore &Store, bool IsReachable) const;

private:
  void onRequest(soak::ServerConnection &Connection,
                 const soak::ServerRequest &Request);
  /// Returns whether the whole answer was written.
  bool run(soak::ServerConnection &Connection,
           const soak::ServerRequest &Request, const std::string &Id);
  std::string head(const std::string &Id) const;

  soak::RequestRecord &m_Record;
  const std::string m_Id;
  const std::string m_Service;
  const bool m_IsEngine;
  nlohmann::json m_Models = nlohmann::json::array();
  soak::ThreadServer m_Server;
};

} // namespace bronzepass::unit_tests::stops

#endif // BRONZEPASS_UNITTESTS_STOPS_STOPENDPOINT_H
