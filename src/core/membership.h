/// @file
/// Failure detection and membership gossip after SWIM (Das, Gupta, Motivala, "SWIM: Scalable
/// Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002). Probe targets
/// are mostly in the own zone, so the cost of a daemon is constant in the size of the fleet and
/// little of it crosses zones.
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

  /// @param process nonce of this process; another one than that of any earlier process.
  Membership(MemberIdentity self, std::uint64_t process, Random& random, Outbox& outbox);

  /// Registers what to call after each accepted change of a peer or of this daemon.
  void setListener(ChangeListener listener) { listener_ = std::move(listener); }
  /// Registers where the digest on probe traffic comes from.
  void setDigestSource(DigestSource source) { digest_ = std::move(source); }

  /// Registers how to learn whether this daemon's own view may be stale.
  void setFenceSource(FenceSource source) { fenced_ = std::move(source); }

  void onTick(Time now);
  void onPing(MemberId from, const Ping& ping, Time now);
  void onAck(MemberId from, const Ack& ack, Time now);
  void onPingRequest(MemberId from, const PingRequest& request, Time now);
  void onMemberSync(MemberId from, const MemberSync& sync, Time now);

  /// Names daemons that may exist, from the platform's lagging list or the settings. They are
  /// contacted, never believed.
  void setSeeds(std::vector<MemberIdentity> seeds) { seeds_ = std::move(seeds); }

  /// Announces this daemon's own state: kAlive when ready, kLeaving and kLeft at a planned stop.
  void announce(MemberState state, Time now);

  /// Call after this process was suspended: timers that ran out meanwhile mean nothing.
  void onResume(Time now);

  /// Asks a random established member for its whole member list; a joiner that knows only other
  /// joiners asks one of those.
  void requestSync();

  /// @return true where this member has finished joining.
  bool isEstablished(MemberId member) const;

  /// Sends a Ping to one member at once.
  void probe(MemberId member);

  /// Sends a Ping to up to `count` random reachable peers at once.
  void probeRandomPeers(std::size_t count);

  const MemberList& members() const { return list_; }
  const MemberIdentity& self() const { return self_; }
  MemberState selfState() const;
  /// @return the sequence number that the next Ping will carry.
  std::uint64_t nextSequence() const { return nextSequence_; }

 private:
  struct Probe {
    MemberId target = kNoMember;
    std::uint64_t sequence = 0;
    Time sentAt{};
    bool indirectSent = false;
  };
  /// An indirect probe made for another daemon.
  struct IndirectProbe {
    std::uint64_t sequence = 0;
    MemberId requester = kNoMember;
    std::uint64_t requesterSequence = 0;
    MemberId target = kNoMember;
    Time sentAt{};
  };

  /// @param propagate true where peers may not have heard of it.
  void applyUpdate(const MemberUpdate& update, Time now, bool propagate = true);
  /// @param propagateOnly the one member whose update is passed on; all of them where absent.
  void applyUpdates(const std::vector<MemberUpdate>& updates, Time now,
                    std::optional<MemberId> propagateOnly = std::nullopt);
  bool contradictsRecentContact(const MemberUpdate& update, Time now);
  bool refuteIfAboutSelf(const MemberUpdate& update, Time now);
  void finishProbe(Time now);
  void startProbe(Time now);
  void expireSuspects(Time now);
  void contactUnreachable(Time now);
  void suspect(MemberId id, Time now);
  /// Asks a peer for its list where the two have known other members for a while.
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
  std::map<MemberId, Time> lastContact_;  ///< When a member was last heard itself.
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
