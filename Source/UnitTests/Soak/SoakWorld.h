#ifndef BRONZEPASS_UNITTESTS_SOAK_SOAKWORLD_H
#define BRONZEPASS_UNITTESTS_SOAK_SOAKWORLD_H

#include "UnitTests/Soak/PlatformStore.h"
#include "UnitTests/Soak/RequestRecord.h"
#include "UnitTests/Soak/SoakEndpoint.h"
#include "UnitTests/Soak/SoakNodes.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace bronzepass::unit_tests::soak {

/// The platform around the nodes: store, operator and endpoints, and the checks
/// of what nodes believe about them.
class SoakWorld {
public:
  SoakWorld(size_t NodeCount, uint16_t BasePort, const std::string &Folder,
            PlantedFault Planted);
  ~SoakWorld();
  SoakWorld(const SoakWorld &) = delete;
  SoakWorld &operator=(const SoakWorld &) = delete;

  PlatformStore &store() { return m_Store; }
  RequestRecord &record() { return m_Record; }
  EndpointFaults &faults() { return m_Faults; }
  SoakNodes &nodes() { return *m_Nodes; }
  PlantedFault planted() const { return m_Shared.m_Planted; }
  static std::vector<std::string> models();

  /// While one exists, and for the contact time after the last one, bounds on
  /// what nodes know do not hold.
  class Disturbance {
  public:
    explicit Disturbance(SoakWorld &World) : m_World(World) {
      ++m_World.m_Disturbances;
    }
    ~Disturbance() {
      m_World.m_DisturbedAt = std::chrono::steady_clock::now();
      --m_World.m_Disturbances;
    }
    Disturbance(const Disturbance &) = delete;
    Disturbance &operator=(const Disturbance &) = delete;

  private:
    SoakWorld &m_World;
  };

  /// Writes a configuration with one route more.
  void changeConfiguration();
  /// An engine crashes, and an empty one comes in its place.
  void crashEngine(uint64_t Draw);
  /// An engine leaves as planned, after an empty one has come.
  void replaceEngine(uint64_t Draw);
  /// Restores the store; operator and endpoints write again within \p Again.
  void restoreStore(std::chrono::milliseconds Age,
                    std::chrono::milliseconds Again);

private:
  struct Version {
    uint64_t m_Number = 0;
    SteadyTime m_AcknowledgedAt;
  };

  bool nodesAreBoundSince(SteadyTime Since) const;
  void writeConfiguration();
  SoakEndpoint &addEngine(std::set<std::string> Models);
  SoakEndpoint *pickEngine(uint64_t Draw);
  void keepRenewing();
  void keepProbing();
  /// Asks for the route that the version \p Asked has added.
  void probe(size_t Node, const Version &Newest, uint64_t Asked);

  PlatformStore m_Store;
  RequestRecord m_Record;
  EndpointFaults m_Faults;
  OrderRecord m_Orders;
  std::atomic<int> m_Disturbances = 0;
  std::atomic<SteadyTime> m_DisturbedAt{SteadyTime()};
  std::atomic<bool> m_Stopping = false;
  std::atomic<bool> m_RenewalsStopped = false;
  SoakEndpoint::Shared m_Shared;
  mutable std::mutex m_Mutex;
  uint64_t m_LastEndpoint = 0;
  std::vector<std::unique_ptr<SoakEndpoint>> m_Endpoints;
  Version m_Version;
  uint64_t m_Probes = 0;
  /// Highest version that each node's process has shown, and its incarnation.
  std::vector<std::pair<uint64_t, uint64_t>> m_Shown;
  std::unique_ptr<SoakNodes> m_Nodes;
  std::vector<std::thread> m_Threads;
};

} // namespace bronzepass::unit_tests::soak

#endif // BRONZEPASS_UNITTESTS_SOAK_SOAKWORLD_H
