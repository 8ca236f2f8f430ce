#ifndef BRONZEPASS_CORE_CLAIMS_CLAIMTABLE_H
#define BRONZEPASS_CORE_CLAIMS_CLAIMTABLE_H

#include "Core/Claims/ClaimSettings.h"
#include "Core/Model/Claim.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace bronzepass::core::claims {

/// Names one ask over all nodes and all time.
struct AskRef {
  model::NodeId m_Runner;
  uint64_t m_AskId = 0;

  friend auto operator<=>(const AskRef &, const AskRef &) = default;
};

/// Upper bound of a claim's size in its shard's object, bytes, be it encoded as
/// JSON or CBOR.
size_t encodedBytes(const model::ClaimRecord &Claim);

/// The claims of one shard by key, with their encoded size.
class ClaimTable {
public:
  ClaimTable() = default;
  explicit ClaimTable(const std::vector<model::ClaimRecord> &Claims);

  const model::ClaimRecord *find(uint64_t KeyHash) const;
  /// Adds a claim of a free key; false where the shard's object is full.
  bool take(const model::ClaimRecord &Claim, const ClaimSettings &Settings);
  /// Whether \p Ask holds the key and has not ended.
  bool isHeldBy(uint64_t KeyHash, const AskRef &Ask) const;
  /// Records the outcome of the run that holds the key; the answer is left out
  /// where it is too long or the object too full.
  void complete(uint64_t KeyHash, uint16_t Status, const std::string &Answer,
                const ClaimSettings &Settings);
  /// Frees the key.
  void release(uint64_t KeyHash);
  /// Drops claims taken before \p Before.
  void expire(model::TimePoint Before);

  std::vector<model::ClaimRecord> claims() const;
  size_t size() const { return m_Claims.size(); }
  size_t bytes() const { return m_Bytes; }

private:
  std::map<uint64_t, model::ClaimRecord> m_Claims;
  size_t m_Bytes = 0;
};

} // namespace bronzepass::core::claims

#endif // BRONZEPASS_CORE_CLAIMS_CLAIMTABLE_H
