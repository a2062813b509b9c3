/// @file
/// Selects the items that a listing of the store reads, and their order.
///
/// The cost of full listings grows with daemons times backends. A sampled listing reads routes,
/// evacuations and the backends of one random partition of the key space, which suffices for new
/// flows, costs each daemon the same for any number of backends and covers all backends evenly over
/// the fleet. If the partition holds too few backends, the plan widens to a larger partition or to
/// all.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace cobaltgauge::core {

/// Number of equal partitions of the backend key space: the fine ones that a sampled listing starts
/// with, and the coarse ones used if these hold too few backends.
inline constexpr std::uint32_t kFinePartitions = 256;
inline constexpr std::uint32_t kCoarsePartitions = 16;

/// Items that one read of a listing covers.
struct ListingRange {
  enum class Kind : std::uint8_t {
    kEverything,
    kOperators,         ///< Routes and evacuations.
    kBackends,          ///< All backends.
    kBackendPartition,  ///< Backends with keys in one of `partitions`.
  };
  Kind kind = Kind::kEverything;
  std::uint32_t partitions = 1;  ///< kFinePartitions or kCoarsePartitions.
  std::uint32_t partition = 0;   ///< Less than `partitions`; in the order of keys.

  bool operator==(const ListingRange&) const = default;
};

const char* toString(ListingRange::Kind kind);

class ListingPlan {
 public:
  /// Starts a listing. @param sampleSeed selects the fine partition, modulo kFinePartitions; if
  /// empty, everything is listed.
  void begin(std::optional<std::uint32_t> sampleSeed);

  /// @return the range of the next read.
  const ListingRange& range() const { return range_; }
  /// @return the key after which the next page of the range starts; empty for the first page.
  const std::string& afterKey() const { return afterKey_; }

  /// Processes a page of the range. @return true if the listing is complete.
  bool onPage(std::size_t items, bool hasMore, const std::string& lastKey);

  /// @return true if a page was processed since begin().
  bool hasStarted() const { return started_; }
  /// @return true if a complete listing has covered all backends.
  bool coversAllBackends() const {
    return range_.kind == ListingRange::Kind::kEverything ||
           range_.kind == ListingRange::Kind::kBackends;
  }

 private:
  void startRange(const ListingRange& range);
  /// @return true if the current partition holds enough backends.
  bool widen();

  std::uint32_t finePartition_ = 0;
  ListingRange range_;
  std::string afterKey_;
  std::size_t itemsInRange_ = 0;
  bool started_ = false;
};

}  // namespace cobaltgauge::core
