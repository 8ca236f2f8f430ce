#ifndef BRONZEPASS_CORE_MODEL_DECISION_H
#define BRONZEPASS_CORE_MODEL_DECISION_H

#include <compare>
#include <string>
#include <vector>

namespace bronzepass::core::model {

/// Log category of the subsystem that decided.
enum class DecisionKind { Routing, Placement, Membership, Claims, Intent };

/// A candidate that was passed over, with its score and why.
struct RunnerUp {
  std::string m_Name;
  std::string m_Why;

  friend auto operator<=>(const RunnerUp &, const RunnerUp &) = default;
};

/// One line of the decision log.
struct Decision {
  DecisionKind m_Kind = DecisionKind::Routing;
  /// What was decided about: a request, an artifact, a lease.
  std::string m_Subject;
  /// What was done, one word: "route", "refuse", "load", "acquire".
  std::string m_Action;
  /// The endpoint or node chosen, empty where none was.
  std::string m_Chosen;
  std::vector<RunnerUp> m_RunnersUp;
  std::string m_Reason;

  friend auto operator<=>(const Decision &, const Decision &) = default;
};

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_DECISION_H
