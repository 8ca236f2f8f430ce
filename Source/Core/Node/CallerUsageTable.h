#ifndef BRONZEPASS_CORE_NODE_CALLERUSAGETABLE_H
#define BRONZEPASS_CORE_NODE_CALLERUSAGETABLE_H

#include "Core/Model/Id.h"
#include "Core/Model/Time.h"
#include "Core/Ports/PeerMessage.h"

#include <map>
#include <vector>

namespace bronzepass::core::node {

/// Use of callers' limits by all nodes, on the node that sums it for a caller.
/// An account that is not renewed no longer counts.
class CallerUsageTable {
public:
  void take(const model::NodeId &From,
            const std::vector<ports::CallerUsage> &Usage, model::TimePoint Now);

  /// The use of \p Caller by all nodes but \p Asker.
  ports::CallerUsage others(const model::CallerId &Caller,
                            const model::NodeId &Asker,
                            model::TimePoint Now) const;

  void forgetOld(model::TimePoint Now);

private:
  static constexpr model::Duration Lifetime = std::chrono::seconds(10);

  struct Account {
    ports::CallerUsage m_Usage;
    model::TimePoint m_At;
  };

  std::map<model::CallerId, std::map<model::NodeId, Account>> m_Accounts;
};

} // namespace bronzepass::core::node

#endif // BRONZEPASS_CORE_NODE_CALLERUSAGETABLE_H
