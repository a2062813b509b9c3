/// @file
/// The decision logic of one daemon, as a deterministic state machine without input or output:
/// packets, peer messages, configurations and ticks go in; verdicts and messages come out. Time
/// and randomness are passed in. The daemon, the simulator and the tests drive this same class.
///
/// A caller has four duties:
///  1. call onTick() every kTickInterval and before it hands over a batch of packets;
///  2. carry out each Verdict;
///  3. transmit what takeMessages() returns, and hand what arrives to onMessage();
///  4. read the platform while shouldReadPlatform() holds and pass the result to
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

/// What a daemon must be told at start.
struct BalancerOptions {
  MemberIdentity self;
  std::uint64_t process = 0;   ///< Nonce of this process.
  std::uint64_t hashSeed = 0;  ///< Seed of flow fingerprints; equal in the whole cluster.
  std::size_t flowTableEntries = 1U << 16U;
  Duration flowIdleTimeout = std::chrono::minutes(10);
  std::uint32_t newFlowsPerSecond = 0;  ///< Of this daemon over all services; zero: no limit.
};

/// A packet that another daemon passed on.
struct PeerArrival {
  MemberId ingress = kNoMember;  ///< The daemon that first received the packet.
  std::uint8_t hops = 0;         ///< Hops between daemons so far, one or more.
  bool wantsListing = false;     ///< The ingress daemon lacks the shard's recorded flows.
};

/// Counters of one balancer; see docs/METRICS.md.
struct BalancerCounters : VerdictCounters {
  std::uint64_t suspensions = 0;
  std::uint64_t hintsSent = 0;
};

/// Why a flow goes where it goes; for operators.
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

  /// Decides a packet from the fabric.
  Verdict onPacket(const PacketSummary& packet, Time now) override;

  /// Decides a packet that a peer passed on.
  Verdict onPeerPacket(const PacketSummary& packet, const PeerArrival& arrival, Time now);

  /// Handles an authenticated message of a peer.
  void onMessage(MemberId from, const PeerMessage& message, Time now);

  /// Does all timed work.
  void onTick(Time now) override;

  /// Offers a configuration that was read from the platform.
  OfferResult offerConfiguration(ConfigurationDocument document, Time now);

  /// Offers the platform's list of machines; it may lag and is only a list of whom to contact.
  void offerMemberSeeds(std::vector<MemberIdentity> seeds, Time now);

  /// @return true where this daemon is one of its zone's readers of the platform, or on its own.
  bool shouldReadPlatform(Time now) const;

  /// Begins a planned stop: hands shards over and goes on forwarding.
  void beginLeaving(Time now);
  /// @return true where every record that was handed over is acknowledged.
  bool handoverDone() const { return leaving_ && outbox_.unacknowledged() == 0; }
  /// Tells the peers that this daemon is gone; the last message it sends.
  void finishLeaving(Time now);

  std::vector<OutgoingMessage> takeMessages() { return outbox_.take(); }

  std::optional<Explanation> explain(const FlowKey& flow, Time now) const;
  const BackendAddress* findBackend(BackendId id) const { return directory_.find(id); }
  bool isFenced() const { return fence_.isClosed(); }
  const Membership& membership() const { return membership_; }
  const ConfigurationAgent& configuration() const { return agent_; }
  /// @return the version whose placement is in force; it may trail the accepted one by a window.
  ConfigurationVersion activeVersion() const { return activeVersion_; }
  const BalancerCounters& counters() const { return counters_; }
  const FlowTable& flows() const { return flows_; }
  std::size_t recordCount() const { return homes_.recordCount(); }
  const PlacementMap& placements() const { return placements_; }
  std::uint64_t recordsAbandoned() const { return outbox_.abandonedCount(); }

 private:
  /// A packet under decision.
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
  /// @return true where the shard's records are on the other side of a cut.
  bool isPartitioned(const Context& context);
  /// @return true where this replica may lack records that are on their way to the home.
  bool lacksRecentRecords(const Context& context) const;
  Verdict forwardToOldBackend(const Context& context, BackendId backend);
  Verdict forwardToPeer(MemberId peer, const Context& context);
  Verdict startFlow(const Context& context, RouteReason reason);
  std::optional<Refuse> refusalFor(const Context& context, BackendId backend);
  Verdict forward(const Context& context, BackendId backend, RouteReason reason);
  Verdict count(Verdict verdict);
  void sendHint(const Context& context, const BackendAddress& backend);
  /// Marks the buckets whose flows may be in a zone out of reach. @return true where there is one.
  static bool addPartitionedBuckets(const Context& context, ShardBitmap& dirty);

  // One overload per kind of message (balancer_messages.cc).
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
  /// Sends to a member that is known; drops the message where it is not.
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

  /// Address under which callers reach a service.
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
  bool heardFromEstablishedMember_ = false;  ///< And it was not fenced; since the fence closed.
  bool synced_ = false;  ///< An established member has sent its whole member list.
  bool membershipChanged_ = false;
  std::set<MemberId> returnedMembers_;
  bool reportWhenFenceOpens_ = false;
  bool partitioned_ = false;  ///< A whole zone cannot be reached.
  bool hasSeeds_ = false;     ///< The platform named other daemons.
  Time seedsReceivedAt_{};
  bool leaving_ = false;
};

}  // namespace cobaltgauge::core
