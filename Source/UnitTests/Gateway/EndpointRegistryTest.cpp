#include "Core/Gateway/EndpointRegistry.h"

#include <doctest/doctest.h>

namespace bronzepass::core::gateway {

namespace {

using namespace std::chrono_literals;

constexpr model::Duration Kept = 2150ms;

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

TEST_CASE("an endpoint that leaves while the store answers is gone at once") {
  EndpointRegistry Registry(Kept);
  Registry.set(entry("a"));
  Registry.remove(model::EndpointId("a"), StoreHealth(), at(10s));
  CHECK(Registry.empty());
}

TEST_CASE("an entry that lapsed during an outage is kept until it can be back, "
          "and no longer") {
  EndpointRegistry Registry(Kept);
  Registry.set(entry("a"));
  StoreHealth Store;
  Store.failed();
  Registry.remove(model::EndpointId("a"), Store, at(10s));
  CHECK_FALSE(Registry.dropLapsed(Store, at(20s)));
  CHECK(Store.answered(at(20s)));
  CHECK_FALSE(Registry.dropLapsed(Store, at(20s + Kept - 1ms)));
  CHECK(Registry.find(model::EndpointId("a")));
  // From three seconds after the return nothing may be sent to it.
  CHECK(Registry.dropLapsed(Store, at(20s + Kept)));
  CHECK(Kept < 3s);
  CHECK(Registry.empty());
}

TEST_CASE("an entry that is missing from the first list after an outage counts "
          "from the store's return, not from that list") {
  EndpointRegistry Registry(Kept);
  Registry.set(entry("a"));
  StoreHealth Store;
  Store.failed();
  Store.answered(at(20s));
  Registry.remove(model::EndpointId("a"), Store, at(21100ms));
  CHECK(Registry.find(model::EndpointId("a")));
  CHECK(Registry.dropLapsed(Store, at(20s + Kept)));
}

TEST_CASE("an endpoint that was leaving is not waited for") {
  EndpointRegistry Registry(Kept);
  Registry.set(entry("a", 1, true));
  StoreHealth Store;
  Store.failed();
  Registry.remove(model::EndpointId("a"), Store, at(10s));
  CHECK(Registry.empty());
}

TEST_CASE("an entry that is back stays") {
  EndpointRegistry Registry(Kept);
  Registry.set(entry("a", 5));
  StoreHealth Store;
  Store.failed();
  Registry.remove(model::EndpointId("a"), Store, at(10s));
  Store.answered(at(11s));
  CHECK(Registry.set(entry("a", 6)));
  CHECK_FALSE(Registry.dropLapsed(Store, at(60s)));
  CHECK(Registry.find(model::EndpointId("a")));
}

TEST_CASE("a renewal that was long on its way does not undo a later one") {
  EndpointRegistry Registry(Kept);
  Registry.set(entry("a", 7, true));
  CHECK_FALSE(Registry.set(entry("a", 6, false)));
  CHECK(Registry.find(model::EndpointId("a"))->m_Draining);
  EndpointEntry Reborn = entry("a", 1);
  Reborn.m_BornMs = 1000;
  CHECK(Registry.set(Reborn));
  CHECK_FALSE(Registry.find(model::EndpointId("a"))->m_Draining);
}

} // namespace bronzepass::core::gateway
