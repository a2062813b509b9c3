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

/** \class ChangeLog
 * \brief What changed from one revision to the next.
 *
 * Changes are appended as they are taken and closed by the revision up to
 * which the view is then complete.  The log is bounded.  A batch too large to
 * be worth passing on is left out, and peers that lack it read the store.
 */
class ChangeLog
{
public:
  /// Add a change to the batch that is being collected.
  void Append(StoreChange change);

  /// The view is complete up to this revision; ends the batch.  Has no effect
  /// where it was complete up to there before.
  void Close(Revision complete);

  /// Get what a view complete up to `have` lacks.
  /// \return nothing where the log does not reach back that far.
  std::optional<std::vector<StoreChange>> Since(Revision have) const;

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

  void Clear();

  std::deque<Batch> Batches;
  std::vector<StoreChange> Pending;
  std::size_t PendingWeight = 0;
  std::size_t Weight = 0;
  Revision Base = 0;
  Revision Complete = 0;
};

} // namespace cobaltgauge::core
