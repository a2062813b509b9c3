#include "core/maglev_table.h"

#include <algorithm>

#include "core/constants.h"
#include "core/hashing.h"

namespace cobaltgauge::core {
namespace {

/// Iterates over one backend's permutation of the buckets. The table size is a power of two, so any
/// odd skip visits every bucket; the paper uses a prime table size instead.
class Permutation {
 public:
  explicit Permutation(const WeightedBackend& backend)
      : backend_(backend.id), weight_(backend.weight) {
    const auto identity = static_cast<std::uint64_t>(backend.id);
    position_ = mixHash(identity, 1) % kBucketCount;
    skip_ = (mixHash(identity, 2) % kBucketCount) | 1U;
  }

  /// Claims the next free bucket of the permutation.
  void claim(std::vector<BackendId>& table) {
    while (table[position_] != kNoBackend) {
      position_ = (position_ + skip_) % kBucketCount;
    }
    table[position_] = backend_;
  }

  /// Adds one round's credit. @return true if the backend may claim a bucket in this round.
  bool addCredit(std::uint32_t largestWeight) {
    credit_ += weight_;
    if (credit_ < largestWeight) {
      return false;
    }
    credit_ -= largestWeight;
    return true;
  }

 private:
  BackendId backend_;
  std::uint64_t weight_;
  std::uint64_t credit_ = 0;
  std::size_t position_ = 0;
  std::size_t skip_ = 1;
};

}  // namespace

std::vector<BackendId> buildMaglevTable(std::vector<WeightedBackend> backends) {
  std::vector<BackendId> table(kBucketCount, kNoBackend);
  std::erase_if(backends, [](const WeightedBackend& backend) { return backend.weight == 0; });
  if (backends.empty()) {
    return table;
  }
  std::sort(backends.begin(), backends.end(),
            [](const WeightedBackend& a, const WeightedBackend& b) { return a.id < b.id; });
  std::uint32_t largestWeight = 0;
  std::vector<Permutation> permutations;
  permutations.reserve(backends.size());
  for (const WeightedBackend& backend : backends) {
    largestWeight = std::max(largestWeight, backend.weight);
    permutations.emplace_back(backend);
  }
  std::size_t filled = 0;
  while (filled < kBucketCount) {
    for (Permutation& permutation : permutations) {
      if (filled < kBucketCount && permutation.addCredit(largestWeight)) {
        permutation.claim(table);
        ++filled;
      }
    }
  }
  return table;
}

}  // namespace cobaltgauge::core
