/// @file
/// What this daemon believes of the life of back ends. Signs come from the callers' packets alone:
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

#include "core/probe/failure_probe.h"
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
  void onRepeatedData(BackendId backend, Time firstSentAt, Time now);
  /// Notes that a caller has received something new from the back end.
  void onAnswer(BackendId backend, Time now);

  /// @return true where new flows should go elsewhere if they can.
  bool isSuspected(BackendId backend, Time now) const;
  bool isDead(BackendId backend) const;
  /// @return false where everything is answered; cheap.
  bool hasSuspects() const { return !open_.empty(); }

  /// @param known how many back ends there are.
  /// @return back ends to be probed now; each must be answered by onProbe().
  std::vector<BackendId> takeProbes(std::size_t known, Time now);
  /// Takes the result of a probe. @return true where the back end is dead from now on, until an
  /// answer, or until kDeathHolds has passed without another such result.
  bool onProbe(BackendId backend, ProbeResult result, Time now);

  /// @return back ends that were heard last and answer, with the time; none that is suspected.
  std::vector<std::pair<BackendId, Time>> answering(Time now) const;

  /// Forgets a back end that has started anew.
  void forget(BackendId backend);
  /// Call after the process was suspended: what is unanswered since before means nothing, and who
  /// was dead then may live again.
  void onResume();
  /// Call where this daemon was found to reach nothing, and when it does again: what it believed
  /// meanwhile was its own trouble.
  void onReachChanged();
  /// Forgets back ends without recent signs, and deaths that were not proven again.
  void expire(Time now);

  const BackendHealthCounters& counters() const { return counters_; }

 private:
  struct Signs {
    Time lastSign{};         ///< Of either kind; for forgetting.
    Time lastAnswer{};       ///< Zero: none.
    Time provenDeadAt{};     ///< By the last probe that did.
    Time unansweredSince{};  ///< When the first unanswered thing was sent; zero: all answered.
    Time nextProbe{};
    Time probeBegan{};
    bool probing = false;
    bool probeCounts = false;  ///< What was believed when it began still holds.
    bool dead = false;
  };

  void ask(BackendId backend, Time since, Time now);

  std::unordered_map<BackendId, Signs> signs_;
  /// Back ends with something unanswered, or dead; few, while `signs_` may hold all.
  std::unordered_set<BackendId> open_;
  BackendHealthCounters counters_;
};

}  // namespace cobaltgauge::core
