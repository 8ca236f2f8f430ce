#include "Core/Claims/ClaimTable.h"

#include <algorithm>

namespace bronzepass::core::claims {

namespace {

/// Field names, punctuation and numbers at their maximum length.
constexpr size_t FixedClaimBytes = 240;

/// Text that is not UTF-8 is encoded as an object with hexadecimal digits.
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

size_t encodedAnswerBytes(const std::string &Answer) {
  return escapedBytes(Answer);
}

size_t encodedBytes(const model::ClaimRecord &Claim) {
  return FixedClaimBytes + escapedBytes(Claim.m_Runner.str()) +
         escapedBytes(Claim.m_Answer);
}

ClaimTable::ClaimTable(const std::vector<model::ClaimRecord> &Claims) {
  for (const model::ClaimRecord &Claim : Claims)
    put(Claim);
}

const model::ClaimRecord *ClaimTable::find(uint64_t KeyHash) const {
  auto Found = m_Claims.find(KeyHash);
  return Found == m_Claims.end() ? nullptr : &Found->second;
}

void ClaimTable::put(const model::ClaimRecord &Claim) {
  erase(Claim.m_KeyHash);
  m_Claims.emplace(Claim.m_KeyHash, Claim);
  m_Bytes += encodedBytes(Claim);
}

void ClaimTable::erase(uint64_t KeyHash) {
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

model::TimePoint ClaimTable::newestTakenAt() const {
  model::TimePoint Newest;
  for (const auto &Entry : m_Claims)
    Newest = std::max(Newest, Entry.second.m_TakenAt);
  return Newest;
}

std::vector<model::ClaimRecord> ClaimTable::claims() const {
  std::vector<model::ClaimRecord> Claims;
  Claims.reserve(m_Claims.size());
  for (const auto &Entry : m_Claims)
    Claims.push_back(Entry.second);
  return Claims;
}

} // namespace bronzepass::core::claims
