#include "Core/Organisations/OrganisationTable.h"

#include <cstring>
#include <utility>

namespace bronzepass::core::organisations {

OrganisationTable::OrganisationTable(
    std::vector<OrganisationSpec> Organisations)
    : m_All(std::move(Organisations)) {
  for (size_t I = 0; I < m_All.size(); ++I) {
    m_Names.emplace(m_All[I].m_Name, I);
    for (const KeyDigest &Key : m_All[I].m_Keys)
      if (!findByKey(Key))
        m_Keys.emplace(prefixOf(Key), HeldKey{Key, I});
  }
}

uint64_t OrganisationTable::prefixOf(const KeyDigest &Digest) {
  uint64_t Prefix = 0;
  std::memcpy(&Prefix, Digest.m_Bytes.data(), sizeof(Prefix));
  return Prefix;
}

const OrganisationSpec *
OrganisationTable::findByKey(const KeyDigest &Digest) const {
  const auto Range = m_Keys.equal_range(prefixOf(Digest));
  for (auto Entry = Range.first; Entry != Range.second; ++Entry)
    if (isSameDigest(Entry->second.m_Digest, Digest))
      return &m_All[Entry->second.m_Organisation];
  return nullptr;
}

const OrganisationSpec *
OrganisationTable::findByName(const std::string &Name) const {
  const auto Found = m_Names.find(Name);
  return Found == m_Names.end() ? nullptr : &m_All[Found->second];
}

} // namespace bronzepass::core::organisations
