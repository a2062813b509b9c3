/// @file
/// Load measured by this daemon.  See docs/design/008-scarce-room.md.
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

/// Identifies the backends of a service in a zone.
using LoadKey = std::pair<ServiceId, ZoneId>;

/** \class SlidingWindowCounter
 * \brief Counts the events of the last second.
 */
class SlidingWindowCounter
{
public:
  void Add(Time now);
  std::uint32_t Get(Time now) const;

private:
  std::array<std::uint32_t, kLoadWindowBuckets> Buckets{};
  /// Number of the latest bucket since the epoch of the clock.
  std::int64_t LatestBucket = 0;
};

/** \class LoadMeter
 * \brief Counts this daemon's requests in flight, openings and rejections.
 *
 * A request is in flight from its opening or data until its response.  A
 * request without a response expires.
 */
class LoadMeter : public OpeningListener
{
public:
  /// An opening was forwarded, for the first time or retransmitted.
  void OnOpening(FlowFingerprint flow, const LoadKey& key, Time now);
  /// New data of a client was forwarded.
  void OnRequest(FlowFingerprint flow, const LoadKey& key, Time now);
  /// The latest request or opening of a flow got a response.
  void OnResponse(FlowFingerprint flow, Time now);
  /// The client or the backend of a flow is gone.
  void OnFlowEnded(FlowFingerprint flow);
  void OnOpeningEnded(const OpeningResult& result, Time now) override;

  /// Expire requests and remove zones without load.  May be called at any
  /// time.
  void OnTick(Time now);
  /// Discard all requests and counts after the process was suspended.
  void Clear();

  std::vector<ZoneLoad> GetLoads(Time now) const;

private:
  struct Request
  {
    LoadKey Key;
    Time SentAt{};
    Time ExpiresAt{};
    bool IsOpening = false;
    bool IsCounted = true; ///< Has not expired.
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
