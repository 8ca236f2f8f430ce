#include "Core/Claims/ClaimTable.h"

#include <algorithm>

namespace bronzepass::core::claims {

namespace {

/// Field names, punctuation and the numbers at their longest.
constexpr size_t FixedClaimBytes = 240;

/// Length as a JSON string, or as hexadecimal digits in an object, which is how
/// text that is not UTF-8 is kept; CBOR's is never more.
size_t escapedBytes(const std::string &Text) {
  constexpr size_t HexObjectBytes = 10;
  size_t Bytes = 0;
  bool Ascii = true;
  for (const char Signed : Text) {
    const unsigned char C = static_cast<unsigned char>(Signed);
    Ascii = Ascii && C < 0x80;
    if (C == '"' || C == '\\')
      Bytes += 2;
    else
      Bytes += C < 0x20 ? 6 : 1;
  }
  return Ascii ? Bytes : std::max(Bytes, 2 * Text.size() + HexObjectBytes);
}

} // namespace

size_t encodedBytes(const model::ClaimRecord &Claim) {
  return FixedClaimBytes + escapedBytes(Claim.m_Runner.str()) +
         escapedBytes(Claim.m_Answer);
}

ClaimTable::ClaimTable(const std::vector<model::ClaimRecord> &Claims) {
  for (const model::ClaimRecord &Claim : Claims) {
    if (m_Claims.emplace(Claim.m_KeyHash, Claim).second)
      m_Bytes += encodedBytes(Claim);
  }
}

const model::ClaimRecord *ClaimTable::find(uint64_t KeyHash) const {
  auto Found = m_Claims.find(KeyHash);
  return Found == m_Claims.end() ? nullptr : &Found->second;
}

bool ClaimTable::take(const model::ClaimRecord &Claim,
                      const ClaimSettings &Settings) {
  const size_t Bytes = encodedBytes(Claim);
  if (m_Bytes + Bytes > Settings.m_MaxShardBytes)
    return false;
  m_Claims.emplace(Claim.m_KeyHash, Claim);
  m_Bytes += Bytes;
  return true;
}

bool ClaimTable::isHeldBy(uint64_t KeyHash, const AskRef &Ask) const {
  const model::ClaimRecord *Claim = find(KeyHash);
  return Claim && Claim->m_State == model::ClaimState::Claimed &&
         Claim->m_Runner == Ask.m_Runner && Claim->m_AskId == Ask.m_AskId;
}

void ClaimTable::complete(uint64_t KeyHash, uint16_t Status,
                          const std::string &Answer,
                          const ClaimSettings &Settings) {
  model::ClaimRecord &Claim = m_Claims.at(KeyHash);
  const size_t Bytes = escapedBytes(Answer);
  Claim.m_State = model::ClaimState::Done;
  Claim.m_Status = Status;
  if (Bytes > Settings.m_MaxAnswerBytes ||
      m_Bytes + Bytes > Settings.m_AnswerShardBytes)
    return;
  Claim.m_Answer = Answer;
  m_Bytes += Bytes;
}

void ClaimTable::release(uint64_t KeyHash) {
  auto Found = m_Claims.find(KeyHash);
  if (Found == m_Claims.end())
    return;
  m_Bytes -= encodedBytes(Found->second);
  m_Claims.erase(Found);
}

void ClaimTable::expire(model::TimePoint Before) {
  for (auto It = m_Claims.begin(); It != m_Claims.end();) {
    if (It->second.m_TakenAt >= Before) {
      ++It;
      continue;
    }
    m_Bytes -= encodedBytes(It->second);
    It = m_Claims.erase(It);
  }
}

std::vector<model::ClaimRecord> ClaimTable::claims() const {
  std::vector<model::ClaimRecord> Claims;
  Claims.reserve(m_Claims.size());
  for (const auto &Entry : m_Claims)
    Claims.push_back(Entry.second);
  return Claims;
}

} // namespace bronzepass::core::claims
