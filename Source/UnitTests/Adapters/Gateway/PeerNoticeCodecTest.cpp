#include "Core/Adapters/Gateway/PeerNoticeCodec.h"

#include <doctest/doctest.h>
#include <random>

namespace bronzepass::core::adapters::gateway {

namespace {

using namespace std::chrono_literals;

core::gateway::PeerNotice notice() {
  core::gateway::PeerNotice Notice;
  Notice.m_From = model::NodeId("n1");
  Notice.m_Start = 1ULL << 62U;
  Notice.m_Sequence = 7;
  Notice.m_Loads = {{model::EndpointId("e"), 3}};
  Notice.m_UsageCounters = {{"s", {"m", "a"}, 4, 500}};
  Notice.m_CopyChanges = {{model::EndpointId("e"), {"m", ""}, true}};
  Notice.m_CopyRequests = {{"s", {"m", "b"}}};
  Notice.m_Quarantine = {
      {{~0ULL, 5, 200ms, 300ms, {8, ~0ULL}}}, {{6, 9min, {9}}}, {{7, 1s}}};
  Notice.m_EndpointNotices = {
      {model::EndpointId("e"), 300ms, {true, 4.25, 2.0}, 500ms},
      {model::EndpointId("f"), 1s, {}}};
  Notice.m_Streams = {{{~0ULL, "v1.1"}}, {{"s", 20s}}};
  Notice.m_ForwardingPort = 7381;
  Notice.m_LostServices = {"s", "t"};
  Notice.m_HoldsLease = true;
  Notice.m_Quotas = {
      7,
      1'800'000'000'000'000,
      {{8, 600, 200, 50, 9000, 250'000, 1'799'999'999'000'000, 12}},
      {{8, 650, 0, 300'000, true}, {9, 0, 45'000, 0, false}},
      true};
  return Notice;
}

} // namespace

TEST_CASE("an encoded notice decodes to the same notice") {
  std::string Reason;
  CHECK(decodeNotice(*encodeNotice(notice()), Reason) == notice());
  core::gateway::PeerNotice Empty;
  Empty.m_From = model::NodeId("n1");
  CHECK(decodeNotice(*encodeNotice(Empty), Reason) == Empty);
}

TEST_CASE("corrupted notices are rejected with a reason and never crash") {
  const std::string Bytes = *encodeNotice(notice());
  std::mt19937 Random(3);
  for (int Run = 0; Run < 20000; ++Run) {
    std::string Damaged = Bytes.substr(0, Random() % (Bytes.size() + 1));
    if (!Damaged.empty())
      Damaged[Random() % Damaged.size()] = static_cast<char>(Random());
    std::string Reason;
    const bool Read = decodeNotice(Damaged, Reason).has_value();
    CHECK(Read == Reason.empty());
  }
}

} // namespace bronzepass::core::adapters::gateway
