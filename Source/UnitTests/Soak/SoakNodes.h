#ifndef BRONZEPASS_UNITTESTS_SOAK_SOAKNODES_H
#define BRONZEPASS_UNITTESTS_SOAK_SOAKNODES_H

#include "UnitTests/Soak/PlantedFault.h"
#include "UnitTests/Soak/PlatformStore.h"
#include "UnitTests/Soak/RequestRecord.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace bronzepass::unit_tests::soak {

/// The node processes of a run. This program starts none itself: it asks the
/// script that started it, line by line on standard output, and reads what
/// became of them from standard input.
class SoakNodes {
public:
  enum class State { Down, Running, Paused, Stopping };

  /// The store that a node is given.
  using StoreOf = std::function<PlatformStore &(size_t Node)>;

  /// \p Settings: ends the nodes' platform settings, and may add others.
  SoakNodes(size_t Count, uint16_t BasePort, std::string Folder,
            const StoreOf &Store, RequestRecord &Record, PlantedFault Planted,
            std::string Settings = "}\n");

  size_t count() const { return m_Nodes.size(); }
  uint16_t callerPort(size_t Node) const;
  uint16_t peerPort(size_t Node) const;
  /// Takes callers' requests, or has connections that do.
  bool isUp(size_t Node) const;
  bool isRunning(size_t Node) const;
  /// Changes with each start of its process.
  uint64_t incarnation(size_t Node) const;
  /// When its process was asked to stop.
  std::optional<SteadyTime> stopAskedAt(size_t Node) const;
  /// Whether its process has run without a kill or a pause since \p Since.
  bool isUndisturbedSince(size_t Node, SteadyTime Since) const;
  bool isReady(size_t Node) const;

  void start(size_t Node);
  void kill(size_t Node);
  void pause(size_t Node);
  void resume(size_t Node);
  void reload(size_t Node);
  /// Asks it to stop and waits until it has; it has to end with status 0 within
  /// its grace.
  void stopAndWait(size_t Node);
  /// A process that has ended by itself breaks a promise.
  void checkAlive();
  void setAccess(size_t Node, StoreAccess Access);

private:
  struct Node {
    std::unique_ptr<ThreadServer> m_StorePort;
    std::atomic<StoreAccess> m_Access = StoreAccess::Normal;
    std::atomic<State> m_State = State::Down;
    std::atomic<uint64_t> m_Incarnation = 0;
    std::atomic<SteadyTime> m_DisturbedAt{SteadyTime()};
    /// Zero: not asked.
    std::atomic<SteadyTime> m_StopAskedAt{SteadyTime()};
  };

  /// Sends a line to the script and returns its answer.
  std::string command(const std::string &Verb, size_t Node);
  void writeSettings(size_t Node) const;
  uint16_t port(size_t Node, int Offset) const;

  const uint16_t m_BasePort;
  const std::string m_Folder;
  const std::string m_Settings;
  RequestRecord &m_Record;
  const PlantedFault m_Planted;
  std::mutex m_CommandMutex;
  std::vector<std::unique_ptr<Node>> m_Nodes;
};

} // namespace bronzepass::unit_tests::soak

#endif // BRONZEPASS_UNITTESTS_SOAK_SOAKNODES_H
