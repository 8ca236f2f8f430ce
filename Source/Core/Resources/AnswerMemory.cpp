#include "Core/Resources/AnswerMemory.h"

#include <algorithm>

namespace bronzepass::core::resources {

void AnswerMemory::hold(const HeldAnswer &Answer, const std::string &Endpoint,
                        uint64_t Bytes) {
  const auto Found = m_Entries.find(Answer);
  if (Found != m_Entries.end() && Found->second.m_Bytes == Bytes)
    return;
  remove(Answer);
  if (Bytes == 0)
    return;
  m_Entries[Answer] = {Endpoint, Bytes};
  m_OfEndpoints[Endpoint] += Bytes;
  m_Budget.add(Bytes);
}

void AnswerMemory::remove(const HeldAnswer &Answer) {
  const auto Found = m_Entries.find(Answer);
  if (Found == m_Entries.end())
    return;
  const Entry &Removed = Found->second;
  m_Budget.remove(Removed.m_Bytes);
  const auto Sum = m_OfEndpoints.find(Removed.m_Endpoint);
  Sum->second -= Removed.m_Bytes;
  if (Sum->second == 0)
    m_OfEndpoints.erase(Sum);
  m_Entries.erase(Found);
}

std::optional<HeldAnswer> AnswerMemory::excess() const {
  if (m_Budget.hasRoom(0))
    return std::nullopt;
  const auto Endpoint = std::max_element(
      m_OfEndpoints.begin(), m_OfEndpoints.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  const std::pair<const HeldAnswer, Entry> *Largest = nullptr;
  for (const auto &Each : m_Entries)
    if (Each.second.m_Endpoint == Endpoint->first &&
        (!Largest || Each.second.m_Bytes > Largest->second.m_Bytes))
      Largest = &Each;
  return Largest->first;
}

} // namespace bronzepass::core::resources
