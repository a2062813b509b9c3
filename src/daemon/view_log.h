/// @file
/// Logs changes of the view, at a limited rate.
#pragma once

#include <cstdint>

#include "core/view_updater.h"
#include "daemon/view_change_logger.h"

namespace cobaltgauge::daemon {

/// Changes of backends and items that cannot be read may come by the thousand and have limits of
/// their own; other changes are logged one by one.
class ViewLog {
 public:
  /// @param daemon id of this daemon; determines which changes of backends it samples.
  explicit ViewLog(std::uint64_t daemon);

  /// @param fleetSize number of daemons, which may be overestimated.
  void setFleetSize(std::uint32_t fleetSize) { backends_.setFleetSize(fleetSize); }

  /// @param viewAge time since the view was last synchronized.
  void add(const core::ViewChange& change, core::Duration viewAge, core::Time now);
  /// Logs the summaries that are due.
  void onTick(core::Time now);

 private:
  ViewChangeLogger backends_;
  ViewChangeLogger unreadableItems_;
};

}  // namespace cobaltgauge::daemon
