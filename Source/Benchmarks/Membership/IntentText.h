#ifndef BRONZEPASS_BENCHMARKS_MEMBERSHIP_INTENTTEXT_H
#define BRONZEPASS_BENCHMARKS_MEMBERSHIP_INTENTTEXT_H

#include <string>

namespace bronzepass::benchmarks::membership {

/// Generates an intent in YAML with \p Models models on \p Engines engines in
/// pools of at most 120; \p Edit changes one line.
std::string intentText(int Models, int Engines, int Edit);

} // namespace bronzepass::benchmarks::membership

#endif // BRONZEPASS_BENCHMARKS_MEMBERSHIP_INTENTTEXT_H
