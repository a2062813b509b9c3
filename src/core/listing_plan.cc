#include "core/listing_plan.h"

#include "core/constants.h"

namespace cobaltgauge::core {
namespace {

/// Back ends that a sample holds at least: as many as one opening compares.
constexpr std::size_t kLeastSample = kPlacementSampleSize;
constexpr std::uint32_t kFinePerCoarse = kFineParts / kCoarseParts;

}  // namespace

const char* toString(ListingRange::Kind kind) {
  switch (kind) {
    case ListingRange::Kind::kEverything:
      return "everything";
    case ListingRange::Kind::kOperators:
      return "operators";
    case ListingRange::Kind::kBackends:
      return "backends";
    case ListingRange::Kind::kBackendsPart:
      return "backends_part";
  }
  return "invalid";
}

void ListingPlan::begin(std::optional<std::uint32_t> place) {
  place_ = place.value_or(0) % kFineParts;
  goOn({place ? ListingRange::Kind::kOperators : ListingRange::Kind::kEverything});
  begun_ = false;
}

void ListingPlan::goOn(const ListingRange& range) {
  range_ = range;
  afterKey_.clear();
  itemsInRange_ = 0;
}

bool ListingPlan::onPage(std::size_t items, bool hasMore, const std::string& lastKey) {
  begun_ = true;
  itemsInRange_ += items;
  if (hasMore && !lastKey.empty()) {
    afterKey_ = lastKey;
    // One page of a part is a sample as well.
    return range_.kind == ListingRange::Kind::kBackendsPart && itemsInRange_ >= kLeastSample;
  }
  if (range_.kind == ListingRange::Kind::kOperators) {
    goOn({ListingRange::Kind::kBackendsPart, kFineParts, place_});
    return false;
  }
  return range_.kind != ListingRange::Kind::kBackendsPart || widen();
}

bool ListingPlan::widen() {
  if (itemsInRange_ >= kLeastSample) {
    return true;
  }
  // A coarse part is not tried where it would hold too few as well.
  const bool coarseWillDo =
      range_.parts == kFineParts && itemsInRange_ * kFinePerCoarse >= kLeastSample;
  if (coarseWillDo) {
    goOn({ListingRange::Kind::kBackendsPart, kCoarseParts, place_ / kFinePerCoarse});
  } else {
    goOn({ListingRange::Kind::kBackends});
  }
  return false;
}

}  // namespace cobaltgauge::core
