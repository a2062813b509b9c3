#include "core/addresses/address_claim.h"

#include <algorithm>
#include <tuple>

namespace cobaltgauge::core {

bool IsLaterClaimant(const AddressClaimant& left, const AddressClaimant& right)
{
  if (AreOrderedByStart(left, right)) {
    return left.StartedAtMs > right.StartedAtMs;
  }
  return std::tie(left.IsRegistered, left.LastWrite) >
    std::tie(right.IsRegistered, right.LastWrite);
}

void AddressClaims::Add(const AddressClaimant& claimant)
{
  if (!claimant.IsRegistered) {
    return;
  }
  const std::uint64_t write = claimant.LastWrite.number;
  this->LatestStart = std::max(this->LatestStart, claimant.StartedAtMs);
  this->LatestWrite = std::max(this->LatestWrite, write);
  if (claimant.StartedAtMs == 0) {
    this->LatestWriteWithoutStart =
      std::max(this->LatestWriteWithoutStart, write);
  }
}

AddressClaim AddressClaims::GetClaim(const AddressClaimant& claimant) const
{
  const bool hasStart = claimant.StartedAtMs != 0;
  if (hasStart && this->LatestStart > claimant.StartedAtMs) {
    return AddressClaim::kSuperseded;
  }
  // The writes of the backends that start times do not order.
  const std::uint64_t write =
    hasStart ? this->LatestWriteWithoutStart : this->LatestWrite;
  const bool isContested =
    write > (claimant.IsRegistered ? claimant.LastWrite.number : 0);
  return isContested ? AddressClaim::kContested : AddressClaim::kUndisputed;
}

} // namespace cobaltgauge::core
