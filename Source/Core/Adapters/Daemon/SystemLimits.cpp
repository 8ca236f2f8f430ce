#include "Core/Adapters/Daemon/SystemLimits.h"

#include <algorithm>
#include <fstream>
#include <malloc.h>
#include <string>
#include <sys/resource.h>

namespace bronzepass::core::adapters::daemon {

namespace {

/// Where the system reports nothing.
constexpr uint64_t UnknownMemoryBytes = 512ULL << 20;
constexpr uint64_t MaxDescriptors = 1 << 20;
/// glibc's own threshold, which would rise with the first large block freed.
constexpr int LargeBlockBytes = 128 << 10;

uint64_t softLimit(__rlimit_resource Resource) {
  rlimit Limit{};
  return ::getrlimit(Resource, &Limit) == 0 ? Limit.rlim_cur : RLIM_INFINITY;
}

} // namespace

uint64_t systemMemoryBytes() {
  uint64_t Bytes = UnknownMemoryBytes;
  std::ifstream File("/proc/meminfo");
  uint64_t Kibibytes = 0;
  for (std::string Name; File >> Name; File.ignore(1 << 10, '\n'))
    if (Name == "MemTotal:" && File >> Kibibytes)
      Bytes = Kibibytes << 10;
  return std::min<uint64_t>(Bytes, softLimit(RLIMIT_AS));
}

uint64_t systemDescriptors() {
  return std::min<uint64_t>(MaxDescriptors, softLimit(RLIMIT_NOFILE));
}

void returnLargeBlocks() { ::mallopt(M_MMAP_THRESHOLD, LargeBlockBytes); }

} // namespace bronzepass::core::adapters::daemon
