#include "core/listing_plan.h"

#include "core/constants.h"

namespace cobaltgauge::core {
namespace {

/// Minimum number of backends in a sample: as many as one placement compares.
constexpr std::size_t kMinSampleSize = kPlacementLooks;
constexpr std::uint32_t kFinePartitionsPerCoarse = kFinePartitions / kCoarsePartitions;

}  // namespace

const char* toString(ListingRange::Kind kind) {
  switch (kind) {
    case ListingRange::Kind::kEverything:
      return "everything";
    case ListingRange::Kind::kOperators:
      return "operators";
    case ListingRange::Kind::kBackends:
      return "backends";
    case ListingRange::Kind::kBackendPartition:
      return "backends_part";
  }
  return "invalid";
}

void ListingPlan::begin(std::optional<std::uint32_t> sampleSeed) {
  finePartition_ = sampleSeed.value_or(0) % kFinePartitions;
  startRange({sampleSeed ? ListingRange::Kind::kOperators : ListingRange::Kind::kEverything});
  started_ = false;
}

void ListingPlan::startRange(const ListingRange& range) {
  range_ = range;
  afterKey_.clear();
  itemsInRange_ = 0;
}

bool ListingPlan::onPage(std::size_t items, bool hasMore, const std::string& lastKey) {
  started_ = true;
  itemsInRange_ += items;
  if (hasMore && !lastKey.empty()) {
    afterKey_ = lastKey;
    // One page of a partition is enough for a sample.
    return range_.kind == ListingRange::Kind::kBackendPartition && itemsInRange_ >= kMinSampleSize;
  }
  if (range_.kind == ListingRange::Kind::kOperators) {
    startRange({ListingRange::Kind::kBackendPartition, kFinePartitions, finePartition_});
    return false;
  }
  return range_.kind != ListingRange::Kind::kBackendPartition || widen();
}

bool ListingPlan::widen() {
  if (itemsInRange_ >= kMinSampleSize) {
    return true;
  }
  // Skips the coarse partition if it would hold too few backends as well.
  const bool isCoarseSufficient = range_.partitions == kFinePartitions &&
                                  itemsInRange_ * kFinePartitionsPerCoarse >= kMinSampleSize;
  if (isCoarseSufficient) {
    startRange({ListingRange::Kind::kBackendPartition, kCoarsePartitions,
                finePartition_ / kFinePartitionsPerCoarse});
  } else {
    startRange({ListingRange::Kind::kBackends});
  }
  return false;
}

}  // namespace cobaltgauge::core
