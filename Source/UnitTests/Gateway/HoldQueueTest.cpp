#include "Core/Gateway/HoldQueue.h"

#include "Core/Gateway/HoldRules.h"
#include "Core/Gateway/RefusedRequests.h"

#include <chrono>
#include <doctest/doctest.h>
#include <random>

namespace bronzepass::unit_tests {

namespace gateway = core::gateway;
namespace model = core::model;

using namespace std::chrono_literals;
using gateway::HeldRequest;
using gateway::HoldDecision;
using gateway::HoldOrder;
using gateway::HoldQueue;
using gateway::HoldVerdict;

namespace {

constexpr model::TimePoint Start = model::TimePoint(100s);
constexpr uint64_t Hot = 1;
constexpr uint64_t Small = 2;

HeldRequest request(uint64_t Number, uint32_t Rank, model::Duration Time,
                    double CostMs = 100, uint64_t Organisation = 0) {
  HeldRequest Request;
  Request.m_Number = {Number};
  Request.m_Order = HoldOrder::Slack;
  Request.m_Rank = Rank;
  Request.m_Organisation = Organisation;
  Request.m_LatestStart = Start + Time;
  Request.m_LateUntil = Start + Time + 1s;
  Request.m_CostMs = CostMs;
  return Request;
}

std::vector<uint64_t> order(const HoldQueue &Queue) {
  std::vector<uint64_t> Numbers;
  for (const HoldQueue::Entry &Each : Queue)
    Numbers.push_back(Each.m_Request.m_Number.m_Value);
  return Numbers;
}

} // namespace

TEST_CASE("patient requests of high rank lend their place to urgent ones of "
          "lower rank") {
  HoldQueue Queue;
  Queue.admit(request(1, 0, 2s), {}, Start);
  Queue.admit(request(2, 1, 500ms), {}, Start);
  Queue.admit(request(3, 1, 6s), {}, Start);
  CHECK(order(Queue) == std::vector<uint64_t>{2, 1, 3});
}

TEST_CASE("a patient request of high rank takes its place back before its own "
          "time runs out") {
  HoldQueue Queue;
  Queue.admit(request(1, 0, 200ms), {}, Start);
  // Each of these would go first, and the third would make it late.
  for (uint64_t I = 2; I <= 4; ++I)
    Queue.admit(request(I, 1, 150ms), {}, Start);
  REQUIRE(Queue.size() == 4);
  CHECK_FALSE(Queue.isLate({1}));
  CHECK_FALSE(Queue.isLate({2}));
  CHECK_FALSE(Queue.isLate({3}));
  CHECK(Queue.isLate({4}));
  CHECK(order(Queue) == std::vector<uint64_t>{2, 3, 1, 4});
}

TEST_CASE("a request of higher rank that comes last displaces the newest of "
          "the lowest rank") {
  HoldQueue Queue;
  Queue.admit(request(1, 1, 100ms), {}, Start);
  Queue.admit(request(2, 2, 100ms), {}, Start);
  CHECK(Queue.admit(request(3, 0, 100ms), {}, Start).m_Verdict ==
        HoldVerdict::InTime);
  CHECK(Queue.isLate({2}));
  CHECK_FALSE(Queue.isLate({1}));
}

TEST_CASE("one that can be served late waits behind all that can be in time; "
          "one that can't is refused at once") {
  HoldQueue Queue;
  for (uint64_t I = 1; I <= 6; ++I)
    Queue.admit(request(I, 0, 500ms), {}, Start);
  const HoldDecision Late = Queue.admit(request(7, 0, 400ms), {}, Start);
  CHECK(Late.m_Verdict == HoldVerdict::Late);
  CHECK(Late.m_WaitMs == doctest::Approx(600));
  CHECK(order(Queue).back() == 7);
  const HoldDecision Refused =
      Queue.admit(request(8, 0, 400ms, 100), {1500, 1}, Start);
  CHECK(Refused.m_Verdict == HoldVerdict::Refuse);
  CHECK(Queue.size() == 7);
}

TEST_CASE("room free again: a late request that can be in time after all goes "
          "in time") {
  HoldQueue Queue;
  for (uint64_t I = 1; I <= 6; ++I)
    Queue.admit(request(I, 0, 500ms), {}, Start);
  const HeldRequest Late = request(7, 0, 400ms);
  Queue.admit(Late, {}, Start);
  REQUIRE(Queue.isLate({7}));
  for (uint64_t I = 1; I <= 6; ++I)
    Queue.onSent({I}, Start);
  CHECK(Queue.admit(Late, {}, Start).m_Verdict == HoldVerdict::InTime);
  CHECK_FALSE(Queue.isLate({7}));
}

TEST_CASE("a hot organisation beside a small one: the small one is served in "
          "time at the cost of the hot one") {
  HoldQueue Queue;
  for (uint64_t I = 1; I <= 20; ++I)
    Queue.admit(request(I, 1, 500ms, 100, Hot), {}, Start);
  CHECK(Queue.admit(request(21, 1, 500ms, 100, Small), {}, Start).m_Verdict ==
        HoldVerdict::InTime);
  // One more of the hot one's is late than before.
  size_t HotInTime = 0;
  for (const HoldQueue::Entry &Each : Queue)
    HotInTime += Each.m_Request.m_Organisation == Hot && !Each.m_IsLate ? 1 : 0;
  CHECK(HotInTime == 5);
}

TEST_CASE("a hot organisation with ten times the demand of nine small ones: "
          "each small one gets at least its share of half") {
  HoldQueue Queue;
  std::mt19937_64 Random(1);
  std::vector<int> Sent(11);
  std::vector<int> Asked(11);
  uint64_t Number = 0;
  model::TimePoint Now = Start;
  for (int Step = 0; Step < 4000; ++Step, Now += 10ms) {
    // Twice what is served: one in ten of each small one's, all else the hot
    // one's.
    for (int I = 0; I < 2; ++I) {
      const uint64_t Draw = Random() % 20;
      const uint64_t Organisation = Draw < 9 ? 2 + Draw : 1;
      HeldRequest Request = request(++Number, 1, 500ms, 10, Organisation);
      Request.m_LatestStart = Now + 500ms;
      Request.m_LateUntil = Now + 600ms;
      ++Asked[Organisation];
      Queue.admit(Request, {}, Now);
    }
    if (Queue.empty())
      continue;
    const HoldQueue::Entry First = Queue.front();
    ++Sent[First.m_Request.m_Organisation];
    Queue.onSent(First.m_Request.m_Number, Now);
    std::vector<model::RequestId> Gone;
    for (const HoldQueue::Entry &Each : Queue)
      if (Now >= Each.m_Request.m_LateUntil)
        Gone.push_back(Each.m_Request.m_Number);
    for (const model::RequestId &Each : Gone)
      Queue.remove(Each, Now);
  }
  for (size_t I = 2; I <= 10; ++I) {
    CAPTURE(I);
    CHECK(Sent[I] >= 0.9 * Asked[I]);
  }
}

TEST_CASE("a refused caller that comes back isn't put behind those that came "
          "since") {
  HoldQueue Queue;
  gateway::RefusedRequests Refused;
  for (uint64_t I = 1; I <= 5; ++I)
    Queue.admit(request(I, 1, 400ms), {}, Start);
  HeldRequest Returning = request(6, 1, 400ms);
  Returning.m_LateUntil = Returning.m_LatestStart;
  const HoldDecision First = Queue.admit(Returning, {}, Start);
  REQUIRE(First.m_Verdict == HoldVerdict::Refuse);
  Refused.add(77, First.m_Turn, Start + 10s);
  for (uint64_t I = 1; I <= 5; ++I)
    Queue.onSent({I}, Start);
  for (uint64_t I = 11; I <= 15; ++I)
    Queue.admit(request(I, 1, 400ms), {}, Start);
  Returning.m_Number = {16};
  Returning.m_EarlierTurn = Refused.take(77, Start).value_or(-1);
  REQUIRE(Returning.m_EarlierTurn >= 0);
  CHECK(Queue.admit(Returning, {}, Start).m_Verdict == HoldVerdict::InTime);
  CHECK(Queue.isLate({15}));
  CHECK_FALSE(Refused.take(77, Start));
}

TEST_CASE("few nodes hold requests for a rare model: what one holds for a "
          "moment isn't taken to be held at all nodes") {
  HoldQueue Queue;
  Queue.admit(request(1, 1, 6s), {}, Start);
  CHECK(Queue.averageShare(0, Start + 10ms) < 0.05);
  CHECK(Queue.averageShare(0, Start + 20s) > 0.95);
}

TEST_CASE("with ranks that agree with urgency the order is rank and arrival") {
  HoldQueue Queue;
  const auto Hold = [&Queue](uint64_t Number, uint32_t Rank) {
    HeldRequest Request = request(Number, Rank, 1s / (Number + 1));
    Request.m_Order = HoldOrder::Rank;
    Queue.hold(Request, Start);
  };
  Hold(1, 2);
  Hold(2, 0);
  Hold(3, 1);
  Hold(4, 0);
  Hold(5, 2);
  CHECK(order(Queue) == std::vector<uint64_t>{2, 4, 3, 1, 5});
}

TEST_CASE("slack decides only where a request of higher rank has twice the "
          "time of one of lower rank") {
  const auto Rules = [](model::Duration HighTime, model::Duration LowTime,
                        std::optional<uint32_t> OrganisationRank) {
    gateway::GatewayConfig Config;
    gateway::RouteSpec High;
    High.m_Services = {{"s", 1}};
    High.m_LatencyTarget = HighTime;
    gateway::RouteSpec Low = High;
    Low.m_Priority = 1;
    Low.m_LatencyTarget = LowTime;
    Config.m_Routes = {High, Low};
    if (OrganisationRank) {
      Config.m_Organisations.emplace(1);
      Config.m_Organisations->front().m_Priority = OrganisationRank;
    }
    return gateway::holdRules(Config, "s");
  };
  CHECK(Rules(500ms, 6s, std::nullopt).m_Order == HoldOrder::Rank);
  CHECK(Rules(600ms, 500ms, std::nullopt).m_Order == HoldOrder::Rank);
  CHECK(Rules(2s, 500ms, std::nullopt).m_Order == HoldOrder::Slack);
  CHECK(Rules(2s, 500ms, std::nullopt).m_MaxSlotWaitMs == doctest::Approx(150));
  // An organisation's requests may have a higher rank than their route.
  CHECK(Rules(500ms, 6s, 0).m_Order == HoldOrder::Rank);
  CHECK(Rules(500ms, 6s, 2).m_Order == HoldOrder::Slack);
}

TEST_CASE("drawn loads: no request is made late by one of lower rank") {
  for (uint64_t Seed = 1; Seed <= 200; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    HoldQueue Queue;
    for (uint64_t I = 1; I <= 60; ++I) {
      const uint32_t Rank = Random() % 3;
      std::vector<model::RequestId> InTime;
      for (const HoldQueue::Entry &Each : Queue)
        if (!Each.m_IsLate && Each.m_Request.m_Rank < Rank)
          InTime.push_back(Each.m_Request.m_Number);
      Queue.admit(request(I, Rank, model::Duration(Random() % 2000000),
                          static_cast<double>(Random() % 100)),
                  {}, Start);
      for (const model::RequestId &Each : InTime)
        CHECK_FALSE(Queue.isLate(Each));
      // Those that count as in time are.
      double Wait = 0;
      for (const HoldQueue::Entry &Each : Queue) {
        if (Each.m_IsLate)
          break;
        CHECK(Wait <= std::chrono::duration<double, std::milli>(
                          Each.m_Request.m_LatestStart - Start)
                          .count());
        Wait += Each.m_Request.m_CostMs;
      }
    }
  }
}

} // namespace bronzepass::unit_tests
