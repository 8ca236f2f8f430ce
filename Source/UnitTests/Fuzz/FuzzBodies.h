#ifndef BRONZEPASS_UNITTESTS_FUZZ_FUZZBODIES_H
#define BRONZEPASS_UNITTESTS_FUZZ_FUZZBODIES_H

#include <string>
#include <string_view>
#include <vector>

namespace bronzepass::unit_tests::fuzz {

/// A parser of untrusted input under test: a body that must terminate on any
/// bytes, and seed inputs. The body returns whether it accepted the bytes, and
/// aborts if an accepted value doesn't survive an encode and decode round trip.
struct FuzzTarget {
  std::string m_Name;
  bool (*m_Body)(std::string_view Bytes);
  std::vector<std::string> m_Seeds;
};

/// All targets, in a fixed order.
std::vector<FuzzTarget> fuzzTargets();

/// The target called \p Name; aborts if there is none.
FuzzTarget fuzzTarget(std::string_view Name);

} // namespace bronzepass::unit_tests::fuzz

#endif // BRONZEPASS_UNITTESTS_FUZZ_FUZZBODIES_H
