/// @file
/// How the clocks of peers relate to this daemon's, so that the age of what
/// they tell is bounded whatever was delayed.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/types.h"
#include "core/view_messages.h"

namespace cobaltgauge::core {

/** \class PeerClocks
 * \brief Turn times of a peer's clock into times of this daemon's.
 *
 * An answer carries the time of the question on this daemon's clock, and its
 * own on the peer's.  What the peer did at its time s happened here at or
 * after echo + (s - clock): a delay makes it look older, never younger.
 */
class PeerClocks
{
public:
  /// Learn from an answer; other updates and late answers tell nothing.
  void Note(const ViewUpdate& update, Time now);

  /// Get when the view of an update was confirmed, on this daemon's clock.
  /// \return nothing where the sender's clock is unknown.
  std::optional<Time> GetConfirmation(const ViewUpdate& update,
                                      Time now) const;

  /// Turn a time of a peer's clock into this daemon's; errs early.
  /// \return nothing where the peer's clock is unknown.
  std::optional<Time> ToOwn(const Endpoint& peer,
                            std::uint64_t timeUs,
                            Time now) const;

  void Forget(const Endpoint& peer) { this->Relations.erase(peer); }

  /// Forget clocks that were not heard for kClockOffsetTtl.
  void Expire(Time now);

private:
  struct Relation
  {
    std::int64_t OffsetUs = 0; ///< Added to the peer's time: not later here.
    Time LearnedAt{};
  };

  std::map<Endpoint, Relation> Relations;
};

} // namespace cobaltgauge::core
