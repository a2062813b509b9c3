/// @file
/// Converts timestamps of peers to the local clock, with an upper bound on the
/// age of received data regardless of network delay.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/types.h"
#include "core/view_messages.h"

namespace cobaltgauge::core {

/** \class PeerClocks
 * \brief Track the clock offsets of peers.
 *
 * A response carries the time of the request on the local clock (echo) and the
 * time of the response on the peer's clock.  An event at time s on the peer's
 * clock happened at or after echo + (s - clock) on the local clock.  Delays
 * make it look older, never newer.
 */
class PeerClocks
{
public:
  /// Update the offset from a response.  Unsolicited updates and late
  /// responses are ignored.
  void RecordOffset(const ViewUpdate& update, Time now);

  /// Get the local time at which the view of an update was confirmed.
  /// \return nothing if the sender's clock offset is unknown.
  std::optional<Time> GetConfirmedAt(const ViewUpdate& update, Time now) const;

  /// Convert a peer's timestamp to local time; the result may be too early.
  /// \return nothing if the peer's clock offset is unknown.
  std::optional<Time> ToLocalTime(const Endpoint& peer,
                                  std::uint64_t timeUs,
                                  Time now) const;

  void Remove(const Endpoint& peer) { this->Offsets.erase(peer); }

  /// Remove offsets that were not updated for kClockOffsetTtl.
  void Expire(Time now);

private:
  struct ClockOffset
  {
    std::int64_t OffsetUs = 0; ///< Added to the peer's time; a lower bound.
    Time UpdatedAt{};
  };

  std::map<Endpoint, ClockOffset> Offsets;
};

} // namespace cobaltgauge::core
