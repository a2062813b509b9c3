/// @file
/// The latest changes of a view, in batches, so that a peer whose view is a
/// little older can be brought up to date without a whole view.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "core/registration.h"

namespace cobaltgauge::core {

/// Some of what a view lacks.
struct ChangeExcerpt
{
  std::vector<StoreChange> Changes;
  Revision Reached = 0; ///< A view that takes them is complete up to here.
};

/** \class ChangeLog
 * \brief What changed from one revision to the next.
 *
 * Changes are appended as they are taken and closed by the revision up to
 * which the view is then complete.  The pages of a listing may show changes
 * that are newer than its place; a watch from there shows them again, as
 * nothing new.  They belong to the next batch as well, or the log begins after
 * them.  The log is bounded.  A heavy batch is
 * divided by revision, so that it is passed on in parts; what cannot be
 * divided is left out, and peers that lack it read the store.
 */
class ChangeLog
{
public:
  /// Start from a listing that is complete up to `listed` once a watch from
  /// there is taken.  Has no effect on a log that has begun.
  void Begin(Revision listed);

  /// Add a change to the batch that is being collected.
  void Append(StoreChange change);

  /// Keep the batch that is being collected whole: it came from a listing,
  /// which does not tell at which revision an item vanished.
  void MarkIndivisible() { this->Indivisible = true; }

  /// The view is complete up to this revision; ends the batch.  Has no effect
  /// where it was complete up to there before.
  void Close(Revision complete);

  /// Get what a view complete up to `have` lacks, up to kMaxBatchItems items.
  /// \return nothing where the log does not reach back that far.
  std::optional<ChangeExcerpt> Since(Revision have) const;

  /// Tell whether Since() can start from `have`.
  bool Reaches(Revision have) const
  {
    return this->Complete != 0 && have >= this->Base;
  }

  /// Get the oldest revision that Since() can start from.
  Revision GetBase() const { return this->Base; }

  /// Get the revision up to which the view is complete; zero for no view.
  Revision GetComplete() const { return this->Complete; }

private:
  struct Batch
  {
    Revision Complete = 0;
    std::vector<StoreChange> Changes;
    std::size_t Weight = 0;
  };

  /// Forget everything.  \param shown the newest change that was appended.
  void Clear(const Revision& shown);
  /// Add what was collected as batches that are light enough.
  void AddInParts(std::vector<StoreChange> changes, Revision complete);
  void AddBatch(Batch batch);
  void DropOldest();

  std::deque<Batch> Batches;
  std::vector<StoreChange> Pending;
  Revision NewestPending = 0;
  std::size_t HeaviestPending = 0; ///< Weight of a single change.
  std::size_t PendingWeight = 0;
  bool Indivisible = false;
  std::size_t Weight = 0;
  Revision Base = 0;
  Revision Complete = 0;
};

} // namespace cobaltgauge::core
