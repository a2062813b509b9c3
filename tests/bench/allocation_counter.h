/// @file
/// Counts the allocations of a benchmark. Replaces operator new of the whole program.
#pragma once

#include <benchmark/benchmark.h>

#include <cstdint>

namespace cobaltgauge::bench {

/// @return allocations of the program so far.
std::uint64_t allocations();

/// Reports the allocations of one iteration. @param before allocations() ahead of the first one.
void reportAllocations(benchmark::State& state, std::uint64_t before);

}  // namespace cobaltgauge::bench
