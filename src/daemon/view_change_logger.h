/// @file
/// Logs changes of back ends, so that their lines stay few where thousands
/// change and each change still has lines of its own somewhere in the fleet.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>

#include "core/view_updater.h"

namespace cobaltgauge::daemon {

/** \class ChangeLines
 * \brief Single lines within an allowance, then a few drawn ones and a sum.
 *
 * A release of 89 back ends a second gave 985 daemons 263,000 lines a second.
 * Beyond the allowance a change is told singly by daemons drawn by its key,
 * kTellersOfChange of the fleet on the mean, so that a search for an id over
 * the logs of all daemons finds it.  All others count it.
 */
class ViewChangeLogger {
 public:
  /// Back ends that changed within a second and were not told singly.
  struct Summary {
    std::array<std::uint64_t, core::kRegistryEvents> counts{};  ///< By event.
    core::Revision first = 0;
    core::Revision last = 0;
    std::string firstKey;
  };
  using LogChange = std::function<void(const core::ViewChange&)>;
  using LogSummary = std::function<void(const Summary&)>;

  /// \param daemon tells this daemon from the others.
  ViewChangeLogger(std::uint64_t daemon, LogChange logChange, LogSummary logSummary);

  /// \param fleetSize how many daemons there are; errs high.
  void setFleetSize(std::uint32_t fleetSize) { fleetSize_ = fleetSize; }

  /// Take a change of a back end.
  void add(const core::ViewChange& change, core::Time now);
  /// Tell what was counted, once a second at most.
  void onTick(core::Time now);

 private:
  bool isSampled(const core::ViewChange& change) const;

  std::uint64_t daemon_;
  LogChange logChange_;
  LogSummary logSummary_;
  std::uint32_t fleetSize_ = 1;
  core::Time periodStart_{};
  std::uint32_t loggedInPeriod_ = 0;  ///< Singly, in this second.
  Summary suppressed_;
  bool hasSuppressed_ = false;
};

}  // namespace cobaltgauge::daemon
