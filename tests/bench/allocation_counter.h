/// @file
/// Counts allocations in benchmarks. Replaces the global operator new of the program.
#pragma once

#include <benchmark/benchmark.h>

#include <cstdint>

namespace cobaltgauge::bench {

/// @return the number of allocations of the program so far.
std::uint64_t allocations();

/// Reports the allocations per iteration. @param before allocations() before the first iteration.
void reportAllocations(benchmark::State& state, std::uint64_t before);

}  // namespace cobaltgauge::bench
