/// @file
/// Reads of the configuration store, and what they give.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "core/listing_plan.h"
#include "core/registration.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// One read to be made.
struct StoreRead {
  enum class Kind : std::uint8_t { kList, kWatch };
  /// Why it is made, for logs and metrics; each read costs the store.
  enum class Cause : std::uint8_t {
    kFirstListing,  ///< This daemon has no view.
    kNextPage,      ///< A listing goes on.
    kRelist,        ///< The store dropped the history that a watch would need.
    kCatchUp,       ///< A stale listing is to be brought up to date.
    kGap,           ///< A peer told of changes that only the store can give.
    kRetry,         ///< The last read failed.
    kConfirm,       ///< What a lost read missed is not known, or a suspension is over.
    kFollowStore,   ///< This daemon reads for itself and its followers.
    kMissingPage,   ///< A view that is in use lacks back ends.
  };
  Kind kind = Kind::kList;
  Cause cause = Cause::kFirstListing;
  ListingRange range{};        ///< Listing: the items that are read.
  bool stale = false;          ///< Listing: an answer that is seconds old will do.
  std::string afterKey;        ///< Listing: the page begins after this key; empty for the first.
  Revision afterRevision = 0;  ///< Watch: only changes after this revision.
  std::chrono::milliseconds wait{0};  ///< Watch: how long the store may wait for a change.
  Duration timeout{};                 ///< When to give the read up.
};

enum class ReadOutcome : std::uint8_t {
  kAnswered,
  kHistoryGone,     ///< The watch begins before the history that the store kept.
  kThrottled,       ///< Too many reads.
  kUnavailable,     ///< The store said that nothing was done.
  kTimedOut,        ///< No answer in time.
  kConnectionLost,  ///< Refused, reset or closed.
  kMalformed,       ///< The answer cannot be understood as a whole.
  kOutdatedEra,     ///< An older copy of the store than one that has answered before.
};

const char* toString(ReadOutcome outcome);
const char* toString(StoreRead::Cause cause);

/// What a read gave.
struct StoreReply {
  ReadOutcome outcome = ReadOutcome::kAnswered;
  std::string reason;     ///< Of a failure.
  Revision revision = 0;  ///< The store's revision; of a failure its era alone.
  bool hasMore = false;
  std::string lastKey;  ///< Of a listing's page; the next one begins after it.
  std::vector<StoreChange> changes;
};

}  // namespace cobaltgauge::core
