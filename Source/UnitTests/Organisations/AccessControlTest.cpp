#include "Core/Organisations/AccessControl.h"

#include <doctest/doctest.h>

namespace bronzepass::unit_tests {

namespace model = core::model;
namespace organisations = core::organisations;
using Outcome = organisations::AccessDecision::Outcome;
using organisations::Credential;

namespace {

const model::TimePoint Start{std::chrono::seconds(100)};
const model::Duration RevocationTime = std::chrono::seconds(5);

organisations::OrganisationTable table() {
  organisations::OrganisationSpec Lab;
  Lab.m_Name = "lab";
  Lab.m_Keys = {organisations::digestOf("key-1")};
  return organisations::OrganisationTable({Lab});
}

Credential key(const char *Text) {
  return {Credential::State::Present, organisations::digestOf(Text)};
}

} // namespace

TEST_CASE("Without organisations nobody needs a key or a proof") {
  const organisations::AccessControl Access(RevocationTime);
  const organisations::AccessDecision Decision =
      Access.decide(nullptr, false, key("key-1"), Start);
  CHECK(Decision.m_Outcome == Outcome::Allowed);
  CHECK_FALSE(Decision.m_Organisation);
}

TEST_CASE("A key opens routes for its organisation") {
  const organisations::OrganisationTable Table = table();
  const organisations::AccessControl Access{model::Duration(0)};
  const organisations::AccessDecision Decision =
      Access.decide(&Table, false, key("key-1"), Start);
  CHECK(Decision.m_Outcome == Outcome::Allowed);
  REQUIRE(Decision.m_Organisation);
  CHECK(Decision.m_Organisation->m_Name == "lab");
  for (const Credential &Other :
       {Credential{}, Credential{Credential::State::Unreadable, {}},
        key("key-2")}) {
    CHECK(Access.decide(&Table, false, Other, Start).m_Outcome ==
          Outcome::Refused);
    const organisations::AccessDecision Open =
        Access.decide(&Table, true, Other, Start);
    CHECK(Open.m_Outcome == Outcome::Allowed);
    CHECK_FALSE(Open.m_Organisation);
  }
  CHECK(Access.decide(&Table, true, key("key-1"), Start).m_Organisation);
}

TEST_CASE("Without the needed proof, no key is decided on") {
  const organisations::OrganisationTable Table = table();
  organisations::AccessControl Access(RevocationTime);
  for (const Credential &Each : {Credential{}, key("key-1"), key("key-2")})
    CHECK(Access.decide(&Table, false, Each, Start).m_Outcome ==
          Outcome::Unproven);
  CHECK(Access.decide(&Table, true, {}, Start).m_Outcome == Outcome::Allowed);
  CHECK(Access.decide(&Table, true, key("key-1"), Start).m_Outcome ==
        Outcome::Unproven);
  Access.onConfirmed(Start);
  const model::TimePoint Last = Start + std::chrono::milliseconds(3999);
  CHECK(Access.decide(&Table, false, key("key-1"), Last).m_Outcome ==
        Outcome::Allowed);
  CHECK(Access.decide(&Table, false, key("key-2"), Last).m_Outcome ==
        Outcome::Refused);
  CHECK(Access
            .decide(&Table, false, key("key-1"),
                    Last + std::chrono::milliseconds(1))
            .m_Outcome == Outcome::Unproven);
}

TEST_CASE("What another node tells of a request counts for its configuration") {
  const organisations::OrganisationTable Table = table();
  organisations::AccessControl Access(RevocationTime);
  Access.onConfirmed(Start);
  const auto Decide = [&](const organisations::OrganisationTable *Of,
                          bool IsOpen, std::optional<std::string> Name,
                          bool IsSame, model::TimePoint At) {
    return Access.decideForwarded(Of, IsOpen, Name, IsSame, At).m_Outcome;
  };
  CHECK(Decide(nullptr, false, std::nullopt, true, Start) == Outcome::Allowed);
  CHECK(Decide(&Table, false, "lab", true, Start) == Outcome::Allowed);
  CHECK(Decide(&Table, true, "", true, Start) == Outcome::Allowed);
  CHECK(Decide(&Table, false, "lab", false, Start) == Outcome::Disagreed);
  CHECK(Decide(&Table, false, "mill", true, Start) == Outcome::Disagreed);
  CHECK(Decide(&Table, false, "", true, Start) == Outcome::Disagreed);
  CHECK(Decide(&Table, false, std::nullopt, true, Start) == Outcome::Disagreed);
  CHECK(Decide(nullptr, false, "lab", true, Start) == Outcome::Disagreed);
  CHECK(Decide(&Table, false, "lab", true, Start + RevocationTime) ==
        Outcome::Unproven);
}

} // namespace bronzepass::unit_tests
