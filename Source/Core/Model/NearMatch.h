#ifndef BRONZEPASS_CORE_MODEL_NEARMATCH_H
#define BRONZEPASS_CORE_MODEL_NEARMATCH_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzepass::core::model {

/// The candidate that \p Word was most likely meant to be: the one with the
/// smallest edit distance, if that is at most a third of the candidate's length
/// (at least one edit is allowed).
std::optional<std::string>
nearMatch(std::string_view Word, const std::vector<std::string> &Candidates);

/// " (did you mean 'X'?)", or nothing where no candidate is near.
std::string nearMatchHint(std::string_view Word,
                          const std::vector<std::string> &Candidates);

} // namespace bronzepass::core::model

#endif // BRONZEPASS_CORE_MODEL_NEARMATCH_H
