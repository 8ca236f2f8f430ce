#ifndef BRONZEPASS_CORE_NODE_CALLERUSAGETABLE_H
#define BRONZEPASS_CORE_NODE_CALLERUSAGETABLE_H

#include "Core/Model/Id.h"
#include "Core/Model/Time.h"
#include "Core/Ports/PeerMessage.h"

#include <map>
#include <vector>

namespace bronzepass::core::node {

/// Usage of rate limits by caller and node, kept on the node that sums it for
/// the caller. A record that is not renewed within its lifetime is ignored.
class CallerUsageTable {
public:
  void update(const model::NodeId &From,
              const std::vector<ports::CallerUsage> &Usage,
              model::TimePoint Now);

  /// Sums the usage of \p Caller on all nodes but \p Requester.
  ports::CallerUsage usageOfOthers(const model::CallerId &Caller,
                                   const model::NodeId &Requester,
                                   model::TimePoint Now) const;

  void removeExpired(model::TimePoint Now);

private:
  static constexpr model::Duration Lifetime = std::chrono::seconds(10);

  struct Record {
    ports::CallerUsage m_Usage;
    model::TimePoint m_UpdatedAt;
  };

  std::map<model::CallerId, std::map<model::NodeId, Record>> m_Entries;
};

} // namespace bronzepass::core::node

#endif // BRONZEPASS_CORE_NODE_CALLERUSAGETABLE_H
