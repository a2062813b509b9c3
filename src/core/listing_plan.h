/// @file
/// Which items a listing of the store reads, and in which order.
///
/// A whole listing costs daemons times back ends: 985 daemons that start together and read 10,000
/// back ends of 200 bytes each keep a link of 1,000 Mbit/s busy for 16 s. A sampled listing reads
/// what operators wrote and the back ends of one part of all keys, drawn by each daemon for itself.
/// That is enough for new flows, costs each daemon the same whatever the number of back ends, and
/// covers all back ends evenly over the fleet. Where the parts turn out to hold too few, the plan
/// widens, in the end to all.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace cobaltgauge::core {

/// Parts of the keys of back ends, alike in size: the finest that a sampled listing begins with,
/// and the coarse ones that it goes on with.
inline constexpr std::uint32_t kFinePartitions = 256;
inline constexpr std::uint32_t kCoarsePartitions = 16;

/// Items that one read of a listing covers.
struct ListingRange {
  enum class Kind : std::uint8_t {
    kEverything,
    kOperators,         ///< Routes and evacuations.
    kBackends,          ///< All back ends.
    kBackendPartition,  ///< Back ends whose keys lie in one part of `parts`.
  };
  Kind kind = Kind::kEverything;
  std::uint32_t partitions = 1;  ///< kFinePartitions or kCoarsePartitions.
  std::uint32_t partition = 0;   ///< Below `parts`, in the order of keys.

  bool operator==(const ListingRange&) const = default;
};

const char* toString(ListingRange::Kind kind);

class ListingPlan {
 public:
  /// Begins a listing. @param sampleSeed of this daemon, whose remainder by kFinePartitions names
  /// its part; none: everything is listed.
  void begin(std::optional<std::uint32_t> sampleSeed);

  /// @return what the next read covers.
  const ListingRange& range() const { return range_; }
  /// @return the key after which the next page of the range begins; empty for its first.
  const std::string& afterKey() const { return afterKey_; }

  /// Takes a page of the range. @return true where the listing is done.
  bool onPage(std::size_t items, bool hasMore, const std::string& lastKey);

  /// @return true where a page was taken since begin().
  bool hasStarted() const { return started_; }
  /// @return true where a listing that is done has covered everything.
  bool coversAllBackends() const {
    return range_.kind == ListingRange::Kind::kEverything ||
           range_.kind == ListingRange::Kind::kBackends;
  }

 private:
  void startRange(const ListingRange& range);
  /// @return true where a part that is read suffices.
  bool widen();

  std::uint32_t finePartition_ = 0;
  ListingRange range_;
  std::string afterKey_;
  std::size_t itemsInRange_ = 0;
  bool started_ = false;
};

}  // namespace cobaltgauge::core
