/// @file
/// Computes the changes that an older view lacks from the current view instead
/// of the change log.
///
/// The change log is bounded, and empty after a listing that replaced a lost
/// history.  A view stores the revision of each item and keeps removed items
/// for as long as their flows may live, so it can update peers that would
/// otherwise all list the store again: 985 followers that list 10,000 backends
/// make 20,000 reads, which take the store 16 s.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/backend_registry.h"
#include "core/constants.h"
#include "core/relay/change_log.h"
#include "core/route_table.h"

namespace cobaltgauge::core {

/// Maximum number of backend changes in one part of a difference, about 50
/// bytes each.  Removals detected by a listing and changes of one revision are
/// not split.
inline constexpr std::size_t kMaxDifferenceItems = kMaxLogItems;
/// Maximum number of routes sent to followers, about 90 bytes each.  Larger
/// sets would delay packets on slow links, so each daemon reads them from the
/// store.  More than 45 KB for each of 32 followers occupy a link of 20 Mbit/s
/// for over half a second.
inline constexpr std::size_t kMaxRelayedRoutes = 512;

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

  /// Get the changes that a view complete up to `have` lacks, ordered by
  /// revision.  Removals that were detected by a listing come first: their
  /// revisions are unknown, and the recipient of a part may continue with
  /// another daemon that sent them before.
  /// \param complete revision up to which this full view is complete.
  /// \return nothing if removals since `have` were discarded, or if more than
  /// kMaxRelayedRoutes routes would have to be sent.
  std::optional<ChangeRange> Since(Revision have, Revision complete);

  /// Get the number of store pages that a listing of this view takes.
  std::size_t CountStorePages() const
  {
    return 1 + this->Backends.size() / kStorePageItems;
  }

private:
  /// The changes since a revision, in order.  Cached because many followers
  /// request successive parts at the same time.
  struct CachedChanges
  {
    bool IsValid = false;
    std::uint64_t Generation = 0; ///< Of the backends it was built from.
    Revision From = 0;
    std::vector<StoreChange> UnorderedChanges;
    std::vector<StoreChange> OrderedChanges;
  };

  void UpdateCache(Revision have);
  /// Get the route versions after `have`, as deltas where these are still
  /// stored, else as one full set.
  /// \return nothing if there are too many routes.
  std::optional<std::vector<StoreChange>> GetRoutesSince(Revision have) const;

  const BackendRegistry& Backends;
  const RouteTable& Routes;
  CachedChanges Cached;
};

} // namespace cobaltgauge::core
