/// @file
/// Rate-limited logging of backend changes. Beyond the limit, each daemon logs
/// a sample of the changes and a summary of the others.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>

#include "core/view_updater.h"

namespace cobaltgauge::daemon {

/** \class ViewChangeLogger
 * \brief Logs backend changes individually up to a rate limit, then a sample
 * of them and a summary.
 *
 * Beyond the limit, the hash of a change selects the daemons that log it
 * individually: kLoggersPerChange of the fleet on average, so that a search
 * for an id in the logs of all daemons usually finds it.  The other daemons
 * count the change in their summary.
 */
class ViewChangeLogger {
 public:
  /// The changes of one period that were not logged individually.
  struct Summary {
    std::array<std::uint64_t, core::kRegistryEvents> counts{};  ///< By event.
    core::Revision first = 0;
    core::Revision last = 0;
    std::string firstKey;
  };
  using LogChange = std::function<void(const core::ViewChange&)>;
  using LogSummary = std::function<void(const Summary&)>;

  /// \param daemon id of this daemon; determines which changes it samples.
  ViewChangeLogger(std::uint64_t daemon, LogChange logChange, LogSummary logSummary);

  /// \param fleetSize number of daemons, which may be overestimated.
  void setFleetSize(std::uint32_t fleetSize) { fleetSize_ = fleetSize; }
  /// Beyond the rate limit, logs no change individually.
  void disableSampling() { samplesChanges_ = false; }

  /// Logs a backend change or counts it in the summary.
  void add(const core::ViewChange& change, core::Time now);
  /// Logs the summary if there is one, at most once per period.
  void onTick(core::Time now);

 private:
  bool isSampled(const core::ViewChange& change) const;

  std::uint64_t daemon_;
  LogChange logChange_;
  LogSummary logSummary_;
  std::uint32_t fleetSize_ = 1;
  bool samplesChanges_ = true;
  core::Time periodStart_{};
  std::uint32_t loggedInPeriod_ = 0;  ///< Changes logged individually in this period.
  Summary suppressed_;
  bool hasSuppressed_ = false;
};

}  // namespace cobaltgauge::daemon
