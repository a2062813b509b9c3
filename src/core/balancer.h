/// @file
/// Decision logic of one daemon: a deterministic state machine without I/O. Time and randomness are
/// passed in. Used by the daemon, the simulator and the tests.
///
/// The caller must:
///  1. call onTick() every kTickInterval and before each batch of packets;
///  2. execute each Verdict;
///  3. transmit the messages of takeMessages() and pass received ones to onMessage();
///  4. while shouldReadPlatform() returns true, read the platform and pass the result to
///     offerConfiguration() and offerMemberSeeds().
#pragma once

#include <array>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/admission.h"
#include "core/backend_directory.h"
#include "core/configuration_agent.h"
#include "core/fence.h"
#include "core/flow_steering.h"
#include "core/flow_table.h"
#include "core/membership.h"
#include "core/outbox.h"
#include "core/random.h"
#include "core/shard_homes.h"
#include "core/verdict.h"

namespace cobaltgauge::core {

/// Start-up options of a Balancer.
struct BalancerOptions {
  MemberIdentity self;
  std::uint64_t process = 0;   ///< Nonce that identifies this process.
  std::uint64_t hashSeed = 0;  ///< Seed of flow fingerprints; the same on all daemons.
  std::size_t flowTableEntries = 1U << 16U;
  Duration flowIdleTimeout = std::chrono::minutes(10);
  std::uint32_t newFlowsPerSecond = 0;  ///< Limit over all services; zero: no limit.
};

/// Metadata of a packet that was forwarded by another daemon.
struct PeerArrival {
  MemberId ingress = kNoMember;  ///< The daemon that first received the packet.
  std::uint8_t hops = 0;         ///< Hops between daemons so far, at least one.
  bool needsListing = false;     ///< The ingress daemon has no listing of the shard.
};

/// Counters of a Balancer; see docs/METRICS.md.
struct BalancerCounters : VerdictCounters {
  std::uint64_t suspensions = 0;
  std::uint64_t hintsSent = 0;
};

/// Explains the routing of a flow to operators.
struct Explanation {
  std::string service;
  std::size_t bucket = 0;
  std::uint16_t shard = 0;
  bool settled = false;
  BackendId current = kNoBackend;
  BackendId previous = kNoBackend;
  std::optional<BackendId> learned;
  std::optional<BackendId> recorded;
  ShardOwners owners;
  ConfigurationVersion version = 0;
};

class Balancer : public FlowSteering {
 public:
  Balancer(const BalancerOptions& options, ConfigurationCompiler& compiler, Random& random);
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  /// Decides a packet that was received from the network.
  Verdict onPacket(const PacketSummary& packet, Time now) override;

  /// Decides a packet that was forwarded by a peer.
  Verdict onPeerPacket(const PacketSummary& packet, const PeerArrival& arrival, Time now);

  /// Handles an authenticated message from a peer.
  void onMessage(MemberId from, const PeerMessage& message, Time now);

  /// Runs all periodic work.
  void onTick(Time now) override;

  /// Offers a configuration that was read from the platform.
  OfferResult offerConfiguration(ConfigurationDocument document, Time now);

  /// Sets the daemons listed by the platform. The list may be stale; it is only used to contact
  /// peers.
  void offerMemberSeeds(std::vector<MemberIdentity> seeds, Time now);

  /// @return true if this daemon is one of its zone's readers of the platform, or hears no peer.
  bool shouldReadPlatform(Time now) const;

  /// Begins a planned stop: hands over the owned shards and continues to forward.
  void beginShutdown(Time now);
  /// @return true if all handed-over records are acknowledged.
  bool handoverDone() const { return leaving_ && outbox_.unacknowledged() == 0; }
  /// Announces to the peers that this daemon has left; sends its last messages.
  void finishShutdown(Time now);

  std::vector<OutgoingMessage> takeMessages() { return outbox_.take(); }

  std::optional<Explanation> explain(const FlowKey& flow, Time now) const;
  const BackendAddress* findBackend(BackendId id) const { return directory_.find(id); }
  bool isFenced() const { return fence_.isClosed(); }
  const Membership& membership() const { return membership_; }
  const ConfigurationAgent& configuration() const { return agent_; }
  /// @return the version whose placement is active; it may lag behind the accepted version by a
  /// listing window.
  ConfigurationVersion activeVersion() const { return activeVersion_; }
  const BalancerCounters& counters() const { return counters_; }
  const FlowTable& flows() const { return flows_; }
  std::size_t recordCount() const { return homes_.recordCount(); }
  const PlacementMap& placements() const { return placements_; }
  std::uint64_t recordsAbandoned() const { return outbox_.abandonedCount(); }

 private:
  /// Input and lookup results of one packet decision.
  struct Context {
    const PacketSummary& packet;
    const Service& service;
    ServicePlacement& placement;
    FlowFingerprint fingerprint;
    std::size_t bucket;
    ShardKey shard;
    PeerArrival arrival;
    Time now;
  };

  Verdict route(const PacketSummary& packet, const PeerArrival& arrival, Time now);
  Verdict routeUnknown(const Context& context);
  Verdict decideAsHome(const Context& context);
  Verdict decideWhileListing(const Context& context);
  Verdict decideAfterListing(const Context& context);
  /// @return true if the shard's records may be unreachable because of a network partition.
  bool isPartitioned(const Context& context);
  /// @return true if this daemon is not the home and recent listings may not be replicated to it.
  bool lacksRecentRecords(const Context& context) const;
  Verdict forwardToOldBackend(const Context& context, BackendId backend);
  Verdict forwardToPeer(MemberId peer, const Context& context);
  Verdict startFlow(const Context& context, RouteReason reason);
  std::optional<Refuse> refusalFor(const Context& context, BackendId backend);
  Verdict forward(const Context& context, BackendId backend, RouteReason reason);
  Verdict count(Verdict verdict);
  void sendHint(const Context& context, const BackendAddress& backend);
  /// Marks the buckets that may have flows known only to an unreachable zone.
  /// @return true if there are such buckets.
  static bool addPartitionedBuckets(const Context& context, ShardBitmap& dirty);

  // One overload per message type (balancer_messages.cc).
  void receive(MemberId from, const Ping& ping, Time now);
  void receive(MemberId from, const Ack& ack, Time now);
  void receive(MemberId from, const PingRequest& request, Time now);
  void receive(MemberId from, const MemberSync& sync, Time now);
  void receive(MemberId from, const ConfigurationRequest& request, Time now);
  void receive(MemberId from, const ConfigurationTransfer& transfer, Time now);
  void receive(MemberId from, const RecordsMessage& records, Time now);
  void receive(MemberId from, const RecordsAck& ack, Time now);
  void receive(MemberId from, const RouteHint& hint, Time now);
  void receive(MemberId from, const ListingRequest& request, Time now);
  /// Sends to a known member; drops the message if the member is unknown.
  void sendTo(MemberId peer, PeerMessage message);

  void compareDigest(MemberId from, const ConfigurationDigest& digest);
  void requestConfiguration(MemberId from, ConfigurationVersion knownVersion);
  void onMemberChange(const MemberChange& change);
  void applyMembershipChanges(Time now);
  void updatePartition(const std::set<MemberId>& returned, Time now);
  void propagateAccepted(OfferResult result);
  void applyPending(Time now);
  void applyPlacements(const Configuration& configuration, Time now);
  void resumeAfterSuspension(Time now);
  void joinWhenReady(Time now);
  void updateFence(Time now);

  /// Address and protocol under which clients reach a service.
  struct VirtualAddress {
    Endpoint endpoint;
    Protocol protocol;
    bool operator==(const VirtualAddress&) const = default;
  };
  struct VirtualAddressHash {
    std::size_t operator()(const VirtualAddress& address) const;
  };

  BalancerOptions options_;
  Outbox outbox_;
  Membership membership_;
  ConfigurationAgent agent_;
  BackendDirectory directory_;
  FlowTable flows_;
  ShardHomes homes_;
  Fence fence_;
  AdmissionTokenBucket daemonRate_;
  std::shared_ptr<const Configuration> activeConfiguration_;
  ConfigurationVersion activeVersion_ = 0;
  std::unordered_map<VirtualAddress, const Service*, VirtualAddressHash> virtualAddresses_;
  std::unordered_map<ServiceId, AdmissionTokenBucket> serviceRates_;
  PlacementMap placements_;
  std::vector<MemberId> eligible_;
  BalancerCounters counters_;
  Time lastPlacementMove_{};
  Time lastMessageAt_{};
  Time nextFencePing_{};
  Time nextMaintenance_{};
  bool heardFromEstablishedMember_ = false;  ///< An unfenced one, since the fence closed.
  bool synced_ = false;  ///< An established member has sent its full member list.
  bool membershipChanged_ = false;
  std::set<MemberId> rejoinedMembers_;
  bool reportWhenFenceOpens_ = false;
  bool partitioned_ = false;  ///< All members of some zone are unreachable.
  bool hasSeeds_ = false;     ///< The platform listed other daemons.
  Time seedsReceivedAt_{};
  bool leaving_ = false;
};

}  // namespace cobaltgauge::core
