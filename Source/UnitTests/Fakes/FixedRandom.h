#ifndef BRONZEPASS_UNITTESTS_FAKES_FIXEDRANDOM_H
#define BRONZEPASS_UNITTESTS_FAKES_FIXEDRANDOM_H

#include "Core/Ports/Ports.h"

#include <random>

namespace bronzepass::unit_tests::fakes {

/// A random generator that returns the same numbers for the same seed.
class FixedRandom : public core::ports::Random {
public:
  explicit FixedRandom(uint64_t Seed) : m_Engine(Seed) {}

  uint64_t next() override { return m_Engine(); }

private:
  std::mt19937_64 m_Engine;
};

} // namespace bronzepass::unit_tests::fakes

#endif // BRONZEPASS_UNITTESTS_FAKES_FIXEDRANDOM_H
