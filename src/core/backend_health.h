/// @file
/// What this daemon believes of the life of back ends. Record come from the callers' packets alone:
/// an opening without answer, or data that is sent again, ask something of the back end; a packet
/// that acknowledges new bytes proves an answer. A sign steers new flows away at once. Whether open
/// flows are given up is decided by a probe, a connection to the back end's address, since a lost
/// packet or a slow answer looks the same from here.
///
/// Invariant: where most back ends seem dead, none is believed to be: this daemon is likelier cut
/// off than all of them gone.
#pragma once

#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "core/proof/death_trial.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Counters of a BackendHealth; see docs/METRICS.md.
struct BackendHealthCounters {
  std::uint64_t probes = 0;
  std::uint64_t declaredDead = 0;
  std::uint64_t unproven = 0;  ///< Probes without an answer that prove nothing.
  std::uint64_t revived = 0;
};

class BackendHealth {
 public:
  /// Notes that an opening was sent on to the back end.
  void onOpening(BackendId backend, Time now);
  /// Notes that a caller sent data again which it first sent at `firstSentAt`.
  void onRetransmittedData(BackendId backend, Time firstSentAt, Time now);
  /// Notes that a caller has received something new from the back end.
  void onAnswer(BackendId backend, Time now);

  /// @return true where new flows should go elsewhere if they can.
  bool isSuspected(BackendId backend, Time now) const;
  bool isDead(BackendId backend) const;
  /// @return false where everything is answered; cheap.
  bool hasSuspects() const { return !pending_.empty(); }

  /// @param backendCount how many back ends there are.
  /// @return back ends to be probed now; each must be answered by onProbe().
  std::vector<BackendId> takeProbes(std::size_t backendCount, Time now);
  /// Takes the result of a probe. @return true where the back end is dead from now on, until an
  /// answer, or until kDeadStateTtl has passed without another such result.
  bool onProbe(BackendId backend, ProbeResult result, Time now);

  /// @return back ends that were heard last and answer, with the time; none that is suspected.
  std::vector<std::pair<BackendId, Time>> respondingBackends(Time now) const;

  /// Forgets a back end that has started anew.
  void remove(BackendId backend);
  /// Call after the process was suspended: what is unanswered since before means nothing, and who
  /// was dead then may live again.
  void onResume();
  /// Call where this daemon was found to reach nothing, and when it does again: what it believed
  /// meanwhile was its own trouble.
  void onReachabilityChanged();
  /// Forgets back ends without recent record, and deaths that were not proven again.
  void expire(Time now);

  const BackendHealthCounters& counters() const { return counters_; }

 private:
  struct Record {
    Time lastActivity{};     ///< Of either kind; for forgetting.
    Time lastResponse{};     ///< Zero: none.
    Time confirmedDeadAt{};  ///< By the last probe that did.
    Time unansweredSince{};  ///< When the first unanswered thing was sent; zero: all answered.
    Time nextProbe{};
    Time probeStartedAt{};
    bool probing = false;
    bool probeValid = false;  ///< What was believed when it began still holds.
    bool dead = false;
  };

  void recordRequest(BackendId backend, Time since, Time now);

  std::unordered_map<BackendId, Record> records_;
  /// Back ends with something unanswered, or dead; few, while `records_` may hold all.
  std::unordered_set<BackendId> pending_;
  BackendHealthCounters counters_;
};

}  // namespace cobaltgauge::core
