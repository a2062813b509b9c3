#include "core/admission/ranked_bucket.h"

#include <algorithm>
#include <iterator>

#include "core/admission/admission_limits.h"

namespace cobaltgauge::core {

void RankedBucket::Open(Time now)
{
  this->Depth = kLeastDepth;
  this->Level = kLeastDepth;
  this->Least = 0;
  this->FilledAt = now;
}

void RankedBucket::SetRate(double perSecond,
                           double leastShare,
                           const std::set<std::uint32_t>& ranks,
                           Time now)
{
  this->Fill(now);
  this->PerSecond = perSecond;
  this->LeastShare = leastShare;
  this->Ranks = ranks;
  const double span = std::chrono::duration<double>(kBucketSpan).count();
  this->Depth = std::max(kLeastDepth, perSecond * span);
}

bool RankedBucket::Take(std::uint32_t rank, Time now)
{
  this->Fill(now);
  if (this->Level >= this->GetThreshold(rank)) {
    this->Level -= 1;
    return true;
  }
  if (!this->IsHighest(rank) && this->Least >= 1) {
    this->Least -= 1;
    return true;
  }
  return false;
}

void RankedBucket::Fill(Time now)
{
  const std::chrono::duration<double> span = now - this->FilledAt;
  this->FilledAt = now;
  const double openings = span.count() * this->PerSecond;
  this->Least += openings * this->LeastShare;
  const double mostLeast = std::max(1.0, this->Depth * this->LeastShare);
  const double unused = std::max(this->Least - mostLeast, 0.0);
  this->Least -= unused;
  this->Level += openings * (1 - this->LeastShare) + unused;
  this->Level = std::min(this->Level, this->Depth);
}

double RankedBucket::GetThreshold(std::uint32_t rank) const
{
  const auto above = static_cast<double>(
    std::distance(this->Ranks.begin(), this->Ranks.lower_bound(rank)));
  const double ranks =
    std::max<double>(static_cast<double>(this->Ranks.size()), 1);
  return 1 + (this->Depth - 1) * std::min(above / ranks, 1.0);
}

bool RankedBucket::IsHighest(std::uint32_t rank) const
{
  return this->Ranks.empty() || rank <= *this->Ranks.begin();
}

} // namespace cobaltgauge::core
