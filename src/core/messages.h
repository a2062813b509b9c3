/// @file
/// Typed messages between daemons. The wire form lives in net/peer_codec.h.
#pragma once

#include <cstdint>
#include <iterator>
#include <string>
#include <variant>
#include <vector>

#include "core/configuration.h"
#include "core/home_selector.h"
#include "core/service_placement.h"
#include "core/shard_listing.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Life of a member as its peers see it; higher values win at equal incarnation.
enum class MemberState : std::uint8_t {
  kJoining,  ///< Reachable, not yet able to own shards.
  kAlive,    ///< Full member.
  kLeaving,  ///< Planned stop: still forwards, owns nothing.
  kSuspect,  ///< Did not answer probes; may refute with a higher incarnation.
  kDead,     ///< Suspicion ran out.
  kLeft,     ///< Ended as planned.
};

/// Who a member is; fixed for the life of its process.
struct MemberIdentity {
  MemberId id = kNoMember;
  std::string name;
  std::string zone;
  std::string region;
  Endpoint control;  ///< Where the member listens for peer messages (UDP and TCP).

  bool operator==(const MemberIdentity&) const = default;
};

/// One item of membership gossip.
struct MemberUpdate {
  MemberIdentity identity;
  MemberState state = MemberState::kJoining;
  std::uint32_t incarnation = 0;
  /// Nonce of the process; a restarted daemon of the same name has another one.
  std::uint64_t process = 0;
};

/// Probe of SWIM. `target` differs from the receiver when an indirect probe is asked for.
struct Ping {
  std::uint64_t sequence = 0;
  std::uint64_t viewHash = 0;  ///< Hash over the reachable members the sender knows.
  ConfigurationDigest configuration;
  std::vector<MemberUpdate> updates;
};

/// Answer to a Ping, or to an indirect probe on behalf of `subject`.
struct Ack {
  std::uint64_t sequence = 0;
  MemberId subject = kNoMember;
  bool fenced = false;         ///< The sender's own view may be stale; it confirms nobody else's.
  std::uint64_t viewHash = 0;  ///< Hash over the reachable members the sender knows.
  ConfigurationDigest configuration;
  std::vector<MemberUpdate> updates;
};

/// Asks the receiver to probe `target` and to pass its answer on.
struct PingRequest {
  std::uint64_t sequence = 0;
  MemberUpdate target;
};

/// Whole member list; sent on join and now and then to repair lost gossip.
struct MemberSync {
  bool wantsReply = false;
  std::vector<MemberUpdate> members;
};

/// Asks a peer for everything that changed since a version.
struct ConfigurationRequest {
  ConfigurationVersion knownVersion = 0;
};

/// Services that changed since the requested version, and the names of all services.
struct ConfigurationTransfer {
  ConfigurationVersion since = 0;
  ConfigurationDigest digest;
  std::vector<ServiceDocument> changed;
  std::vector<std::string> allNames;
};

/// One flow that does not follow the current placement of its bucket.
struct FlowRecord {
  FlowFingerprint fingerprint{0};
  BackendId backend = kNoBackend;
};

/// Why flow records are sent.
enum class RecordPurpose : std::uint8_t {
  kListing,      ///< Ingress daemon to home: the old flows it knows in moved buckets.
  kFullListing,  ///< Ingress daemon to home: all flows it knows that need a record.
  kReplica,      ///< One owner to the other: new records.
  kReplicaCopy,  ///< Home to replica: all its records.
  kHandover,     ///< Former home to new home: all its records.
};

/// One batch of a transfer of flow records of one shard. Reliable: resent until a RecordsAck
/// arrives. Batches may arrive in any order; a transfer is complete when all of them did.
struct RecordsMessage {
  std::uint64_t id = 0;
  std::uint64_t transfer = 0;    ///< Unique per sender.
  std::uint32_t batchCount = 1;  ///< Batches of this transfer.
  RecordPurpose purpose = RecordPurpose::kListing;
  ShardKey shard;
  ConfigurationVersion version = 0;  ///< Placement version that the sender has applied.
  bool authoritative = false;        ///< The sender's records were complete (copy and handover).
  std::uint32_t windowMs = 0;        ///< Time left of the sender's listing window (handover).
  std::vector<BackendAddress> backends;  ///< Addresses of the back ends named in `records`.
  std::vector<FlowRecord> records;
};

/// A home without complete records asks a member for all flows it knows that need one.
struct ListingRequest {
  std::vector<ShardKey> shards;
};

/// Acknowledges one RecordsMessage.
struct RecordsAck {
  std::uint64_t id = 0;
};

/// A home's answer to a daemon that passed it a packet: where the flow lives, and which buckets of
/// the shard need no home any more.
struct RouteHint {
  FlowFingerprint fingerprint{0};
  BackendAddress backend;
  ShardKey shard;
  ConfigurationVersion version = 0;
  bool shardIsFinal = false;  ///< False while the home's listing window is open.
  ShardBitmap dirty{};
  /// All recorded flows of the shard, where the ingress daemon asked for them and no others can
  /// exist.
  bool shardIsListed = false;
  ShardListing listing;
};

using PeerMessage =
    std::variant<Ping, Ack, PingRequest, MemberSync, ConfigurationRequest, ConfigurationTransfer,
                 RecordsMessage, RecordsAck, RouteHint, ListingRequest>;

/// @return a name for the kind of message, for metrics and reports.
inline const char* kindName(const PeerMessage& message) {
  constexpr const char* kNames[] = {"ping",
                                    "ack",
                                    "ping_request",
                                    "member_sync",
                                    "configuration_request",
                                    "configuration_transfer",
                                    "records",
                                    "records_ack",
                                    "route_hint",
                                    "listing_request"};
  static_assert(std::size(kNames) == std::variant_size_v<PeerMessage>);
  return kNames[message.index()];
}

/// A message on its way to a peer.
struct OutgoingMessage {
  MemberId to = kNoMember;
  Endpoint destination;
  PeerMessage message;
};

}  // namespace cobaltgauge::core
