/// @file
/// Back ends that some daemon could not reach.  A report is no proof: whoever
/// hears it connects to the back end itself before it gives up a flow.  See
/// docs/design/010-shifted-work.md.
#pragma once

#include <map>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::core {

/** \class UnreachableReports
 * \brief Carry reports to the seeds, and from them to all.
 */
class UnreachableReports
{
public:
  /// This daemon could not reach a back end.
  void OnUnreachable(BackendId backend);

  /// Take what this daemon has to report since, for the seeds.
  std::vector<BackendId> TakePending();

  /// Take reports, where this daemon passes them on, or what one that does
  /// has passed on.
  /// \return whether one of them is news.
  bool Take(const std::vector<BackendId>& backends, Time now);

  /// Take the back ends that were reported since, for a check of this
  /// daemon's own.
  std::vector<BackendId> TakeUnchecked();

  /// Get the reports of late, as they are told to other daemons.
  std::vector<BackendId> GetLatest() const;

  void Expire(Time now);

private:
  std::vector<BackendId> Pending;
  std::vector<BackendId> Unchecked;
  std::map<BackendId, Time> Known; ///< With the end of the report.
};

} // namespace cobaltgauge::core
