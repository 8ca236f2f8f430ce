#include "Core/Model/Intent.h"
#include "Core/Model/Finding.h"
#include "Core/Ports/Effect.h"
#include "Core/Ports/Event.h"
#include "Core/Ports/Ports.h"

#include <doctest/doctest.h>

namespace bronzepass::core::model {

TEST_CASE("the last matching selector decides who may use a model") {
  Intent Value;
  Value.m_Selectors.push_back(
      {.m_Name = "nobody", .m_Action = SelectorAction::Deny});
  Value.m_Selectors.push_back({.m_Name = "crews",
                               .m_Action = SelectorAction::Allow,
                               .m_Callers = {{{"team", "crew"}}},
                               .m_Models = {{{"use", "gas"}}}});
  CHECK(mayUse(Value, {{"team", "crew"}}, {{"use", "gas"}}));
  CHECK_FALSE(mayUse(Value, {{"team", "board"}}, {{"use", "gas"}}));
  CHECK_FALSE(mayUse(Value, {{"team", "crew"}}, {{"use", "board"}}));
}

TEST_CASE("a finding is formatted like a compiler diagnostic") {
  Finding Value{Severity::Error, {"intent.yaml", 3, 7}, "unknown key 'modls'"};
  CHECK(toString(Value) == "intent.yaml:3:7: error: unknown key 'modls'");
}

} // namespace bronzepass::core::model
