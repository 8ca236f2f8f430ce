#include "Core/Claims/ClaimHistory.h"

#include <algorithm>
#include <utility>

namespace bronzepass::core::claims {

using model::ClaimState;

namespace {

/// Encoded size of a segment reference in the shard's own object.
constexpr size_t SegmentRefBytes = 96;

} // namespace

void ClaimHistory::adopt(const model::ClaimShardRecord &Record) {
  m_Open = ClaimTable(Record.m_Claims);
  const std::vector<Sealed> Known = std::exchange(m_Sealed, {});
  for (const model::ClaimSegment &Segment : Record.m_Segments) {
    auto Found =
        std::find_if(Known.begin(), Known.end(), [&Segment](const Sealed &S) {
          return S.m_Stored.m_Segment == Segment;
        });
    m_Sealed.push_back(Found == Known.end() ? Sealed{{Segment, {}}, nullptr}
                                            : *Found);
  }
}

std::optional<model::ClaimSegment> ClaimHistory::firstUnloaded() const {
  for (const Sealed &S : m_Sealed)
    if (!S.m_Claims)
      return S.m_Stored.m_Segment;
  return std::nullopt;
}

void ClaimHistory::load(const StoredSegment &Loaded,
                        const std::vector<model::ClaimRecord> &Claims) {
  for (Sealed &S : m_Sealed)
    if (S.m_Stored.m_Segment == Loaded.m_Segment)
      S = {Loaded, std::make_shared<const ClaimTable>(Claims)};
}

const model::ClaimRecord *ClaimHistory::find(uint64_t KeyHash,
                                             model::TimePoint NotBefore) const {
  const model::ClaimRecord *Claim = findNewest(KeyHash);
  if (!Claim || Claim->m_State == ClaimState::Released)
    return nullptr;
  return Claim->m_TakenAt < NotBefore ? nullptr : Claim;
}

bool ClaimHistory::isHeldBy(uint64_t KeyHash,
                            const ClaimRequestRef &Request) const {
  const model::ClaimRecord *Claim = findNewest(KeyHash);
  return Claim && Claim->m_State == ClaimState::Claimed &&
         Claim->m_Runner == Request.m_Runner &&
         Claim->m_ClaimRequestId == Request.m_ClaimRequestId;
}

bool ClaimHistory::take(const model::ClaimRecord &Claim,
                        const ClaimSettings &Settings) {
  if (!hasRoom(encodedBytes(Claim), Settings))
    return false;
  m_Open.put(Claim);
  return true;
}

bool ClaimHistory::complete(uint64_t KeyHash, uint16_t Status,
                            const std::string &Answer,
                            const ClaimSettings &Settings) {
  model::ClaimRecord Claim = *findNewest(KeyHash);
  const bool IsOpen = m_Open.find(KeyHash) != nullptr;
  if (!IsOpen && !hasRoom(encodedBytes(Claim), Settings))
    return false;
  Claim.m_State = ClaimState::Done;
  Claim.m_Status = Status;
  const size_t Bytes = encodedAnswerBytes(Answer);
  if (Bytes <= Settings.m_MaxAnswerBytes &&
      m_Open.bytes() + Bytes <= Settings.m_MaxShardBytesForAnswers)
    Claim.m_Answer = Answer;
  m_Open.put(Claim);
  return true;
}

bool ClaimHistory::release(uint64_t KeyHash, const ClaimSettings &Settings) {
  const model::ClaimRecord *SealedClaim = findSealed(KeyHash);
  if (!SealedClaim) {
    m_Open.erase(KeyHash);
    return true;
  }
  model::ClaimRecord Claim = *findNewest(KeyHash);
  const bool IsOpen = m_Open.find(KeyHash) != nullptr;
  if (!IsOpen && !hasRoom(encodedBytes(Claim), Settings))
    return false;
  Claim.m_State = ClaimState::Released;
  m_Open.put(Claim);
  return true;
}

std::vector<StoredSegment> ClaimHistory::expire(model::TimePoint Before) {
  m_Open.expire(Before);
  std::vector<StoredSegment> Dropped;
  std::erase_if(m_Sealed, [&](const Sealed &S) {
    const bool Old = S.m_Stored.m_Segment.m_NewestTakenAt < Before;
    if (Old)
      Dropped.push_back(S.m_Stored);
    return Old;
  });
  return Dropped;
}

bool ClaimHistory::isSealDue(const ClaimSettings &Settings) const {
  return m_Open.bytes() >= Settings.m_SealBytes &&
         m_Sealed.size() < Settings.m_MaxSegments;
}

void ClaimHistory::seal(const StoredSegment &Written) {
  m_Sealed.push_back(
      {Written, std::make_shared<const ClaimTable>(std::move(m_Open))});
  m_Open = ClaimTable();
}

std::vector<model::ClaimSegment> ClaimHistory::segments() const {
  std::vector<model::ClaimSegment> Segments;
  for (const Sealed &S : m_Sealed)
    Segments.push_back(S.m_Stored.m_Segment);
  return Segments;
}

const model::ClaimRecord *ClaimHistory::findNewest(uint64_t KeyHash) const {
  const model::ClaimRecord *Claim = m_Open.find(KeyHash);
  return Claim ? Claim : findSealed(KeyHash);
}

const model::ClaimRecord *ClaimHistory::findSealed(uint64_t KeyHash) const {
  for (auto It = m_Sealed.rbegin(); It != m_Sealed.rend(); ++It) {
    const model::ClaimRecord *Claim =
        It->m_Claims ? It->m_Claims->find(KeyHash) : nullptr;
    if (Claim)
      return Claim;
  }
  return nullptr;
}

bool ClaimHistory::hasRoom(size_t Bytes, const ClaimSettings &Settings) const {
  return m_Open.bytes() + m_Sealed.size() * SegmentRefBytes + Bytes <=
         Settings.m_MaxShardBytes;
}

} // namespace bronzepass::core::claims
