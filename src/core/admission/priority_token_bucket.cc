#include "core/admission/priority_token_bucket.h"

#include <algorithm>
#include <iterator>

#include "core/admission/admission_limits.h"

namespace cobaltgauge::core {

void PriorityTokenBucket::Start(Time now)
{
  this->Capacity = kMinBucketCapacity;
  this->Tokens = kMinBucketCapacity;
  this->ReservedTokens = 0;
  this->RefilledAt = now;
}

void PriorityTokenBucket::SetRate(double rate,
                                  double reservedShare,
                                  const std::set<std::uint32_t>& priorities,
                                  Time now)
{
  this->Refill(now);
  this->Rate = rate;
  this->ReservedShare = reservedShare;
  this->Priorities = priorities;
  const double burstSeconds =
    std::chrono::duration<double>(kMaxBurstSpan).count();
  this->Capacity = std::max(kMinBucketCapacity, rate * burstSeconds);
}

bool PriorityTokenBucket::TryConsume(std::uint32_t priority, Time now)
{
  this->Refill(now);
  if (this->Tokens >= this->GetThreshold(priority)) {
    this->Tokens -= 1;
    return true;
  }
  if (!this->IsHighestPriority(priority) && this->ReservedTokens >= 1) {
    this->ReservedTokens -= 1;
    return true;
  }
  return false;
}

void PriorityTokenBucket::Refill(Time now)
{
  const std::chrono::duration<double> elapsed = now - this->RefilledAt;
  this->RefilledAt = now;
  const double newTokens = elapsed.count() * this->Rate;
  this->ReservedTokens += newTokens * this->ReservedShare;
  const double maxReserved =
    std::max(1.0, this->Capacity * this->ReservedShare);
  const double overflow = std::max(this->ReservedTokens - maxReserved, 0.0);
  this->ReservedTokens -= overflow;
  this->Tokens += newTokens * (1 - this->ReservedShare) + overflow;
  this->Tokens = std::min(this->Tokens, this->Capacity);
}

double PriorityTokenBucket::GetThreshold(std::uint32_t priority) const
{
  const auto higherPriorities = static_cast<double>(std::distance(
    this->Priorities.begin(), this->Priorities.lower_bound(priority)));
  const double priorityCount =
    std::max<double>(static_cast<double>(this->Priorities.size()), 1);
  return 1 +
    (this->Capacity - 1) * std::min(higherPriorities / priorityCount, 1.0);
}

bool PriorityTokenBucket::IsHighestPriority(std::uint32_t priority) const
{
  return this->Priorities.empty() || priority <= *this->Priorities.begin();
}

} // namespace cobaltgauge::core
