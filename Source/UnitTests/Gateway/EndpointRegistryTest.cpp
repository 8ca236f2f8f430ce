#include "Core/Gateway/EndpointRegistry.h"

#include <doctest/doctest.h>

namespace bronzepass::core::gateway {

namespace {

using namespace std::chrono_literals;

constexpr model::Duration LapsedRetention = 2150ms;

model::TimePoint at(model::Duration Since) { return model::TimePoint(Since); }

EndpointEntry entry(const char *Id, uint64_t Renewals = 1,
                    bool Draining = false) {
  EndpointEntry Entry;
  Entry.m_Id = model::EndpointId(Id);
  Entry.m_Renewals = Renewals;
  Entry.m_Draining = Draining;
  return Entry;
}

} // namespace

TEST_CASE("an entry deleted while the store answers is removed at once") {
  EndpointRegistry Registry(LapsedRetention);
  Registry.set(entry("a"), at(1s));
  Registry.remove(model::EndpointId("a"), StoreHealth(), at(10s));
  CHECK(Registry.empty());
}

TEST_CASE(
    "an entry that lapsed during a store outage is kept for the retention "
    "time after the recovery, and no longer") {
  EndpointRegistry Registry(LapsedRetention);
  Registry.set(entry("a"), at(1s));
  StoreHealth Store;
  Store.recordFailure(at(20s));
  Registry.remove(model::EndpointId("a"), Store, at(10s));
  CHECK_FALSE(Registry.dropLapsed(Store, at(20s)));
  CHECK(Store.recordAnswer());
  CHECK_FALSE(Registry.dropLapsed(Store, at(20s + LapsedRetention - 1ms)));
  CHECK(Registry.find(model::EndpointId("a")));
  // Three seconds after the recovery nothing may be sent to it any more.
  CHECK(Registry.dropLapsed(Store, at(20s + LapsedRetention)));
  CHECK(LapsedRetention < 3s);
  CHECK(Registry.empty());
}

TEST_CASE("the retention time starts at the last failure, since the store may "
          "have recovered right after it") {
  EndpointRegistry Registry(LapsedRetention);
  Registry.set(entry("a"), at(1s));
  StoreHealth Store;
  Store.recordFailure(at(10s));
  Registry.remove(model::EndpointId("a"), Store, at(10s));
  CHECK(Store.recordAnswer());
  CHECK(Registry.dropLapsed(Store, at(10s + LapsedRetention)));
}

TEST_CASE("the retention time of an entry missing from the first list after an "
          "outage starts at the store's recovery, not at that list") {
  EndpointRegistry Registry(LapsedRetention);
  Registry.set(entry("a"), at(1s));
  StoreHealth Store;
  Store.recordFailure(at(20s));
  Store.recordAnswer();
  Registry.remove(model::EndpointId("a"), Store, at(21100ms));
  CHECK(Registry.find(model::EndpointId("a")));
  CHECK(Registry.dropLapsed(Store, at(20s + LapsedRetention)));
}

TEST_CASE("a draining endpoint is removed at once, even during an outage") {
  EndpointRegistry Registry(LapsedRetention);
  Registry.set(entry("a", 1, true), at(1s));
  StoreHealth Store;
  Store.recordFailure(at(10s));
  Registry.remove(model::EndpointId("a"), Store, at(10s));
  CHECK(Registry.empty());
}

TEST_CASE("an entry that is written again after an outage is kept") {
  EndpointRegistry Registry(LapsedRetention);
  Registry.set(entry("a", 5), at(1s));
  StoreHealth Store;
  Store.recordFailure(at(10s));
  Registry.remove(model::EndpointId("a"), Store, at(10s));
  Store.recordAnswer();
  CHECK(Registry.set(entry("a", 6), at(1s)));
  CHECK_FALSE(Registry.dropLapsed(Store, at(60s)));
  CHECK(Registry.find(model::EndpointId("a")));
}

TEST_CASE("a delayed renewal does not overwrite a later one") {
  EndpointRegistry Registry(LapsedRetention);
  Registry.set(entry("a", 7, true), at(1s));
  CHECK_FALSE(Registry.set(entry("a", 6, false), at(1s)));
  CHECK(Registry.find(model::EndpointId("a"))->m_Draining);
  EndpointEntry Restarted = entry("a", 1);
  Restarted.m_StartedAtMs = 1000;
  CHECK(Registry.set(Restarted, at(1s)));
  CHECK_FALSE(Registry.find(model::EndpointId("a"))->m_Draining);
}

TEST_CASE("a restored store does not bring back an endpoint that has left") {
  EndpointRegistry Registry(LapsedRetention);
  Registry.set(entry("a", 7), at(1s));
  Registry.remove(model::EndpointId("a"), StoreHealth(), at(10s));
  Registry.onStoreRestored(at(15s));
  CHECK_FALSE(Registry.set(entry("a", 6), at(15s)));
  CHECK_FALSE(Registry.set(entry("a", 7), at(15s)));
  CHECK(Registry.empty());
  SUBCASE("a renewal since shows that it is alive") {
    CHECK(Registry.set(entry("a", 8), at(16s)));
  }
  SUBCASE("so does a new start") {
    EndpointEntry Restarted = entry("a", 1);
    Restarted.m_StartedAtMs = 1000;
    CHECK(Registry.set(Restarted, at(16s)));
  }
}

TEST_CASE("a restored store does not undo draining or a restart") {
  EndpointRegistry Registry(LapsedRetention);
  EndpointEntry Known = entry("a", 7, true);
  Known.m_StartedAtMs = 2000;
  Registry.set(Known, at(1s));
  Registry.onStoreRestored(at(5s));
  EndpointEntry Ready = entry("a", 7);
  Ready.m_StartedAtMs = 2000;
  CHECK_FALSE(Registry.set(Ready, at(5s)));
  EndpointEntry EarlierStart = entry("a", 90);
  EarlierStart.m_StartedAtMs = 1000;
  CHECK_FALSE(Registry.set(EarlierStart, at(5s)));
  CHECK(Registry.find(model::EndpointId("a"))->m_Draining);
}

TEST_CASE("an entry that a restore has lost is kept until its endpoint should "
          "have written it again") {
  EndpointRegistry Registry(LapsedRetention);
  Registry.set(entry("a", 5), at(1s));
  StoreHealth Store;
  Store.recordRestore(at(10s));
  Registry.onStoreRestored(at(10s));
  Registry.remove(model::EndpointId("a"), Store, at(10100ms));
  CHECK(Registry.find(model::EndpointId("a")));
  SUBCASE("it is written again") {
    CHECK(Registry.set(entry("a", 5), at(11s)));
    CHECK_FALSE(Registry.dropLapsed(Store, at(13s)));
  }
  SUBCASE("it is not") {
    CHECK(Registry.dropLapsed(Store, at(10s + LapsedRetention)));
    CHECK(Registry.empty());
  }
}

} // namespace bronzepass::core::gateway
