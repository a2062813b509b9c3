#include "core/load/load_meter.h"

#include <algorithm>
#include <utility>

namespace cobaltgauge::core {
namespace {

constexpr std::int64_t kBuckets = kLoadWindowBuckets;
constexpr Duration kBucketWidth = Duration(1s) / kBuckets;

} // namespace

void SlidingWindowCounter::Add(Time now)
{
  const std::int64_t bucket = now / kBucketWidth;
  const std::int64_t elapsed = std::min(bucket - this->LatestBucket, kBuckets);
  for (std::int64_t i = 0; i < elapsed; ++i) {
    this->Buckets.at(static_cast<std::size_t>((bucket - i) % kBuckets)) = 0;
  }
  this->LatestBucket = std::max(this->LatestBucket, bucket);
  ++this->Buckets.at(static_cast<std::size_t>(bucket % kBuckets));
}

std::uint32_t SlidingWindowCounter::Get(Time now) const
{
  const std::int64_t bucket = now / kBucketWidth;
  std::uint32_t sum = 0;
  for (std::int64_t i =
         std::max(this->LatestBucket - kBuckets, bucket - kBuckets) + 1;
       i <= this->LatestBucket;
       ++i) {
    sum +=
      this->Buckets.at(static_cast<std::size_t>((i + kBuckets) % kBuckets));
  }
  return sum;
}

void LoadMeter::Track(FlowFingerprint flow, const Request& request)
{
  this->OnFlowEnded(flow);
  if (this->Requests.size() < kMaxCountedRequests) {
    this->Requests.emplace(flow, request);
    ++this->Zones[request.Key].InFlight;
  }
}

void LoadMeter::Expire(Request& request)
{
  if (std::exchange(request.IsCounted, false)) {
    --this->Zones[request.Key].InFlight;
  }
}

Duration LoadMeter::GetRequestTimeout(ServiceId service) const
{
  const auto responseTime = this->ResponseTimes.find(service);
  return responseTime == this->ResponseTimes.end() ||
      !responseTime->second.HasEnoughSamples()
    ? Duration(kMaxRequestTimeout)
    : std::clamp<Duration>(responseTime->second.Get() * kRequestTimeoutFactor,
                           kMinRequestTimeout,
                           kMaxRequestTimeout);
}

void LoadMeter::OnOpening(FlowFingerprint flow, const LoadKey& key, Time now)
{
  this->Track(flow, { key, now, now + kOpeningTimeout, true, true });
  this->Zones[key].Openings.Add(now);
}

void LoadMeter::OnRequest(FlowFingerprint flow, const LoadKey& key, Time now)
{
  const Time expiresAt = now + this->GetRequestTimeout(key.first);
  this->Track(flow, { key, now, expiresAt, false, true });
}

void LoadMeter::OnResponse(FlowFingerprint flow, Time now)
{
  const auto request = this->Requests.find(flow);
  if (request != this->Requests.end() && !request->second.IsOpening) {
    this->ResponseTimes[request->second.Key.first].Add(now -
                                                       request->second.SentAt);
  }
  this->OnFlowEnded(flow);
}

void LoadMeter::OnFlowEnded(FlowFingerprint flow)
{
  const auto request = this->Requests.find(flow);
  if (request != this->Requests.end()) {
    this->Expire(request->second);
    this->Requests.erase(request);
  }
}

void LoadMeter::OnOpeningEnded(const OpeningResult& result, Time now)
{
  if (result.Outcome == OpeningOutcome::kRejected ||
      result.Outcome == OpeningOutcome::kReset) {
    this->Zones[{ result.Service, result.Zone }].Rejected.Add(now);
  }
}

void LoadMeter::OnTick(Time now)
{
  for (auto& [flow, request] : this->Requests) {
    if (request.ExpiresAt <= now) {
      this->Expire(request);
    }
  }
  std::erase_if(this->Requests, [now](const auto& item) {
    return now - item.second.SentAt > kRequestRetention;
  });
  std::erase_if(this->Zones, [now](const auto& item) {
    const Counts& counts = item.second;
    return counts.InFlight == 0 && counts.Openings.Get(now) == 0 &&
      counts.Rejected.Get(now) == 0;
  });
}

void LoadMeter::Clear()
{
  this->Requests.clear();
  this->Zones.clear();
}

std::vector<ZoneLoad> LoadMeter::GetLoads(Time now) const
{
  std::vector<ZoneLoad> loads;
  for (const auto& [key, counts] : this->Zones) {
    loads.push_back({ key.first,
                      key.second,
                      counts.InFlight,
                      counts.Openings.Get(now),
                      counts.Rejected.Get(now) });
  }
  return loads;
}

} // namespace cobaltgauge::core
