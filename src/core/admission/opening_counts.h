/// @file
/// Sliding-window counts of the connection attempts of one service and of
/// their results.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "core/load/load_statistics.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Counts of the most recent intervals.
struct OpeningStatistics
{
  double Seconds = 0;                      ///< Length of the time span.
  std::map<std::uint32_t, double> Offered; ///< By priority.
  std::uint32_t Served = 0;
  std::uint32_t Rejected = 0;   ///< Rejected by a backend, or reset.
  double AdmittedPerResult = 1; ///< Over the whole window.

  std::uint32_t CountResults() const { return this->Served + this->Rejected; }
  double CountOffered() const;
  /// Returns the rejected share of the results, 0 to 1.
  double GetRejectedShare() const;
  /// Returns the number of served attempts, corrected for lost results.
  double EstimateServed() const
  {
    return this->Served * this->AdmittedPerResult;
  }
};

/// Distribution of rejections over backends.  An overloaded backend rejects
/// some attempts and serves others; a faulty one rejects all.
struct RejectionDistribution
{
  std::uint32_t Rejections = 0;
  std::uint32_t ByServing = 0;  ///< By backends that served later.
  double ExpectedByServing = 0; ///< If rejection rates are equal.

  bool IndicatesOverload() const;
  bool IndicatesFaults() const;
};

/** \class OpeningCounts
 * \brief Counts connection attempts and results in fixed intervals.
 */
class OpeningCounts
{
public:
  /// \param weight share of the attempt that counts for this service, above 0
  /// and up to 1; below 1 on routes to several services.
  void OnOffered(std::uint32_t priority, double weight, Time now);
  void OnAdmitted(double weight, Time now);
  void OnResult(const OpeningResult& result, Time now);

  /// Returns the number of results since the start.
  std::uint64_t CountTotalResults() const { return this->TotalResults; }

  /// Removes intervals older than kAdmissionWindowIntervals.
  void Expire(Time now);

  /// Returns the counts of the last `minIntervals` intervals, and of as many
  /// earlier ones as needed for `targetResults` results.
  OpeningStatistics GetStatistics(std::size_t minIntervals,
                                  std::uint32_t targetResults,
                                  Time now) const;

  /// Returns the distribution of rejections over the whole window.
  RejectionDistribution GetRejectionDistribution() const;

private:
  struct Result
  {
    BackendId Backend = kNoBackend;
    bool Rejected = false;
  };
  struct Interval
  {
    std::int64_t Number = 0;
    std::map<std::uint32_t, double> Offered;
    double Admitted = 0;
    std::vector<Result> Results;
  };

  Interval& GetInterval(Time now);

  std::uint64_t TotalResults = 0;
  /// Oldest first, without empty intervals.
  std::deque<Interval> Intervals;
};

} // namespace cobaltgauge::core
