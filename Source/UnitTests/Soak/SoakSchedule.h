#ifndef BRONZEPASS_UNITTESTS_SOAK_SOAKSCHEDULE_H
#define BRONZEPASS_UNITTESTS_SOAK_SOAKSCHEDULE_H

#include "UnitTests/Soak/SoakCallers.h"
#include "UnitTests/Soak/SoakWorld.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace bronzepass::unit_tests::soak {

/// The troubles of a run, in overlapping series: the same for the same seed,
/// apart from the timing of threads and processes.
class SoakSchedule {
public:
  SoakSchedule(SoakWorld &World, uint64_t Seed)
      : m_World(World), m_Random(Seed) {}

  /// Waits for the nodes, plays the troubles of \p Scenario, waits for the
  /// recovery, checks it, and stops the nodes as planned.
  void run(const std::string &Scenario, std::chrono::seconds Length,
           SoakCallers &Callers);

private:
  struct Event {
    std::chrono::milliseconds m_At;
    std::function<void()> m_Action;
  };

  std::chrono::milliseconds between(int Low, int High);
  void awaitReady();
  std::vector<Event> randomEvents(std::chrono::milliseconds End,
                                  SoakCallers &Callers);
  std::vector<Event> restoreEvents();
  std::function<void()> randomAction(SoakCallers &Callers);
  void checkRecovery(SoakCallers &Callers);

  // Actions; each returns when its trouble is over.
  void stopNode(uint64_t Draw);
  void killNode(uint64_t Draw, std::chrono::milliseconds Down);
  void killAll();
  void pauseNode(uint64_t Draw, std::chrono::milliseconds For);
  void disturbStore(StoreAccess Access, std::chrono::milliseconds For);
  void disturbNodeStore(uint64_t Draw, StoreAccess Access,
                        std::chrono::milliseconds For);
  void disturbAnswers(std::chrono::milliseconds For);

  SoakWorld &m_World;
  std::mt19937_64 m_Random;
  std::mutex m_NodeMutex;
  std::set<size_t> m_BusyNodes;
  std::optional<size_t> takeNode(uint64_t Draw);
  void releaseNode(size_t Node);
};

} // namespace bronzepass::unit_tests::soak

#endif // BRONZEPASS_UNITTESTS_SOAK_SOAKSCHEDULE_H
