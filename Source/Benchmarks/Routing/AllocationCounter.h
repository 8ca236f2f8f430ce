#ifndef BRONZEPASS_BENCHMARKS_ROUTING_ALLOCATIONCOUNTER_H
#define BRONZEPASS_BENCHMARKS_ROUTING_ALLOCATIONCOUNTER_H

#include <cstdint>

namespace bronzepass::benchmarks::routing {

/// Calls of operator new in this program so far.
uint64_t allocationCount();
/// Bytes held through operator new now, as the allocator rounds them.
int64_t allocatedBytes();

} // namespace bronzepass::benchmarks::routing

#endif // BRONZEPASS_BENCHMARKS_ROUTING_ALLOCATIONCOUNTER_H
