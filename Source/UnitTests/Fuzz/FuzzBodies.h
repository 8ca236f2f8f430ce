#ifndef BRONZEPASS_UNITTESTS_FUZZ_FUZZBODIES_H
#define BRONZEPASS_UNITTESTS_FUZZ_FUZZBODIES_H

#include <string>
#include <string_view>
#include <vector>

namespace bronzepass::unit_tests::fuzz {

/// One reader of bytes from outside: a body that must come to an end on any
/// bytes, and inputs to start from. A body returns whether it took the bytes
/// for good, and ends the process where what it took does not read back equal.
struct FuzzTarget {
  std::string m_Name;
  bool (*m_Body)(std::string_view Bytes);
  std::vector<std::string> m_Seeds;
};

/// All targets, in a fixed order.
std::vector<FuzzTarget> fuzzTargets();

/// The target called \p Name; ends the process where there is none.
FuzzTarget fuzzTarget(std::string_view Name);

} // namespace bronzepass::unit_tests::fuzz

#endif // BRONZEPASS_UNITTESTS_FUZZ_FUZZBODIES_H
