#ifndef BRONZEPASS_CORE_MODEL_INTENTDIFF_H
#define BRONZEPASS_CORE_MODEL_INTENTDIFF_H

#include "Core/Model/Intent.h"

#include <compare>
#include <string>
#include <vector>

namespace bronzepass::core::model {

enum class ChangeKind { Added, Removed, Changed };

/// One entry of an intent that differs between two generations.
struct IntentChange {
  ChangeKind m_Kind = ChangeKind::Changed;
  /// Section of the intent file: "models", "endpoints".
  std::string m_Section;
  std::string m_Name;

  friend auto operator<=>(const IntentChange &, const IntentChange &) = default;
};

/// Changes from \p Before to \p After, in the order of the file's sections.
std::vector<IntentChange> diffIntents(const Intent &Before,
                                      const Intent &After);

/// For example "models: added gas-1; pools: changed interpretation". Names the
/// first few changes and counts the rest.
std::string summarize(const std::vector<IntentChange> &Changes);

/// "added", "removed" or "changed".
const char *toString(ChangeKind Value);

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_INTENTDIFF_H
