#include "Core/Routing/PrefixIndex.h"

#include <algorithm>
#include <bit>

namespace bronzepass::core::routing {

PrefixIndex::PrefixIndex(uint32_t Entries) {
  size_t Sets = std::bit_ceil(std::max<size_t>(1, Entries / Ways));
  m_Entries.resize(Sets * Ways);
  m_Mask = Sets - 1;
}

const PrefixIndex::Entry *PrefixIndex::find(uint64_t Hash) const {
  size_t First = firstWay(Hash);
  for (size_t Way = 0; Way < Ways; ++Way) {
    const Entry &Candidate = m_Entries[First + Way];
    if (Candidate.m_Hash == Hash && Candidate.m_UsedAt != 0)
      return &Candidate;
  }
  return nullptr;
}

void PrefixIndex::add(uint64_t Hash, EndpointTag Holder) {
  size_t First = firstWay(Hash);
  Entry *Chosen = const_cast<Entry *>(find(Hash));
  if (Chosen == nullptr) {
    Chosen = &*std::min_element(m_Entries.begin() + First,
                                m_Entries.begin() + First + Ways,
                                [](const Entry &Left, const Entry &Right) {
                                  return Left.m_UsedAt < Right.m_UsedAt;
                                });
    *Chosen = Entry();
    Chosen->m_Hash = Hash;
  }
  Chosen->m_UsedAt = ++m_UseCounter;
  auto Place =
      std::find(Chosen->m_Holders.begin(), Chosen->m_Holders.end(), Holder);
  // Newest first, so that the holder added longest ago is dropped.
  if (Place == Chosen->m_Holders.end())
    Place = Chosen->m_Holders.end() - 1;
  std::rotate(Chosen->m_Holders.begin(), Place, Place + 1);
  Chosen->m_Holders.front() = Holder;
}

void PrefixIndex::remove(uint64_t Hash, EndpointTag Holder) {
  Entry *Found = const_cast<Entry *>(find(Hash));
  if (Found != nullptr)
    std::replace(Found->m_Holders.begin(), Found->m_Holders.end(), Holder,
                 EndpointTag(0));
}

void PrefixIndex::forget(EndpointTag Holder) {
  for (Entry &Each : m_Entries)
    std::replace(Each.m_Holders.begin(), Each.m_Holders.end(), Holder,
                 EndpointTag(0));
}

bool PrefixIndex::holds(uint64_t Hash, EndpointTag Holder) const {
  const Entry *Found = find(Hash);
  return Found != nullptr &&
         std::find(Found->m_Holders.begin(), Found->m_Holders.end(), Holder) !=
             Found->m_Holders.end();
}

uint32_t PrefixIndex::matched(const std::vector<uint64_t> &Hashes,
                              EndpointTag Holder) const {
  uint32_t Depth = 0;
  while (Depth < Hashes.size() && holds(Hashes[Depth], Holder))
    ++Depth;
  return Depth;
}

} // namespace bronzepass::core::routing
