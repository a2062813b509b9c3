#include "bench/allocation_counter.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> allocationCount{0};

}  // namespace

void* operator new(std::size_t size) {
  ++allocationCount;
  if (void* block = std::malloc(size)) {
    return block;
  }
  throw std::bad_alloc();
}
void operator delete(void* block) noexcept { std::free(block); }
void operator delete(void* block, std::size_t) noexcept { std::free(block); }

namespace cobaltgauge::bench {

std::uint64_t allocations() { return allocationCount; }

void reportAllocations(benchmark::State& state, std::uint64_t before) {
  state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations() - before),
                                                     benchmark::Counter::kAvgIterations);
}

}  // namespace cobaltgauge::bench
