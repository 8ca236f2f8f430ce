#ifndef BRONZEPASS_UNITTESTS_CROWD_VERDICT_H
#define BRONZEPASS_UNITTESTS_CROWD_VERDICT_H

#include <iostream>
#include <string>

namespace bronzepass::unit_tests::crowd {

/// Prints checks as they are made.
class Verdict {
public:
  void check(bool Holds, const std::string &What) {
    std::cerr << (Holds ? "holds: " : "FAILS: ") << What << std::endl;
    m_Failed = m_Failed || !Holds;
  }
  bool hasFailed() const { return m_Failed; }

private:
  bool m_Failed = false;
};

} // namespace bronzepass::unit_tests::crowd

#endif // BRONZEPASS_UNITTESTS_CROWD_VERDICT_H
