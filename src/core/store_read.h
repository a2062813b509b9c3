/// @file
/// Read requests to the configuration store and their results.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "core/listing_plan.h"
#include "core/registration.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// One read request.
struct StoreRead {
  enum class Kind : std::uint8_t { kList, kWatch };
  /// Why the read is made; for logs and metrics.
  enum class Cause : std::uint8_t {
    kFirstListing,  ///< The daemon has no view.
    kNextPage,      ///< Continues a listing.
    kRelist,        ///< The store no longer has the history that the watch needs.
    kCatchUp,       ///< Brings a stale listing up to date.
    kGap,           ///< A peer announced changes that only the store can supply.
    kRetry,         ///< The last read failed.
    kConfirm,       ///< After a lost watch or a suspension, when changes may have been missed.
    kFollowStore,   ///< Regular watch for this daemon and its followers.
    kMissingPage,   ///< Backfills backends that the view in use lacks.
  };
  Kind kind = Kind::kList;
  Cause cause = Cause::kFirstListing;
  ListingRange range{};  ///< Listing: the items to read.
  bool stale = false;    ///< Listing: a response that is seconds old is acceptable.
  std::string afterKey;  ///< Listing: the page starts after this key; empty for the first page.
  Revision afterRevision = 0;         ///< Watch: only changes after this revision.
  std::chrono::milliseconds wait{0};  ///< Watch: how long the store may wait for a change.
  Duration timeout{};                 ///< Abandon the read after this time.
};

enum class ReadOutcome : std::uint8_t {
  kSucceeded,
  kHistoryGone,     ///< The watch starts before the history that the store keeps.
  kThrottled,       ///< Too many reads.
  kUnavailable,     ///< The store reported that the request was not executed.
  kTimedOut,        ///< No response in time.
  kConnectionLost,  ///< Refused, reset or closed.
  kMalformed,       ///< The response as a whole cannot be parsed.
  kTooLarge,        ///< The response has more bytes than a daemon accepts.
  kOutdatedEra,     ///< The response is of an earlier era than one seen before.
};

const char* toString(ReadOutcome outcome);
const char* toString(StoreRead::Cause cause);

/// The result of a read.
struct StoreReply {
  ReadOutcome outcome = ReadOutcome::kSucceeded;
  std::string reason;     ///< Of a failure.
  Revision revision = 0;  ///< The store's revision; for a failure only its era is set.
  bool hasMore = false;
  std::string lastKey;  ///< Of a listing page; the next page starts after this key.
  std::vector<StoreChange> changes;
};

}  // namespace cobaltgauge::core
