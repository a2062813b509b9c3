#include "core/store_read.h"

namespace cobaltgauge::core {

const char* toString(ReadOutcome outcome) {
  switch (outcome) {
    case ReadOutcome::kSucceeded:
      return "answered";
    case ReadOutcome::kHistoryGone:
      return "history_gone";
    case ReadOutcome::kThrottled:
      return "throttled";
    case ReadOutcome::kUnavailable:
      return "unavailable";
    case ReadOutcome::kTimedOut:
      return "timed_out";
    case ReadOutcome::kConnectionLost:
      return "connection_lost";
    case ReadOutcome::kMalformed:
      return "malformed";
    case ReadOutcome::kTooLarge:
      return "too_large";
    case ReadOutcome::kOutdatedEra:
      return "era_over";
  }
  return "invalid";
}

const char* toString(StoreRead::Cause cause) {
  switch (cause) {
    case StoreRead::Cause::kFirstListing:
      return "first_listing";
    case StoreRead::Cause::kNextPage:
      return "next_page";
    case StoreRead::Cause::kRelist:
      return "list_again";
    case StoreRead::Cause::kCatchUp:
      return "catch_up";
    case StoreRead::Cause::kGap:
      return "gap";
    case StoreRead::Cause::kRetry:
      return "retry";
    case StoreRead::Cause::kConfirm:
      return "confirm";
    case StoreRead::Cause::kFollowStore:
      return "follow_store";
    case StoreRead::Cause::kMissingPage:
      return "missing_page";
  }
  return "invalid";
}

}  // namespace cobaltgauge::core
