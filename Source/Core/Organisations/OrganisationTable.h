#ifndef BRONZEPASS_CORE_ORGANISATIONS_ORGANISATIONTABLE_H
#define BRONZEPASS_CORE_ORGANISATIONS_ORGANISATIONTABLE_H

#include "Core/Organisations/OrganisationSpec.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace bronzepass::core::organisations {

/// The organisations of one configuration, indexed for lookups. Immutable.
class OrganisationTable {
public:
  explicit OrganisationTable(std::vector<OrganisationSpec> Organisations);

  const std::vector<OrganisationSpec> &all() const { return m_All; }
  /// The organisation that holds the key; null if none does. Of several that
  /// hold it, the first.
  const OrganisationSpec *findByKey(const KeyDigest &Digest) const;
  const OrganisationSpec *findByName(const std::string &Name) const;

private:
  struct HeldKey {
    KeyDigest m_Digest;
    size_t m_Organisation = 0;
  };

  static uint64_t prefixOf(const KeyDigest &Digest);

  std::vector<OrganisationSpec> m_All;
  /// By the first bytes of the digest.
  std::unordered_multimap<uint64_t, HeldKey> m_Keys;
  std::unordered_map<std::string, size_t> m_Names;
};

} // namespace bronzepass::core::organisations

#endif // BRONZEPASS_CORE_ORGANISATIONS_ORGANISATIONTABLE_H
