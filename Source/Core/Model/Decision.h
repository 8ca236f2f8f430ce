#ifndef BRONZEPASS_CORE_MODEL_DECISION_H
#define BRONZEPASS_CORE_MODEL_DECISION_H

#include <compare>
#include <string>
#include <vector>

namespace bronzepass::core::model {

/// The subsystem that made a decision, which is its log category.
enum class DecisionKind { Routing, Placement, Membership, Claims, Intent };

/// A candidate that was not chosen, with its score and the reason.
struct RunnerUp {
  std::string m_Name;
  std::string m_Why;

  friend auto operator<=>(const RunnerUp &, const RunnerUp &) = default;
};

/// One line of the decision log.
struct Decision {
  DecisionKind m_Kind = DecisionKind::Routing;
  /// What the decision concerns: a request, an artifact or a lease.
  std::string m_Subject;
  /// The action taken, in one word: "route", "refuse", "load", "acquire".
  std::string m_Action;
  /// The chosen endpoint or node; empty if none was chosen.
  std::string m_Chosen;
  std::vector<RunnerUp> m_RunnersUp;
  std::string m_Reason;

  friend auto operator<=>(const Decision &, const Decision &) = default;
};

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_DECISION_H
