#include "Core/Claims/ClaimHistory.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests::claims {

using namespace core;
using core::claims::ClaimHistory;
using core::claims::ClaimRequestRef;
using core::claims::ClaimSettings;

namespace {

const ClaimRequestRef Holder{model::NodeId("node-1"), UINT64_MAX};

model::ClaimRecord claim(uint64_t Key, int64_t TakenAt = INT64_MAX / 2) {
  return {.m_KeyHash = Key,
          .m_BodyHash = UINT64_MAX,
          .m_Runner = Holder.m_Runner,
          .m_ClaimRequestId = Holder.m_ClaimRequestId,
          .m_TakenAt = model::TimePoint(model::Duration(TakenAt))};
}

model::TimePoint at(int64_t Micros) {
  return model::TimePoint(model::Duration(Micros));
}

} // namespace

TEST_CASE(
    "A shard near its size limit stores no answers, and a full one no claims") {
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
  // A release frees its space.
  CHECK(History.release(2, Settings));
  CHECK(History.take(claim(Key), Settings));
}

TEST_CASE("The size counts encoded bytes and stays correct after each change") {
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

TEST_CASE("Records newer than a segment override it") {
  ClaimSettings Settings;
  ClaimHistory History;
  for (const uint64_t Key : {1, 2, 3})
    History.take(claim(Key, 100), Settings);
  History.seal({{{1}, 1, at(100)}, {5}});
  CHECK(History.open().size() == 0);
  CHECK(History.isHeldBy(1, Holder));
  History.complete(1, 201, "done", Settings);
  History.release(2, Settings);
  CHECK(History.find(1, {})->m_Answer == "done");
  CHECK_FALSE(History.isHeldBy(1, Holder));
  CHECK_FALSE(History.find(2, {}));
  // The released key can be claimed and released again.
  History.take(claim(2, 150), Settings);
  CHECK(History.isHeldBy(2, Holder));
  History.release(2, Settings);
  CHECK_FALSE(History.find(2, {}));
  // After another seal, the newer segment overrides the older one.
  History.seal({{{1}, 2, at(150)}, {6}});
  CHECK(History.find(1, {})->m_Status == 201);
  CHECK_FALSE(History.find(2, {}));
  CHECK(History.find(3, {}));
  // The older segment is dropped once its newest claim has expired.
  CHECK(History.expire(at(101)).size() == 1);
  CHECK_FALSE(History.find(3, {}));
}

TEST_CASE("Each segment of an object is loaded only once") {
  model::ClaimShardRecord Record;
  Record.m_Segments = {{{1}, 1, at(100)}, {{1}, 2, at(200)}};
  ClaimHistory History;
  History.adopt(Record);
  CHECK(History.firstUnloaded() == Record.m_Segments[0]);
  History.load({Record.m_Segments[0], {5}}, {claim(1)});
  CHECK(History.firstUnloaded() == Record.m_Segments[1]);
  History.load({Record.m_Segments[1], {6}}, {claim(2)});
  CHECK_FALSE(History.firstUnloaded());
  History.adopt(Record);
  CHECK_FALSE(History.firstUnloaded());
  CHECK(History.isHeldBy(1, Holder));
}

} // namespace bronzepass::unit_tests::claims
