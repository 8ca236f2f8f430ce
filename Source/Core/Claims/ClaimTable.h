#ifndef BRONZEPASS_CORE_CLAIMS_CLAIMTABLE_H
#define BRONZEPASS_CORE_CLAIMS_CLAIMTABLE_H

#include "Core/Model/Claim.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace bronzepass::core::claims {

/// Upper bound of an answer's encoded size in bytes, in JSON and in CBOR.
size_t encodedAnswerBytes(const std::string &Answer);
/// Upper bound of a claim's encoded size in bytes.
size_t encodedBytes(const model::ClaimRecord &Claim);

/// The claims of one object by key, and their total encoded size.
class ClaimTable {
public:
  ClaimTable() = default;
  explicit ClaimTable(const std::vector<model::ClaimRecord> &Claims);

  const model::ClaimRecord *find(uint64_t KeyHash) const;
  /// Adds the claim, or replaces the one of the same key.
  void put(const model::ClaimRecord &Claim);
  void erase(uint64_t KeyHash);
  /// Drops claims taken before \p Before.
  void expire(model::TimePoint Before);

  std::vector<model::ClaimRecord> claims() const;
  model::TimePoint newestTakenAt() const;
  size_t size() const { return m_Claims.size(); }
  size_t bytes() const { return m_Bytes; }

private:
  std::map<uint64_t, model::ClaimRecord> m_Claims;
  size_t m_Bytes = 0;
};

} // namespace bronzepass::core::claims

#endif // BRONZEPASS_CORE_CLAIMS_CLAIMTABLE_H
