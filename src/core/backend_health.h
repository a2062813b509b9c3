/// @file
/// Passive health checks of backends, based on the packets of clients. Connection attempts and
/// retransmitted data are requests; an acknowledgement of new bytes is a response. A backend with
/// an overdue response is suspected and gets no new flows. Since packet loss or a slow response
/// looks the same, open flows are reset only after a failed probe, a connection to the backend's
/// address.
///
/// Invariant: if most backends are suspected, none is probed or declared dead, because this daemon
/// is more likely partitioned.
#pragma once

#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "core/probe/failure_probe.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Counters of BackendHealth; see docs/METRICS.md.
struct BackendHealthCounters {
  std::uint64_t probes = 0;
  std::uint64_t declaredDead = 0;
  std::uint64_t inconclusive = 0;  ///< Inconclusive probes.
  std::uint64_t recovered = 0;     ///< Dead backends that responded again.
};

class BackendHealth {
 public:
  /// Records that a connection attempt was forwarded to the backend.
  void onOpening(BackendId backend, Time now);
  /// Records that a client retransmitted data first sent at `firstSentAt`.
  void onRetransmittedData(BackendId backend, Time firstSentAt, Time now);
  /// Records that a client received new data from the backend.
  void onResponse(BackendId backend, Time now);

  /// @return true if new flows should prefer other backends.
  bool isSuspected(BackendId backend, Time now) const;
  bool isDead(BackendId backend) const;
  /// @return false if no backend is suspected or dead. Constant time.
  bool hasSuspects() const { return !pending_.empty(); }

  /// @param backendCount number of all backends. If more than half of them are suspected, nothing
  /// is probed.
  /// @return backends to probe now. Each requires a call of onProbe().
  std::vector<BackendId> takeProbes(std::size_t backendCount, Time now);
  /// Processes the result of a probe. @return true if the backend has become dead. It stays dead
  /// until it responds, or for kDeadStateTtl after the last probe that confirmed it.
  bool onProbe(BackendId backend, ProbeResult result, Time now);

  /// @return backends that are not suspected, with the times of their last responses.
  std::vector<std::pair<BackendId, Time>> respondingBackends(Time now) const;

  /// Removes the record of a backend that has restarted.
  void remove(BackendId backend);
  /// To be called after the process was suspended. Clears unanswered requests and dead states,
  /// which are out of date.
  void onResume();
  /// To be called when this daemon loses or regains the connection to all backends. Clears the
  /// states, which the connection loss may have caused.
  void onReachabilityChanged();
  /// Removes old records, and dead states that were not confirmed again.
  void expire(Time now);

  const BackendHealthCounters& counters() const { return counters_; }

 private:
  struct Record {
    Time lastActivity{};     ///< Last request or response; for expiry.
    Time lastResponse{};     ///< Zero if none.
    Time confirmedDeadAt{};  ///< Time of the last confirming probe.
    Time unansweredSince{};  ///< Time of the first unanswered request; zero if none.
    Time nextProbe{};
    Time probeStartedAt{};
    bool probing = false;
    bool probeValid = false;  ///< The record was not reset during the probe.
    bool dead = false;
  };

  void recordRequest(BackendId backend, Time since, Time now);

  std::unordered_map<BackendId, Record> records_;
  /// Backends with unanswered requests, and dead backends. A small subset of `records_`.
  std::unordered_set<BackendId> pending_;
  BackendHealthCounters counters_;
};

}  // namespace cobaltgauge::core
