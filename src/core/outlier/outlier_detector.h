/// @file
/// Finds back ends that take flows and leave them unanswered while they call
/// themselves well.  One daemon sees too few flows to tell; all of them
/// together see enough.  See docs/design/006-outlier-detection.md.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/types.h"
#include "core/view_messages.h"

namespace cobaltgauge::core {

/// Counters of an OutlierDetector; see docs/METRICS.md.
struct OutlierCounters
{
  std::uint64_t LateResponses = 0;
  std::uint64_t Withheld = 0; ///< Late answers blamed on this daemon itself.
  std::uint64_t Detected = 0; ///< Verdicts of this daemon.
};

/** \class OutlierDetector
 * \brief Collect late answers, and decide or adopt which back ends are out.
 *
 * Observations go to the seeds, whom every daemon knows; each seed decides,
 * and its list travels back with the view.  An outlier only comes last when a
 * new flow is placed; its open flows stay.
 */
class OutlierDetector
{
public:
  /// \param reporter tells this daemon's observations from others'.
  explicit OutlierDetector(std::uint64_t reporter)
    : Reporter(reporter)
  {
  }

  /// A back end answered a caller of this daemon.
  void OnResponse() { ++this->Responses; }

  /// A back end left a caller of this daemon unanswered for kAnswerLate, or
  /// was silent and did not answer a probe either.
  void OnLateResponse(BackendId backend);

  /// Take what this daemon has observed since, for those that decide.
  OutlierReport TakeReport();

  /// Take observations, where this daemon decides for others.
  /// \return the back ends that have become outliers by them.
  std::vector<BackendId> ProcessReport(const OutlierReport& report, Time now);

  /// Take the list of the daemon that decides.
  void SetOutliers(const std::vector<BackendId>& outliers, Time now);

  /// Forget a back end that has started anew.
  void Remove(BackendId backend)
  {
    this->EvidenceByBackend.erase(backend);
    this->Outliers.erase(backend);
  }

  /// Forget outliers without recent evidence or news.
  void Expire(Time now);

  bool IsOutlier(BackendId backend) const
  {
    return this->Outliers.count(backend) != 0;
  }

  std::size_t CountOutliers() const { return this->Outliers.size(); }

  /// Get the outliers, as they are told to other daemons.
  std::vector<BackendId> GetOutliers() const;

  const OutlierCounters& GetCounters() const { return this->Counters; }

private:
  struct Evidence
  {
    std::map<std::uint64_t, Time> LatestByReporter; ///< Latest by reporter.

    void RemoveBefore(Time before);
  };

  bool IsLocalFaultLikely() const;

  std::uint64_t Reporter;
  std::vector<OutlierObservation> PendingObservations;
  std::map<BackendId, Evidence> EvidenceByBackend;
  std::map<BackendId, Time> Outliers; ///< With the end of the verdict.
  /// Of the present and the last period of kOutlierEvidence.
  std::uint64_t Responses = 0;
  std::uint64_t PreviousResponses = 0;
  std::uint64_t LateCount = 0;
  std::uint64_t PreviousLateCount = 0;
  Time PeriodEnd{};
  OutlierCounters Counters;
};

} // namespace cobaltgauge::core
