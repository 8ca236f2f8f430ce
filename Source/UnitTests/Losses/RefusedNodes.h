#ifndef BRONZEPASS_UNITTESTS_LOSSES_REFUSEDNODES_H
#define BRONZEPASS_UNITTESTS_LOSSES_REFUSEDNODES_H

#include "UnitTests/Losses/GoneNodes.h"
#include "UnitTests/Soak/PlatformStore.h"
#include "UnitTests/Soak/RequestRecord.h"
#include "UnitTests/Soak/SoakNodes.h"
#include "UnitTests/Stops/StopEndpoint.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bronzepass::unit_tests::losses {

/// Of one configuration.
struct Configured {
  int m_Version = 1;
  /// Callers need a key, whose organisation has a quota.
  bool m_HasKeys = true;
  /// A second route.
  bool m_HasAddedRoute = false;
};

/// Real nodes, a store that refuses some of them, and a plain service.
class RefusedNodes {
public:
  static constexpr size_t NodeCount = 16;
  static constexpr const char *FirstRoute = "again";
  static constexpr const char *AddedRoute = "added";

  RefusedNodes(const std::string &Folder, uint16_t Port,
               const std::string &Settings);
  ~RefusedNodes() { m_Store.stop(); }
  RefusedNodes(const RefusedNodes &) = delete;
  RefusedNodes &operator=(const RefusedNodes &) = delete;

  void addGone(size_t Count) { addGoneEntries(m_Store, Count); }
  void configure(const Configured &Configuration);
  void startAll();
  void killAll();
  /// False if a node does not become ready in time.
  bool awaitReady() const;
  /// The store treats all but \p Served nodes, none of them a watcher, like
  /// this.
  void refuseAllBut(size_t Served, soak::StoreAccess Access);
  /// Status of the answer to one request at \p Node; 0: none.
  int statusOf(size_t Node, const std::string &Route) const;

private:
  /// Nodes that watch the store for others come first.
  static std::vector<size_t> nodesByDuty();

  mutable soak::RequestRecord m_Record;
  soak::PlatformStore m_Store;
  std::vector<std::unique_ptr<stops::StopEndpoint>> m_Endpoints;
  std::unique_ptr<soak::SoakNodes> m_Nodes;
};

} // namespace bronzepass::unit_tests::losses

#endif // BRONZEPASS_UNITTESTS_LOSSES_REFUSEDNODES_H
