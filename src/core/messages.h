/// @file
/// Typed messages between daemons. The wire format is in net/peer_codec.h.
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

/// State of a member; at equal incarnation the higher value takes precedence.
enum class MemberState : std::uint8_t {
  kJoining,  ///< Reachable; may not own shards yet.
  kAlive,    ///< Full member; may own shards.
  kLeaving,  ///< Planned stop: still forwards, owns no shards.
  kSuspect,  ///< Did not respond to probes; can refute with a higher incarnation.
  kDead,     ///< The suspicion timeout expired.
  kLeft,     ///< Completed a planned stop.
};

/// Identity of a member; fixed for the lifetime of its process.
struct MemberIdentity {
  MemberId id = kNoMember;
  std::string name;
  std::string zone;
  std::string region;
  Endpoint control;  ///< Listens for peer messages (UDP and TCP).

  bool operator==(const MemberIdentity&) const = default;
};

/// One membership update.
struct MemberUpdate {
  MemberIdentity identity;
  MemberState state = MemberState::kJoining;
  std::uint32_t incarnation = 0;
  /// Nonce of the process; changes when a daemon restarts.
  std::uint64_t process = 0;
};

/// SWIM probe.
struct Ping {
  std::uint64_t sequence = 0;
  std::uint64_t viewHash = 0;  ///< Hash over the reachable members the sender knows.
  ConfigurationDigest configuration;
  std::vector<MemberUpdate> updates;
};

/// Response to a Ping; `subject` is the member that responded to a direct or indirect probe.
struct Ack {
  std::uint64_t sequence = 0;
  MemberId subject = kNoMember;
  bool fenced = false;         ///< The sender's view may be stale and cannot confirm another view.
  std::uint64_t viewHash = 0;  ///< Hash over the reachable members the sender knows.
  ConfigurationDigest configuration;
  std::vector<MemberUpdate> updates;
};

/// Requests an indirect probe of `target`.
struct PingRequest {
  std::uint64_t sequence = 0;
  MemberUpdate target;
};

/// Full member list; sent on join and to repair lost gossip.
struct MemberSync {
  bool wantsReply = false;
  std::vector<MemberUpdate> members;
};

/// Requests all services that changed since a version.
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

/// Backend of one flow that does not follow the current placement of its bucket.
struct FlowRecord {
  FlowFingerprint fingerprint{0};
  BackendId backend = kNoBackend;
};

/// Why flow records are sent.
enum class RecordPurpose : std::uint8_t {
  kListing,      ///< Ingress daemon to home: known flows in moved buckets that need a record.
  kFullListing,  ///< Ingress daemon to home: all known flows that need a record.
  kReplica,      ///< One owner to the other: new records.
  kReplicaCopy,  ///< Home to replica: all records.
  kHandover,     ///< Former home to new home: all records.
};

/// One batch of a transfer of flow records of one shard. Sent reliably: retransmitted until a
/// RecordsAck arrives. Batches may arrive in any order; a transfer is complete when all batches
/// have arrived.
struct RecordsMessage {
  std::uint64_t id = 0;
  std::uint64_t transfer = 0;    ///< Unique per sender.
  std::uint32_t batchCount = 1;  ///< Batches of this transfer.
  RecordPurpose purpose = RecordPurpose::kListing;
  ShardKey shard;
  ConfigurationVersion version = 0;      ///< Active placement version of the sender.
  bool authoritative = false;            ///< The sender's records are complete (copy, handover).
  std::uint32_t windowMs = 0;            ///< Remaining listing window of the sender (handover).
  std::vector<BackendAddress> backends;  ///< Addresses of the backends in `records`.
  std::vector<FlowRecord> records;
};

/// Sent by a home without complete records: requests all known flows of these shards that need one.
struct ListingRequest {
  std::vector<ShardKey> shards;
};

/// Acknowledges one RecordsMessage.
struct RecordsAck {
  std::uint64_t id = 0;
};

/// Sent by an owner to the ingress daemon that forwarded it a packet: the backend of the flow, and
/// which buckets of the shard no longer need to be resolved by the home.
struct RouteHint {
  FlowFingerprint fingerprint{0};
  BackendAddress backend;
  ShardKey shard;
  ConfigurationVersion version = 0;
  bool shardIsFinal = false;  ///< False while unknown flows may still be old ones.
  ShardBitmap dirty{};
  /// True if `listing` has all recorded flows of the shard; sent on request once it is complete.
  bool shardIsListed = false;
  ShardListing listing;
};

using PeerMessage =
    std::variant<Ping, Ack, PingRequest, MemberSync, ConfigurationRequest, ConfigurationTransfer,
                 RecordsMessage, RecordsAck, RouteHint, ListingRequest>;

/// @return the name of the message type, for metrics and reports.
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

/// A message to send to a peer.
struct OutgoingMessage {
  MemberId to = kNoMember;
  Endpoint destination;
  PeerMessage message;
};

}  // namespace cobaltgauge::core
