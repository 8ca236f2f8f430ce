#include "standins/Template.h"

#include <doctest/doctest.h>

#include <optional>
#include <stdexcept>

using namespace review;

namespace {

const SettingValues Values = {
    {"Name", "front-1"}, {"Limits.Mb", "260"}, {"Bounds.Quota", std::nullopt}};

} // namespace

TEST_CASE("placeholders are replaced by their values") {
  CHECK(fillTemplate("a: {{Name}}, {{Limits.Mb}}MiB\n", Values) ==
        "a: front-1, 260MiB\n");
}

TEST_CASE("sections without a value are left out") {
  CHECK(fillTemplate("a\n{{#Bounds.Quota}}b: {{Bounds.Window}}\n"
                     "{{/Bounds.Quota}}c\n",
                     Values) == "a\nc\n");
  CHECK(fillTemplate("{{#Limits.Mb}}{{Limits.Mb}}{{/Limits.Mb}}", Values) ==
        "260");
  CHECK(fillTemplate("{{^Bounds.Quota}}a{{/Bounds.Quota}}", Values) == "a");
  CHECK(fillTemplate("{{^Limits.Mb}}a{{/Limits.Mb}}", Values).empty());
}

// Scripts of review/ that could not start a node, since a new key of the
// template stayed as it was.
TEST_CASE("names without a value are an error") {
  CHECK_THROWS_AS(fillTemplate("{{Limits.Fds}}", Values), std::runtime_error);
  CHECK_THROWS_AS(fillTemplate("{{Bounds.Quota}}", Values), std::runtime_error);
  CHECK_THROWS_AS(fillTemplate("{{#Bounds.Keys}}a{{/Bounds.Keys}}", Values),
                  std::runtime_error);
  CHECK_THROWS_AS(fillTemplate("{{^Bounds.Keys}}a{{/Bounds.Keys}}", Values),
                  std::runtime_error);
  CHECK_THROWS_AS(
      fillTemplate("{{#Limits.Mb}}{{Limits.Fds}}{{/Limits.Mb}}", Values),
      std::runtime_error);
}

TEST_CASE("unfinished placeholders and sections are an error") {
  CHECK_THROWS_AS(fillTemplate("{{Name", Values), std::runtime_error);
  CHECK_THROWS_AS(fillTemplate("{{#Name}}a", Values), std::runtime_error);
}
