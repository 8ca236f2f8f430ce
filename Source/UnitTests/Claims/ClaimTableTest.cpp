#include "Core/Claims/ClaimTable.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::claims {

using namespace core;
using core::claims::ClaimSettings;
using core::claims::ClaimTable;

namespace {

model::ClaimRecord claim(uint64_t Key) {
  return {.m_KeyHash = Key,
          .m_BodyHash = UINT64_MAX,
          .m_Runner = model::NodeId("node-1"),
          .m_AskId = UINT64_MAX,
          .m_TakenAt = model::TimePoint(model::Duration(INT64_MAX / 2))};
}

} // namespace

TEST_CASE("A full shard refuses claims and then answers are left out first") {
  ClaimSettings Settings;
  ClaimTable Table;
  uint64_t Key = 0;
  while (Table.take(claim(++Key), Settings))
    CHECK(Table.bytes() <= Settings.m_MaxShardBytes);
  CHECK(Table.size() == Key - 1);
  Table.complete(1, 200, "kept nowhere", Settings);
  CHECK(Table.find(1)->m_State == model::ClaimState::Done);
  CHECK(Table.find(1)->m_Answer.empty());
  CHECK(Table.bytes() <= Settings.m_MaxShardBytes);
  // What leaves gives its room back.
  Table.release(2);
  CHECK(Table.take(claim(Key), Settings));
}

TEST_CASE("Bytes are counted as encoded, and stay right") {
  ClaimSettings Settings;
  ClaimTable Table;
  Table.take(claim(1), Settings);
  Table.take(claim(2), Settings);
  Table.complete(1, 200, "a \"quoted\" answer\n", Settings);
  Table.complete(2, 200, std::string(Settings.m_MaxAnswerBytes, '"'), Settings);
  CHECK(Table.find(1)->m_Answer == "a \"quoted\" answer\n");
  CHECK(Table.find(2)->m_Answer.empty());
  CHECK(Table.bytes() == ClaimTable(Table.claims()).bytes());
  Table.release(1);
  Table.release(2);
  CHECK(Table.bytes() == 0);
}

} // namespace bronzepass::unit_tests::claims
