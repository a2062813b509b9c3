/// @file
/// Failure detection and membership gossip based on SWIM (Das, Gupta, Motivala, "SWIM: Scalable
/// Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002). Most probes
/// stay in the daemon's own zone, to limit traffic between zones. The probe load of a daemon does
/// not depend on the size of the fleet.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "core/gossip_queue.h"
#include "core/member_list.h"
#include "core/outbox.h"
#include "core/random.h"
#include "core/types.h"

namespace cobaltgauge::core {

class Membership {
 public:
  using ChangeListener = std::function<void(const MemberChange&)>;
  using DigestSource = std::function<ConfigurationDigest()>;
  using FenceSource = std::function<bool()>;

  /// @param process nonce of this process; must differ from earlier processes of the same name.
  Membership(MemberIdentity self, std::uint64_t process, Random& random, Outbox& outbox);

  /// Sets the callback for each accepted change of a member, including this daemon.
  void setListener(ChangeListener listener) { listener_ = std::move(listener); }
  /// Sets the source of the configuration digest that probe messages carry.
  void setDigestSource(DigestSource source) { digest_ = std::move(source); }

  /// Sets the source of the fenced flag that Acks carry.
  void setFenceSource(FenceSource source) { fenced_ = std::move(source); }

  void onTick(Time now);
  void onPing(MemberId from, const Ping& ping, Time now);
  void onAck(MemberId from, const Ack& ack, Time now);
  void onPingRequest(MemberId from, const PingRequest& request, Time now);
  void onMemberSync(MemberId from, const MemberSync& sync, Time now);

  /// Sets daemons that may exist, from the platform or the settings. They are only contacted, not
  /// added to the member list.
  void setSeeds(std::vector<MemberIdentity> seeds) { seeds_ = std::move(seeds); }

  /// Announces a new state of this daemon: kAlive when ready, kLeaving and kLeft at a planned stop.
  void announce(MemberState state, Time now);

  /// Restarts all timers after this process was suspended.
  void onResume(Time now);

  /// Requests the full member list from a random established member, or from a joining member if no
  /// established one is known.
  void requestSync();

  /// @return true if the member is reachable and has finished joining.
  bool isEstablished(MemberId member) const;

  /// Sends a Ping to one member immediately.
  void probe(MemberId member);

  /// Sends a Ping to up to `count` random reachable peers immediately.
  void probeRandomPeers(std::size_t count);

  const MemberList& members() const { return list_; }
  const MemberIdentity& self() const { return self_; }
  MemberState selfState() const;
  /// @return the sequence number of the next Ping.
  std::uint64_t nextSequence() const { return nextSequence_; }

 private:
  struct Probe {
    MemberId target = kNoMember;
    std::uint64_t sequence = 0;
    Time sentAt{};
    bool indirectSent = false;
  };
  /// A probe sent on behalf of another daemon.
  struct IndirectProbe {
    std::uint64_t sequence = 0;
    MemberId requester = kNoMember;
    std::uint64_t requesterSequence = 0;
    MemberId target = kNoMember;
    Time sentAt{};
  };

  /// @param propagate whether to gossip the update to peers.
  void applyUpdate(const MemberUpdate& update, Time now, bool propagate = true);
  /// @param propagateOnly if set, only the update of this member is gossiped.
  void applyUpdates(const std::vector<MemberUpdate>& updates, Time now,
                    std::optional<MemberId> propagateOnly = std::nullopt);
  bool contradictsRecentContact(const MemberUpdate& update, Time now);
  bool refuteIfAboutSelf(const MemberUpdate& update, Time now);
  void finishProbe(Time now);
  void startProbe(Time now);
  void expireSuspects(Time now);
  void contactUnreachable(Time now);
  void suspect(MemberId id, Time now);
  /// Exchanges full member lists with a peer if the view hashes have differed for
  /// kMemberSyncInterval.
  void compareView(MemberId peer, std::uint64_t viewHash, Time now);
  std::optional<MemberId> nextTarget();
  std::vector<MemberId> peersInScope(bool sameZone) const;
  std::uint64_t sendPing(const Member& target);
  std::vector<MemberUpdate> updatesFor(MemberId receiver);
  MemberUpdate selfUpdate() const;
  std::vector<MemberUpdate> allUpdates() const;
  ConfigurationDigest digest() const;

  MemberIdentity self_;
  Random& random_;
  Outbox& outbox_;
  MemberList list_;
  GossipQueue gossip_;
  ChangeListener listener_;
  DigestSource digest_;
  FenceSource fenced_;
  std::vector<MemberIdentity> seeds_;
  std::optional<Probe> probe_;
  std::vector<IndirectProbe> indirectProbes_;
  std::map<MemberId, Time> lastContact_;  ///< When a member was last heard directly.
  std::vector<MemberId> zoneRound_;
  std::vector<MemberId> remoteRound_;
  std::uint64_t probeCount_ = 0;
  std::uint64_t nextSequence_ = 1;
  Time nextProbe_{};
  Time nextReconnect_{};
  Time nextSync_{};
  Time viewDiffersSince_{};
  Time nextExpiry_{};
};

}  // namespace cobaltgauge::core
