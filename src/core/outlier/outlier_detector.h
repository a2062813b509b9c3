/// @file
/// Detects backends that accept flows without responding although they report
/// themselves as healthy.  A single daemon sees too few flows to detect this,
/// so the observations of several daemons are combined.  See
/// docs/design/006-outlier-detection.md.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/types.h"
#include "core/view_messages.h"

namespace cobaltgauge::core {

/// Counters of OutlierDetector; see docs/METRICS.md.
struct OutlierCounters
{
  std::uint64_t LateResponses = 0;
  std::uint64_t Withheld = 0; ///< Not reported; a local fault is likely.
  std::uint64_t Detected = 0; ///< Outliers detected by this daemon.
};

/** \class OutlierDetector
 * \brief Detects outlier backends from the late responses at several daemons.
 *
 * Daemons report their observations to the seeds.  Each seed detects outliers
 * and distributes the list with the view.  Outliers are deprioritized for new
 * flows; their open flows stay.
 */
class OutlierDetector
{
public:
  /// \param reporter identifies this daemon in its reports.
  explicit OutlierDetector(std::uint64_t reporter)
    : Reporter(reporter)
  {
  }

  /// Record a response to a client of this daemon.
  void OnResponse() { ++this->Responses; }

  /// Record that a backend did not respond to a client within the late
  /// response threshold, or that a probe found it dead.
  void OnLateResponse(BackendId backend);

  /// Get the observations since the last call, to be sent to the seeds.
  OutlierReport TakeReport();

  /// Process the observations of a daemon; called on seeds.
  /// \return the backends that became outliers.
  std::vector<BackendId> ProcessReport(const OutlierReport& report, Time now);

  /// Replace the outliers with the list received from a seed.
  void SetOutliers(const std::vector<BackendId>& outliers, Time now);

  /// Remove all state of a backend that restarted.
  void Remove(BackendId backend)
  {
    this->EvidenceByBackend.erase(backend);
    this->Outliers.erase(backend);
  }

  /// Remove outliers that were not confirmed recently.
  void Expire(Time now);

  bool IsOutlier(BackendId backend) const
  {
    return this->Outliers.count(backend) != 0;
  }

  std::size_t CountOutliers() const { return this->Outliers.size(); }

  /// Get the list to be distributed to other daemons, limited in length.
  std::vector<BackendId> GetOutliers() const;

  const OutlierCounters& GetCounters() const { return this->Counters; }

private:
  struct Evidence
  {
    /// Time of the last observation.
    std::map<std::uint64_t, Time> LatestByReporter;

    void RemoveBefore(Time before);
  };

  bool IsLocalFaultLikely() const;

  std::uint64_t Reporter;
  std::vector<OutlierObservation> PendingObservations;
  std::map<BackendId, Evidence> EvidenceByBackend;
  std::map<BackendId, Time> Outliers; ///< With their expiry times.
  // Counts of the current and the previous evidence period.
  std::uint64_t Responses = 0;
  std::uint64_t PreviousResponses = 0;
  std::uint64_t LateCount = 0;
  std::uint64_t PreviousLateCount = 0;
  Time PeriodEnd{};
  OutlierCounters Counters;
};

} // namespace cobaltgauge::core
