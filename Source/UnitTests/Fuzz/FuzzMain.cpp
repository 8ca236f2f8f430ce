#include "UnitTests/Fuzz/FuzzBodies.h"

#include <cstddef>
#include <cstdint>

#ifndef BRONZEPASS_FUZZ_TARGET
#define BRONZEPASS_FUZZ_TARGET "peer-message"
#endif

using namespace bronzepass::unit_tests::fuzz;

/// Entry point that libFuzzer calls. The build defines the target's name.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, // NOLINT
                                      size_t Size) {
  static const FuzzTarget Target = fuzzTarget(BRONZEPASS_FUZZ_TARGET);
  Target.m_Body({reinterpret_cast<const char *>(Data), Size});
  return 0;
}
