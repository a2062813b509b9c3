/// @file
/// The load that this daemon sees itself.  See
/// docs/design/008-scarce-room.md.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/load/load_limits.h"
#include "core/load/load_statistics.h"
#include "core/load/response_time_average.h"

namespace cobaltgauge::core {

/// The back ends of a service in a zone.
using LoadKey = std::pair<ServiceId, ZoneId>;

/** \class SlidingWindowCounter
 * \brief Count events of the last second, in parts of it.
 */
class SlidingWindowCounter
{
public:
  void Add(Time now);
  std::uint32_t Get(Time now) const;

private:
  std::array<std::uint32_t, kLoadWindowBuckets> Buckets{};
  std::int64_t LatestBucket =
    0; ///< Number of the bucket that was counted last.
};

/** \class LoadMeter
 * \brief Count this daemon's requests in flight, openings and rejections.
 *
 * A request is in flight from its opening or data to its answer.  One whose
 * caller vanished fades.
 */
class LoadMeter : public OpeningListener
{
public:
  /// An opening was sent on, for the first time or again.
  void OnOpening(FlowFingerprint flow, const LoadKey& key, Time now);
  /// New data of a caller was sent on.
  void OnRequest(FlowFingerprint flow, const LoadKey& key, Time now);
  /// What was sent last is answered.
  void OnResponse(FlowFingerprint flow, Time now);
  /// The caller or the back end has gone.
  void OnFlowEnded(FlowFingerprint flow);
  void OnOpeningEnded(const OpeningResult& result, Time now) override;

  /// Let requests fade, and forget zones without load; at any time.
  void OnTick(Time now);
  /// Forget what is in flight; for a process that was suspended.
  void Clear();

  std::vector<ZoneLoad> GetLoads(Time now) const;

private:
  struct Request
  {
    LoadKey Key;
    Time SentAt{};
    Time ExpiresAt{};
    bool IsOpening = false;
    bool IsCounted = true; ///< Has not faded.
  };
  struct Counts
  {
    std::uint32_t InFlight = 0;
    SlidingWindowCounter Openings;
    SlidingWindowCounter Rejected;
  };

  void Track(FlowFingerprint flow, const Request& request);
  void Expire(Request& request);
  Duration GetRequestTimeout(ServiceId service) const;

  std::unordered_map<FlowFingerprint, Request> Requests;
  std::map<LoadKey, Counts> Zones;
  std::unordered_map<ServiceId, ResponseTimeAverage> ResponseTimes;
};

} // namespace cobaltgauge::core
