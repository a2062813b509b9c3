/// @file
/// Bounded log of recent view changes, used to update peers whose view is
/// slightly older without sending the full view.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "core/registration.h"

namespace cobaltgauge::core {

/// Changes that bring a view up to a later revision.
struct ChangeRange
{
  std::vector<StoreChange> Changes;
  Revision EndRevision = 0; ///< The view is complete up to here once applied.
};

/** \class ChangeLog
 * \brief Log the changes between revisions.
 *
 * Changes are appended as they are applied, and Close() ends a batch at the
 * revision up to which the view is then complete.  Pages of a listing may show
 * changes newer than the revision of the listing.  A watch from there delivers
 * them again without any effect, so they are also added to the next batch, or
 * the log begins after them.  Large batches are split by revision.  A batch
 * that cannot be split and exceeds the limit is omitted, and peers that lack
 * it read the store.
 */
class ChangeLog
{
public:
  /// Start from a listing that is complete up to `listed` once a watch from
  /// there succeeds.  Has no effect on a log that has begun.
  void Begin(Revision listed);

  /// Add a change to the open batch.
  void Append(StoreChange change);

  /// Do not split the open batch.  It came from a listing, which does not give
  /// the revisions of removals.
  void MarkIndivisible() { this->Indivisible = true; }

  /// End the open batch; the view is now complete up to this revision.  Has no
  /// effect unless the revision is newer than the previous one.
  void Close(Revision complete);

  /// Get the changes that a view complete up to `have` lacks, up to
  /// kMaxBatchItems items.
  /// \return nothing if the log does not reach back to `have`.
  std::optional<ChangeRange> Since(Revision have) const;

  /// Tell whether Since() can start from `have`.
  bool Covers(Revision have) const
  {
    return this->CompleteRevision != 0 && have >= this->Base;
  }

  /// Get the oldest revision that Since() can start from.
  Revision GetBase() const { return this->Base; }

  /// Get the revision up to which the view is complete; zero if there is no
  /// view.
  Revision GetCompleteRevision() const { return this->CompleteRevision; }

private:
  struct Batch
  {
    Revision EndRevision = 0;
    std::vector<StoreChange> Changes;
    std::size_t ItemCount = 0;
  };

  /// Discard all batches.
  /// \param newestListed revision of the newest appended change.
  void Clear(const Revision& newestListed);
  /// Split changes by revision into batches of at most kMaxBatchItems items.
  void AddSplit(std::vector<StoreChange> changes, Revision complete);
  void AddBatch(Batch batch);
  void DropOldest();

  std::deque<Batch> Batches;
  std::vector<StoreChange> Pending;
  Revision NewestPendingRevision = 0;
  std::size_t LargestPendingChange = 0; ///< Items of the largest change.
  std::size_t PendingItemCount = 0;
  bool Indivisible = false;
  std::size_t ItemCount = 0;
  Revision Base = 0;
  Revision CompleteRevision = 0;
};

} // namespace cobaltgauge::core
