#ifndef BRONZEPASS_UNITTESTS_LOSSES_GONENODES_H
#define BRONZEPASS_UNITTESTS_LOSSES_GONENODES_H

#include "UnitTests/Losses/CrashingEngine.h"
#include "UnitTests/Soak/PlatformStore.h"
#include "UnitTests/Soak/RequestRecord.h"
#include "UnitTests/Soak/SoakNodes.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bronzepass::unit_tests::losses {

/// Adds entries of nodes that ended without removing theirs. They have more
/// processor time than the live ones: for each duty they come before them.
void addGoneEntries(soak::PlatformStore &Store, size_t Count);

/// Real nodes beside the entries of others that ended without removing theirs.
class GoneNodes {
public:
  static constexpr const char *Route = "work";

  GoneNodes(const std::string &Folder, uint16_t Port, size_t Live, size_t Gone);
  ~GoneNodes() { m_Store.stop(); }
  GoneNodes(const GoneNodes &) = delete;
  GoneNodes &operator=(const GoneNodes &) = delete;

  size_t count() const { return m_Nodes->count(); }
  /// Starts all; false if one does not become ready in time.
  bool start();
  void kill(size_t Node) { m_Nodes->kill(Node); }
  void startAgain(size_t Node) { m_Nodes->start(Node); }
  void pause(size_t Node) { m_Nodes->pause(Node); }
  void resume(size_t Node) { m_Nodes->resume(Node); }
  /// Sends a request whose endpoint fails; \p Content tells it from others.
  void sendCrashing(size_t Node, const std::string &Content);
  /// Requests that endpoints have begun, in all.
  int begun() const;
  soak::PlatformStore &store() { return m_Store; }

private:
  soak::RequestRecord m_Record;
  soak::PlatformStore m_Store;
  std::vector<std::unique_ptr<CrashingEngine>> m_Engines;
  std::unique_ptr<soak::SoakNodes> m_Nodes;
};

/// Each test returns the status of the process.
int runRecord(const std::string &Folder, uint16_t Port);
int runRemoval(const std::string &Folder, uint16_t Port);
int runQuarantine(const std::string &Folder, uint16_t Port);

} // namespace bronzepass::unit_tests::losses

#endif // BRONZEPASS_UNITTESTS_LOSSES_GONENODES_H
