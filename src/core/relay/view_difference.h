/// @file
/// What a view lacks, read from a later view rather than from a log of
/// changes.
///
/// The log of changes is bounded and empty after a listing that replaced a
/// lost history.  Each of 985 followers then listed 10,000 back ends for
/// itself, 20,000 reads that took the store 16 s.  A view remembers the
/// revision of each item, and those that departed for as long as a flow of
/// theirs can live: that is a log without duplicates.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/backend_registry.h"
#include "core/constants.h"
#include "core/relay/change_log.h"
#include "core/route_table.h"

namespace cobaltgauge::core {

/// Items of one part of a difference, about 50 bytes each: as many as a log
/// holds.
inline constexpr std::size_t kHeaviestDifference = kMaxLogItems;
/// Routes that are told to followers at most, about 90 bytes each: more than
/// 45 KB to each of 32 followers would hold up callers' packets on a link of
/// 20 Mbit/s for longer than half a second.  Each daemon reads a larger set.
inline constexpr std::size_t kMostRoutesTold = 512;

/** \class ViewDifference
 * \brief Compare a view with an earlier revision of the store.
 */
class ViewDifference
{
public:
  /// \param backends, routes of the view; outlive this.
  ViewDifference(const BackendRegistry& backends, const RouteTable& routes)
    : Backends(backends)
    , Routes(routes)
  {
  }

  /// Get what a view complete up to `have` lacks, in the order of revisions.
  /// Back ends that a listing found gone come first: at which revision they
  /// went is not known, and who got a part may go on with another daemon,
  /// which knows and has told it before.
  /// \param complete up to where this view is complete, and whole.
  /// \return nothing where departures since then have been forgotten, or
  /// where more than kMostRoutesTold routes would have to be told.
  std::optional<ChangeExcerpt> Since(Revision have, Revision complete);

  /// Get how many pages of the store the view fills.
  std::size_t CountPages() const
  {
    return 1 + this->Backends.size() / kStorePageItems;
  }

private:
  /// The changes since a revision, in order.  Followers that lack much ask
  /// for part after part at the same time: 32 of them would have a hub look
  /// through 10,000 back ends 320 times.
  struct Ordered
  {
    bool IsValid = false;
    std::uint64_t Generation = 0; ///< Of the back ends it was made from.
    Revision From = 0;
    std::vector<StoreChange> Undated;
    std::vector<StoreChange> Dated;
  };

  void Order(Revision have);
  /// Get the versions of the routes after `have`, as what each changed where
  /// that is remembered: a whole set of 250 routes is 25 KB, for each of a
  /// thousand daemons that ask three seeds.
  /// \return nothing where they are too many.
  std::optional<std::vector<StoreChange>> GetRoutesSince(Revision have) const;

  const BackendRegistry& Backends;
  const RouteTable& Routes;
  Ordered Cached;
};

} // namespace cobaltgauge::core
