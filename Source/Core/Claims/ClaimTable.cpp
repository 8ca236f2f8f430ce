#include "Core/Claims/ClaimTable.h"

namespace bronzepass::core::claims {

namespace {

/// Field names, punctuation and the numbers at their longest.
constexpr size_t FixedClaimBytes = 240;

/// Length as a JSON string; CBOR's is never more.
size_t escapedBytes(const std::string &Text) {
  size_t Bytes = 0;
  for (const char C : Text) {
    if (C == '"' || C == '\\')
      Bytes += 2;
    else if (static_cast<unsigned char>(C) < 0x20)
      Bytes += 6;
    else
      Bytes += 1;
  }
  return Bytes;
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
