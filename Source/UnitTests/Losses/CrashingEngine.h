#ifndef BRONZEPASS_UNITTESTS_LOSSES_CRASHINGENGINE_H
#define BRONZEPASS_UNITTESTS_LOSSES_CRASHINGENGINE_H

#include "UnitTests/Soak/PlatformStore.h"
#include "UnitTests/Soak/ThreadServer.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

namespace bronzepass::unit_tests::losses {

/// An endpoint that crashes with each request and is back, under a new id, some
/// time later.
class CrashingEngine {
public:
  CrashingEngine(soak::PlatformStore &Store, int Number, std::string Version);
  ~CrashingEngine();
  CrashingEngine(const CrashingEngine &) = delete;
  CrashingEngine &operator=(const CrashingEngine &) = delete;

  int begun() const { return m_Begun; }

private:
  std::string id() const;
  void renew();
  void live();

  soak::PlatformStore &m_Store;
  const int m_Number;
  const std::string m_Version;
  std::atomic<int> m_Begun = 0;
  std::atomic<bool> m_HasCrashed = false;
  std::atomic<bool> m_Stopping = false;
  int m_Starts = 0;
  uint64_t m_Renewals = 0;
  soak::ThreadServer m_Server;
  std::thread m_Thread;
};

} // namespace bronzepass::unit_tests::losses

#endif // BRONZEPASS_UNITTESTS_LOSSES_CRASHINGENGINE_H
