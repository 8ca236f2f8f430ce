#ifndef BRONZEPASS_UNITTESTS_CROWD_CROWD_H
#define BRONZEPASS_UNITTESTS_CROWD_CROWD_H

#include "UnitTests/Crowd/CrowdAttack.h"
#include "UnitTests/Crowd/CrowdMember.h"
#include "UnitTests/Crowd/CrowdNode.h"

#include <chrono>
#include <map>
#include <vector>

namespace bronzepass::unit_tests::crowd {

/// Clients that attack one node together, driven by one thread.
class Crowd {
public:
  Crowd(const CrowdAttack &Attack, CrowdNode &Node);

  /// Returns once each client has sent everything or is gone, or none has sent
  /// anything for a while. Those that are left stay open.
  void attack();
  /// Most descriptors that the node had at any look.
  size_t peakDescriptors() const { return m_PeakDescriptors; }
  /// Clients by the status that they got last; 0: none.
  std::map<int, size_t> statuses() const;
  size_t openCount() const;
  /// Whether the node's process ended meanwhile.
  bool nodeEnded() const { return m_NodeEnded; }

private:
  void runStage(size_t Stage);
  /// Lets every client send and read. Returns the number of bytes sent.
  size_t turn(size_t Stage);
  void look();

  CrowdNode &m_Node;
  size_t m_StageCount;
  std::vector<CrowdMember> m_Members;
  size_t m_PeakDescriptors = 0;
  bool m_NodeEnded = false;
  std::chrono::steady_clock::time_point m_LookedAt;
};

} // namespace bronzepass::unit_tests::crowd

#endif // BRONZEPASS_UNITTESTS_CROWD_CROWD_H
