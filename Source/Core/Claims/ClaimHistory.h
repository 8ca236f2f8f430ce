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

/// Identifies one claim request across all nodes and restarts.
struct ClaimRequestRef {
  model::NodeId m_Runner;
  uint64_t m_ClaimRequestId = 0;

  friend auto operator<=>(const ClaimRequestRef &,
                          const ClaimRequestRef &) = default;
};

/// A segment and the version of its object in the object API.
struct StoredSegment {
  model::ClaimSegment m_Segment;
  model::ObjectVersion m_Version;

  friend auto operator<=>(const StoredSegment &,
                          const StoredSegment &) = default;
};

/// All claims of one shard: the mutable claims of the shard's own object, which
/// override those in its immutable segments. Copies share the segments.
class ClaimHistory {
public:
  /// Replaces the state by that of the shard's object; segments that are
  /// already loaded are kept.
  void adopt(const model::ClaimShardRecord &Record);
  /// The first segment that the object lists and that is not loaded.
  std::optional<model::ClaimSegment> firstUnloaded() const;
  void load(const StoredSegment &Loaded,
            const std::vector<model::ClaimRecord> &Claims);

  /// The claim that holds the key or has completed for it, unless it was taken
  /// before \p NotBefore.
  const model::ClaimRecord *find(uint64_t KeyHash,
                                 model::TimePoint NotBefore) const;
  /// Whether \p Request holds the key and its run has not ended.
  bool isHeldBy(uint64_t KeyHash, const ClaimRequestRef &Request) const;

  /// Adds a claim of a free key; false if the shard is full.
  bool take(const model::ClaimRecord &Claim, const ClaimSettings &Settings);
  /// Records the outcome of the run that holds the key. The answer is left out
  /// if it is too long or the object too full. False if the shard is full.
  bool complete(uint64_t KeyHash, uint16_t Status, const std::string &Answer,
                const ClaimSettings &Settings);
  /// Frees the key; false if the shard has no room to record that.
  bool release(uint64_t KeyHash, const ClaimSettings &Settings);
  /// Drops claims taken before \p Before; returns the segments that are no
  /// longer needed.
  std::vector<StoredSegment> expire(model::TimePoint Before);

  bool isSealDue(const ClaimSettings &Settings) const;
  /// Moves the claims of the shard's own object into a segment, which has been
  /// written.
  void seal(const StoredSegment &Written);

  const ClaimTable &open() const { return m_Open; }
  std::vector<model::ClaimSegment> segments() const;

private:
  struct Sealed {
    StoredSegment m_Stored;
    /// Null until loaded.
    std::shared_ptr<const ClaimTable> m_Claims;
  };

  /// The newest record of the key, which may be a release.
  const model::ClaimRecord *findNewest(uint64_t KeyHash) const;
  const model::ClaimRecord *findSealed(uint64_t KeyHash) const;
  bool hasRoom(size_t Bytes, const ClaimSettings &Settings) const;

  ClaimTable m_Open;
  std::vector<Sealed> m_Sealed;
};

} // namespace bronzepass::core::claims

#endif // BRONZEPASS_CORE_CLAIMS_CLAIMHISTORY_H
