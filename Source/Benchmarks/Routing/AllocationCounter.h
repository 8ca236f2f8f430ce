#ifndef BRONZEPASS_BENCHMARKS_ROUTING_ALLOCATIONCOUNTER_H
#define BRONZEPASS_BENCHMARKS_ROUTING_ALLOCATIONCOUNTER_H

#include <cstdint>

namespace bronzepass::benchmarks::routing {

/// Number of calls of operator new in this program so far.
uint64_t allocationCount();
/// Bytes currently allocated through operator new, as rounded by the allocator.
int64_t allocatedBytes();

} // namespace bronzepass::benchmarks::routing

#endif // BRONZEPASS_BENCHMARKS_ROUTING_ALLOCATIONCOUNTER_H
