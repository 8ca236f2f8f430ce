#include "Core/Model/Intent.h"

#include <algorithm>

namespace bronzepass::core::model {

bool LabelMatch::matches(const LabelMap &Labels) const {
  return std::all_of(m_Labels.begin(), m_Labels.end(),
                     [&Labels](const LabelMap::value_type &Required) {
                       auto Found = Labels.find(Required.first);
                       return Found != Labels.end() &&
                              Found->second == Required.second;
                     });
}

bool mayUse(const Intent &Value, const LabelMap &CallerLabels,
            const LabelMap &ModelLabels) {
  bool Allowed = true;
  for (const SelectorSpec &Selector : Value.m_Selectors) {
    if (Selector.m_Action != SelectorAction::Allow &&
        Selector.m_Action != SelectorAction::Deny)
      continue;
    if (!Selector.m_Callers.matches(CallerLabels) ||
        !Selector.m_Models.matches(ModelLabels))
      continue;
    Allowed = Selector.m_Action == SelectorAction::Allow;
  }
  return Allowed;
}

} // namespace bronzepass::core::model
