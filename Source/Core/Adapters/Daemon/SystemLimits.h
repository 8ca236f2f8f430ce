#ifndef BRONZEPASS_CORE_ADAPTERS_DAEMON_SYSTEMLIMITS_H
#define BRONZEPASS_CORE_ADAPTERS_DAEMON_SYSTEMLIMITS_H

#include <cstdint>

namespace bronzepass::core::adapters::daemon {

/// Memory of the machine, or the process's limit if that is less.
uint64_t systemMemoryBytes();
/// Descriptors that this process may open.
uint64_t systemDescriptors();
/// Lets the allocator give blocks of the size of large bodies back to the
/// system as soon as they are freed.
void returnLargeBlocks();

} // namespace bronzepass::core::adapters::daemon

#endif // BRONZEPASS_CORE_ADAPTERS_DAEMON_SYSTEMLIMITS_H
