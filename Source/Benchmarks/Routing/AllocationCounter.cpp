#include "Benchmarks/Routing/AllocationCounter.h"

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::atomic<uint64_t> Allocations = 0;
std::atomic<int64_t> AllocatedBytes = 0;

void release(void *Memory) {
  AllocatedBytes -= static_cast<int64_t>(malloc_usable_size(Memory));
  std::free(Memory);
}

} // namespace

void *operator new(size_t Size) {
  void *Memory = std::malloc(Size);
  if (Memory == nullptr)
    std::abort();
  ++Allocations;
  AllocatedBytes += static_cast<int64_t>(malloc_usable_size(Memory));
  return Memory;
}

void operator delete(void *Memory) noexcept { release(Memory); }

void operator delete(void *Memory, size_t /*Size*/) noexcept {
  release(Memory);
}

namespace bronzepass::benchmarks::routing {

uint64_t allocationCount() { return Allocations; }

int64_t allocatedBytes() { return AllocatedBytes; }

} // namespace bronzepass::benchmarks::routing
