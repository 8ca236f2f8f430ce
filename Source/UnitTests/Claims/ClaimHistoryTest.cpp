#include "Core/Claims/ClaimHistory.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::claims {

using namespace core;
using core::claims::AskRef;
using core::claims::ClaimHistory;
using core::claims::ClaimSettings;

namespace {

const AskRef Ask{model::NodeId("node-1"), UINT64_MAX};

model::ClaimRecord claim(uint64_t Key, int64_t TakenAt = INT64_MAX / 2) {
  return {.m_KeyHash = Key,
          .m_BodyHash = UINT64_MAX,
          .m_Runner = Ask.m_Runner,
          .m_ClaimRequestId = Ask.m_ClaimRequestId,
          .m_TakenAt = model::TimePoint(model::Duration(TakenAt))};
}

model::TimePoint at(int64_t Micros) {
  return model::TimePoint(model::Duration(Micros));
}

} // namespace

TEST_CASE("A full shard keeps no more answers, then takes no more claims") {
  ClaimSettings Settings;
  ClaimHistory History;
  uint64_t Key = 0;
  while (History.take(claim(++Key), Settings))
    CHECK(History.open().bytes() <= Settings.m_MaxShardBytes);
  CHECK(Key > 1000);
  CHECK(History.complete(1, 200, "kept nowhere", Settings));
  CHECK(History.find(1, {})->m_State == model::ClaimState::Done);
  CHECK(History.find(1, {})->m_Answer.empty());
  CHECK(History.open().bytes() <= Settings.m_MaxShardBytes);
  // What leaves gives its room back.
  CHECK(History.release(2, Settings));
  CHECK(History.take(claim(Key), Settings));
}

TEST_CASE("Bytes are counted as encoded, and stay right") {
  ClaimSettings Settings;
  ClaimHistory History;
  History.take(claim(1), Settings);
  History.take(claim(2), Settings);
  History.complete(1, 200, "a \"quoted\" answer\n", Settings);
  History.complete(2, 200, std::string(Settings.m_MaxAnswerBytes, '"'),
                   Settings);
  CHECK(History.find(1, {})->m_Answer == "a \"quoted\" answer\n");
  CHECK(History.find(2, {})->m_Answer.empty());
  CHECK(History.open().bytes() ==
        core::claims::ClaimTable(History.open().claims()).bytes());
  History.release(1, Settings);
  History.release(2, Settings);
  CHECK(History.open().bytes() == 0);
}

TEST_CASE("What comes after a segment replaces what it says") {
  ClaimSettings Settings;
  ClaimHistory History;
  for (const uint64_t Key : {1, 2, 3})
    History.take(claim(Key, 100), Settings);
  History.seal({{{1}, 1, at(100)}, {5}});
  CHECK(History.open().size() == 0);
  CHECK(History.isHeldBy(1, Ask));
  History.complete(1, 201, "done", Settings);
  History.release(2, Settings);
  CHECK(History.find(1, {})->m_Answer == "done");
  CHECK_FALSE(History.isHeldBy(1, Ask));
  CHECK_FALSE(History.find(2, {}));
  // The key that was freed can be taken, and freed again.
  History.take(claim(2, 150), Settings);
  CHECK(History.isHeldBy(2, Ask));
  History.release(2, Settings);
  CHECK_FALSE(History.find(2, {}));
  // Sealed once more, the newer segment goes first.
  History.seal({{{1}, 2, at(150)}, {6}});
  CHECK(History.find(1, {})->m_Status == 201);
  CHECK_FALSE(History.find(2, {}));
  CHECK(History.find(3, {}));
  // The older one is dropped whole once its newest claim has expired.
  CHECK(History.expire(at(101)).size() == 1);
  CHECK_FALSE(History.find(3, {}));
}

TEST_CASE("An object's segments are loaded once each") {
  model::ClaimShardRecord Record;
  Record.m_Segments = {{{1}, 1, at(100)}, {{1}, 2, at(200)}};
  ClaimHistory History;
  History.adopt(Record);
  CHECK(History.firstMissing() == Record.m_Segments[0]);
  History.load({Record.m_Segments[0], {5}}, {claim(1)});
  CHECK(History.firstMissing() == Record.m_Segments[1]);
  History.load({Record.m_Segments[1], {6}}, {claim(2)});
  CHECK_FALSE(History.firstMissing());
  History.adopt(Record);
  CHECK_FALSE(History.firstMissing());
  CHECK(History.isHeldBy(1, Ask));
}

} // namespace bronzepass::unit_tests::claims
