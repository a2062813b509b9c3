/// @file
/// Openings of one service in the last two seconds, and what became of them.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "core/load/load_statistics.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Counts of a span of time that ends now.
struct OpeningFigures
{
  double Seconds = 0;
  std::map<std::uint32_t, double> Wanted; ///< By rank.
  std::uint32_t Served = 0;
  std::uint32_t Rejected = 0; ///< Turned away or reset.
  double Unheard = 1;         ///< Openings for each result, of all steps.

  std::uint32_t CountResults() const { return this->Served + this->Rejected; }
  double CountWanted() const;
  /// Get the rejected among the results, 0 to 1.
  double GetRejectedShare() const;
  /// Get how many were served, also where results are lost.
  double EstimateServed() const { return this->Served * this->Unheard; }
};

/// Whether back ends that reject are full, or sick: a full one goes on to
/// serve others.
struct RejectionSpread
{
  std::uint32_t Rejections = 0;
  std::uint32_t OfServing = 0; ///< By back ends that served after one.
  double Expected = 0;         ///< Of these, if all reject alike.

  bool ShowsFull() const;
  bool ShowsSick() const;
};

/** \class OpeningCounts
 * \brief Count by steps, so that old ones fade.
 */
class OpeningCounts
{
public:
  /// \param part of the opening that is this service's, above 0 to 1; routes
  /// with several services split their openings.
  void OnWanted(std::uint32_t rank, double part, Time now);
  void OnLetIn(double part, Time now);
  void OnResult(const OpeningResult& result, Time now);

  /// Get how many results there were since the start.
  std::uint64_t CountAllResults() const { return this->AllResults; }

  /// Forget what is older than kAdmissionSteps.
  void Expire(Time now);

  /// Get the counts of the last steps: at least so many steps, and as many
  /// as give so many results.
  OpeningFigures GetFigures(std::size_t fewestSteps,
                            std::uint32_t enoughResults,
                            Time now) const;

  /// Compare the back ends that rejected with what chance would give, over
  /// all steps.
  RejectionSpread GetSpread() const;

private:
  struct Result
  {
    BackendId Backend = kNoBackend;
    bool Rejected = false;
  };
  struct Step
  {
    std::int64_t Number = 0;
    std::map<std::uint32_t, double> Wanted;
    double LetIn = 0;
    std::vector<Result> Results;
  };

  Step& GetStep(Time now);

  std::uint64_t AllResults = 0;
  std::deque<Step> Steps; ///< Oldest first; steps without openings are absent.
};

} // namespace cobaltgauge::core
