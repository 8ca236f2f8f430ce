#ifndef BRONZEPASS_CORE_CLAIMS_CLAIMHISTORY_H
#define BRONZEPASS_CORE_CLAIMS_CLAIMHISTORY_H

#include "Core/Claims/ClaimSettings.h"
#include "Core/Claims/ClaimTable.h"
#include "Core/Model/Claim.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzepass::core::claims {

/// Names one ask over all nodes and all time.
struct AskRef {
  model::NodeId m_Runner;
  uint64_t m_ClaimRequestId = 0;

  friend auto operator<=>(const AskRef &, const AskRef &) = default;
};

/// A segment with the object API's version of it.
struct StoredSegment {
  model::ClaimSegment m_Segment;
  model::ObjectVersion m_Version;

  friend auto operator<=>(const StoredSegment &,
                          const StoredSegment &) = default;
};

/// All claims of one shard: those of its own object, which change, over those
/// of its segments, which do not. A copy shares the segments.
class ClaimHistory {
public:
  /// Takes over what the shard's object says; segments known already are kept.
  void adopt(const model::ClaimShardRecord &Record);
  /// A segment that the object names and that has not been loaded.
  std::optional<model::ClaimSegment> firstMissing() const;
  void load(const StoredSegment &Loaded,
            const std::vector<model::ClaimRecord> &Claims);

  /// The claim that holds or has used the key, unless it was taken before
  /// \p NotBefore.
  const model::ClaimRecord *find(uint64_t KeyHash,
                                 model::TimePoint NotBefore) const;
  /// Whether \p Ask holds the key and has not ended.
  bool isHeldBy(uint64_t KeyHash, const AskRef &Ask) const;

  /// Adds a claim of a free key; false where the shard is full.
  bool take(const model::ClaimRecord &Claim, const ClaimSettings &Settings);
  /// Records the outcome of the run that holds the key; the answer is left out
  /// where it is too long or the object too full. False where there is no room.
  bool complete(uint64_t KeyHash, uint16_t Status, const std::string &Answer,
                const ClaimSettings &Settings);
  /// Frees the key; false where there is no room to say so.
  bool release(uint64_t KeyHash, const ClaimSettings &Settings);
  /// Drops what was taken before \p Before; gives the segments that are no
  /// longer of use.
  std::vector<StoredSegment> expire(model::TimePoint Before);

  bool isSealDue(const ClaimSettings &Settings) const;
  /// Turns the claims of the shard's own object into a segment.
  void seal(const StoredSegment &Written);

  const ClaimTable &open() const { return m_Open; }
  std::vector<model::ClaimSegment> segments() const;

private:
  struct Sealed {
    StoredSegment m_Stored;
    /// Null until it is loaded.
    std::shared_ptr<const ClaimTable> m_Claims;
  };

  /// The newest word on the key, a release included.
  const model::ClaimRecord *findNewest(uint64_t KeyHash) const;
  const model::ClaimRecord *findSealed(uint64_t KeyHash) const;
  bool hasRoom(size_t Bytes, const ClaimSettings &Settings) const;

  ClaimTable m_Open;
  std::vector<Sealed> m_Sealed;
};

} // namespace bronzepass::core::claims

#endif // BRONZEPASS_CORE_CLAIMS_CLAIMHISTORY_H
