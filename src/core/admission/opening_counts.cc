#include "core/admission/opening_counts.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

#include "core/admission/admission_limits.h"

namespace cobaltgauge::core {
namespace {

std::int64_t NumberOf(Time now)
{
  return now / kAdmissionStep;
}

} // namespace

double OpeningFigures::CountWanted() const
{
  double wanted = 0;
  for (const auto& [rank, count] : this->Wanted) {
    wanted += count;
  }
  return wanted;
}

double OpeningFigures::GetRejectedShare() const
{
  const double results = std::max(this->CountResults(), 1U);
  return this->Rejected / results;
}

bool RejectionSpread::ShowsFull() const
{
  return this->Expected >= kTellingFull &&
    this->OfServing >= kFullPart * this->Expected;
}

bool RejectionSpread::ShowsSick() const
{
  return this->Expected >= kTellingSick &&
    this->OfServing < kSickPart * this->Expected;
}

void OpeningCounts::OnWanted(std::uint32_t rank, double part, Time now)
{
  this->GetStep(now).Wanted[rank] += part;
}

void OpeningCounts::OnLetIn(double part, Time now)
{
  this->GetStep(now).LetIn += part;
}

void OpeningCounts::OnResult(const OpeningResult& result, Time now)
{
  if (result.Outcome != OpeningOutcome::kUnanswered) {
    ++this->AllResults;
    const bool rejected = result.Outcome != OpeningOutcome::kServed;
    this->GetStep(now).Results.push_back({ result.Backend, rejected });
  }
}

void OpeningCounts::Expire(Time now)
{
  const std::int64_t oldest =
    NumberOf(now) - static_cast<std::int64_t>(kAdmissionSteps) + 1;
  while (!this->Steps.empty() && this->Steps.front().Number < oldest) {
    this->Steps.pop_front();
  }
}

OpeningFigures OpeningCounts::GetFigures(std::size_t fewestSteps,
                                         std::uint32_t enoughResults,
                                         Time now) const
{
  OpeningFigures figures;
  std::int64_t first = NumberOf(now);
  for (auto step = this->Steps.rbegin(); step != this->Steps.rend(); ++step) {
    const bool isRecent =
      NumberOf(now) - step->Number < static_cast<std::int64_t>(fewestSteps);
    if (!isRecent && figures.CountResults() >= enoughResults) {
      break;
    }
    first = step->Number;
    for (const auto& [rank, count] : step->Wanted) {
      figures.Wanted[rank] += count;
    }
    for (const Result& result : step->Results) {
      ++(result.Rejected ? figures.Rejected : figures.Served);
    }
  }
  double letIn = 0;
  double results = 0;
  for (const Step& step : this->Steps) {
    letIn += step.LetIn;
    results += static_cast<double>(step.Results.size());
  }
  figures.Unheard =
    std::clamp(letIn / std::max(results, 1.0), 1.0, kMostUnheard);
  const Duration span = now - first * kAdmissionStep;
  figures.Seconds = std::chrono::duration<double>(span).count();
  return figures;
}

RejectionSpread OpeningCounts::GetSpread() const
{
  struct Tally
  {
    std::uint32_t Rejected = 0;
    std::int64_t FirstRejected = 0;
    std::uint32_t Later = 0; ///< Results that came well after that.
    bool Serves = false;     ///< One of them.
  };
  std::unordered_map<BackendId, Tally> tallies;
  std::uint32_t results = 0;
  RejectionSpread spread;
  for (const Step& step : this->Steps) {
    for (const Result& result : step.Results) {
      Tally& tally = tallies[result.Backend];
      ++results;
      // What it took before its end may still be answered.
      const bool isLater = tally.Rejected != 0 &&
        step.Number - tally.FirstRejected >= kStepsOfQueue;
      tally.Later += isLater ? 1U : 0U;
      tally.Serves = tally.Serves || (isLater && !result.Rejected);
      if (result.Rejected) {
        tally.FirstRejected =
          tally.Rejected == 0 ? step.Number : tally.FirstRejected;
        ++tally.Rejected;
        ++spread.Rejections;
      }
    }
  }
  const double rejected = spread.Rejections / std::max<double>(results, 1);
  for (const auto& [backend, tally] : tallies) {
    spread.OfServing += tally.Serves ? tally.Rejected : 0;
    spread.Expected +=
      tally.Rejected * (1.0 - std::pow(rejected, tally.Later));
  }
  return spread;
}

OpeningCounts::Step& OpeningCounts::GetStep(Time now)
{
  const std::int64_t number = NumberOf(now);
  if (this->Steps.empty() || this->Steps.back().Number < number) {
    this->Steps.push_back({ number, {}, 0, {} });
    this->Expire(now);
  }
  return this->Steps.back();
}

} // namespace cobaltgauge::core
