#include "Core/Model/NearMatch.h"

#include <algorithm>
#include <numeric>

namespace bronzepass::core::model {

namespace {

/// Levenshtein distance, computed one row at a time.
size_t editDistance(std::string_view From, std::string_view To) {
  std::vector<size_t> Row(To.size() + 1);
  std::iota(Row.begin(), Row.end(), size_t(0));
  for (size_t I = 1; I <= From.size(); ++I) {
    size_t Diagonal = Row[0];
    Row[0] = I;
    for (size_t J = 1; J <= To.size(); ++J) {
      const size_t Replace = Diagonal + (From[I - 1] == To[J - 1] ? 0 : 1);
      Diagonal = Row[J];
      Row[J] = std::min({Row[J] + 1, Row[J - 1] + 1, Replace});
    }
  }
  return Row.back();
}

} // namespace

std::optional<std::string>
nearMatch(std::string_view Word, const std::vector<std::string> &Candidates) {
  std::optional<std::string> Best;
  size_t BestDistance = 0;
  for (const std::string &Candidate : Candidates) {
    const size_t Distance = editDistance(Word, Candidate);
    const size_t Allowed = std::max<size_t>(1, (Candidate.size() + 1) / 3);
    if (Distance > Allowed || (Best && Distance >= BestDistance))
      continue;
    Best = Candidate;
    BestDistance = Distance;
  }
  return Best;
}

std::string nearMatchHint(std::string_view Word,
                          const std::vector<std::string> &Candidates) {
  const std::optional<std::string> Near = nearMatch(Word, Candidates);
  return Near ? " (did you mean '" + *Near + "'?)" : std::string();
}

} // namespace bronzepass::core::model
