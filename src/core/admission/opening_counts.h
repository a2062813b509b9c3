/// @file
/// Openings of one service in the last two seconds, and what became of them.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "core/load/load_figures.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Counts of a span of time that ends now.
struct OpeningStatistics
{
  double Seconds = 0;
  std::map<std::uint32_t, double> Offered; ///< By priority.
  std::uint32_t Served = 0;
  std::uint32_t Rejected = 0;   ///< Turned away or reset.
  double AdmittedPerResult = 1; ///< Openings for each result, of all steps.

  std::uint32_t CountResults() const { return this->Served + this->Rejected; }
  double CountOffered() const;
  /// Get the rejected among the results, 0 to 1.
  double GetRejectedShare() const;
  /// Get how many were served, also where results are lost.
  double EstimateServed() const
  {
    return this->Served * this->AdmittedPerResult;
  }
};

/// Whether back ends that reject are full, or sick: a full one goes on to
/// serve others.
struct RejectionDistribution
{
  std::uint32_t Rejections = 0;
  std::uint32_t ByServing = 0;  ///< By back ends that served after one.
  double ExpectedByServing = 0; ///< Of these, if all reject alike.

  bool IndicatesOverload() const;
  bool IndicatesFaults() const;
};

/** \class OpeningCounts
 * \brief Count by steps, so that old ones fade.
 */
class OpeningCounts
{
public:
  /// \param weight of the opening that is this service's, above 0 to 1; routes
  /// with several services split their openings.
  void OnOffered(std::uint32_t priority, double weight, Time now);
  void OnAdmitted(double weight, Time now);
  void OnResult(const OpeningResult& result, Time now);

  /// Get how many results there were since the start.
  std::uint64_t CountTotalResults() const { return this->TotalResults; }

  /// Forget what is older than kAdmissionWindowIntervals.
  void Expire(Time now);

  /// Get the counts of the last steps: at least so many steps, and as many
  /// as give so many results.
  OpeningStatistics GetStatistics(std::size_t minIntervals,
                                  std::uint32_t targetResults,
                                  Time now) const;

  /// Compare the back ends that rejected with what chance would give, over
  /// all steps.
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
  std::deque<Interval>
    Intervals; ///< Oldest first; steps without openings are absent.
};

} // namespace cobaltgauge::core
