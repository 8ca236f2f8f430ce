#include "Core/Organisations/OrganisationTable.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests {

using namespace core::organisations;

TEST_CASE("an organisation is found by any of its keys and by its name") {
  const OrganisationTable Table({{"a", {digestOf("1"), digestOf("2")}, {}, {}},
                                 {"b", {digestOf("3")}, 2, {}},
                                 {"none", {}, {}, {}}});
  CHECK(Table.findByKey(digestOf("1"))->m_Name == "a");
  CHECK(Table.findByKey(digestOf("2"))->m_Name == "a");
  CHECK(Table.findByKey(digestOf("3"))->m_Name == "b");
  CHECK(Table.findByKey(digestOf("4")) == nullptr);
  CHECK(Table.findByKey(digestOf("")) == nullptr);
  CHECK(Table.findByName("b")->m_Priority == 2);
  CHECK(Table.findByName("c") == nullptr);
}

TEST_CASE("a key that two organisations hold belongs to the first") {
  const OrganisationTable Table(
      {{"a", {digestOf("1")}, {}, {}}, {"b", {digestOf("1")}, {}, {}}});
  CHECK(Table.findByKey(digestOf("1"))->m_Name == "a");
}

TEST_CASE("a digest is the key's SHA-256") {
  // The test vector of FIPS 180-2 for "abc".
  const KeyDigest Digest = digestOf("abc");
  CHECK(Digest.m_Bytes[0] == 0xba);
  CHECK(Digest.m_Bytes[1] == 0x78);
  CHECK(Digest.m_Bytes[KeyDigest::Size - 1] == 0xad);
  CHECK(isSameDigest(Digest, digestOf("abc")));
  CHECK_FALSE(isSameDigest(Digest, digestOf("abd")));
}

} // namespace bronzepass::unit_tests
