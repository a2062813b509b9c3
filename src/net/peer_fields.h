/// @file
/// Field lists of all peer messages. The encoder and the decoder visit the fields in this order,
/// which is the order on the wire.
#pragma once

#include <tuple>
#include <variant>
#include <vector>

#include "core/domains/backend_group.h"
#include "core/load/load_statistics.h"
#include "core/messages.h"
#include "core/view_messages.h"
#include "net/packed_backends.h"

namespace cobaltgauge::net {

/// A client's packet forwarded from one daemon to another.
struct ForwardedPacket {
  core::MemberId ingress = core::kNoMember;
  std::uint8_t hops = 0;
  bool needsListing = false;  ///< The ingress daemon lacks the shard's flow records.
  std::uint16_t protocolType = 0;
  std::vector<std::uint8_t> packet;
};

/// All messages between daemons. The index in this list is the message type on the wire.
using PeerFrame =
    std::variant<core::Ping, core::Ack, core::PingRequest, core::MemberSync,
                 core::ConfigurationRequest, core::ConfigurationTransfer, core::RecordsMessage,
                 core::RecordsAck, core::RouteHint, core::ListingRequest, ForwardedPacket,
                 core::ViewRequest, core::ViewTransfer, core::ViewSubscription, core::ViewUpdate,
                 core::OutlierReport, core::LoadReport, core::LoadSummary,
                 core::UnreachableGroupsNotice, core::ViewPageRequest, core::ViewPage>;

// One overload per message: fieldsOf(m) returns references to the fields of a const or non-const
// `m`.

template <typename M, typename T>
concept IsMessage = std::same_as<std::remove_const_t<M>, T>;

auto fieldsOf(IsMessage<core::Revision> auto& m) { return std::tie(m.era, m.number); }
auto fieldsOf(IsMessage<core::HistoryGap> auto& m) { return std::tie(m.From, m.To); }
auto fieldsOf(IsMessage<core::IpAddress> auto& m) { return std::tie(m.isV6, m.bytes); }
auto fieldsOf(IsMessage<core::Endpoint> auto& m) { return std::tie(m.address, m.port); }
auto fieldsOf(IsMessage<core::MemberIdentity> auto& m) {
  return std::tie(m.id, m.name, m.zone, m.region, m.control);
}
auto fieldsOf(IsMessage<core::MemberUpdate> auto& m) {
  return std::tie(m.identity, m.state, m.incarnation, m.process);
}
auto fieldsOf(IsMessage<core::ConfigurationDigest> auto& m) {
  return std::tie(m.version, m.contentHash);
}
auto fieldsOf(IsMessage<core::ServiceDocument> auto& m) {
  return std::tie(m.name, m.text, m.changedAt);
}
auto fieldsOf(IsMessage<core::BackendAddress> auto& m) {
  return std::tie(m.id, m.service, m.endpoint, m.incarnation);
}
auto fieldsOf(IsMessage<core::FlowRecord> auto& m) { return std::tie(m.fingerprint, m.backend); }
auto fieldsOf(IsMessage<core::ShardKey> auto& m) { return std::tie(m.service, m.shard); }
auto fieldsOf(IsMessage<core::Ping> auto& m) {
  return std::tie(m.sequence, m.viewHash, m.configuration, m.updates);
}
auto fieldsOf(IsMessage<core::Ack> auto& m) {
  return std::tie(m.sequence, m.subject, m.fenced, m.viewHash, m.configuration, m.updates);
}
auto fieldsOf(IsMessage<core::PingRequest> auto& m) { return std::tie(m.sequence, m.target); }
auto fieldsOf(IsMessage<core::MemberSync> auto& m) { return std::tie(m.wantsReply, m.members); }
auto fieldsOf(IsMessage<core::ConfigurationRequest> auto& m) { return std::tie(m.knownVersion); }
auto fieldsOf(IsMessage<core::ConfigurationTransfer> auto& m) {
  return std::tie(m.since, m.digest, m.changed, m.allNames);
}
auto fieldsOf(IsMessage<core::RecordsMessage> auto& m) {
  return std::tie(m.id, m.transfer, m.batchCount, m.purpose, m.shard, m.version, m.authoritative,
                  m.windowMs, m.backends, m.records);
}
auto fieldsOf(IsMessage<core::RecordsAck> auto& m) { return std::tie(m.id); }
auto fieldsOf(IsMessage<core::RouteHint> auto& m) {
  return std::tie(m.fingerprint, m.backend, m.shard, m.version, m.shardIsFinal, m.dirty,
                  m.shardIsListed, m.listing);
}
auto fieldsOf(IsMessage<core::ListingRequest> auto& m) { return std::tie(m.shards); }
auto fieldsOf(IsMessage<core::ViewRequest> auto& m) {
  return std::tie(m.replyTo, m.have, m.viewRequested);
}
auto fieldsOf(IsMessage<PackedBackend> auto& m) {
  return std::tie(m.keySuffix, m.id, m.eraOffset, m.revisionOffset, m.address, m.port, m.service,
                  m.zone, m.softwareVersion, m.capacity, m.draining, m.remainingWarmUpMs,
                  m.startedAtMs, m.updateSequence);
}
auto fieldsOf(IsMessage<PackedBackends> auto& m) {
  return std::tie(m.keyPrefix, m.baseEra, m.baseRevision, m.names, m.backends);
}
auto fieldsOf(IsMessage<core::ViewRoute> auto& m) {
  return std::tie(m.name, m.endpoint, m.services, m.weights, m.kind, m.latencyGoalMs, m.timeoutMs,
                  m.priority, m.allowedRegions);
}
auto fieldsOf(IsMessage<core::ViewService> auto& m) {
  return std::tie(m.name, m.warmUpMs, m.warmUpRateLimit);
}
auto fieldsOf(IsMessage<core::ViewTransfer> auto& m) {
  return std::tie(m.revision, m.ageMs, m.version, m.idleTimeoutMs, m.routes, m.backends, m.peers,
                  m.evacuations, m.services);
}
auto fieldsOf(IsMessage<core::ViewPageRequest> auto& m) {
  return std::tie(m.replyTo, m.afterKey, m.atLeast);
}
auto fieldsOf(IsMessage<core::ViewPage> auto& m) {
  return std::tie(m.sender, m.afterKey, m.revision, m.isLast, m.backends, m.fullViewPeers);
}
auto fieldsOf(IsMessage<core::ViewRemoval> auto& m) { return std::tie(m.key, m.revision); }
auto fieldsOf(IsMessage<core::ViewEvacuation> auto& m) {
  return std::tie(m.key, m.revision, m.zone);
}
auto fieldsOf(IsMessage<core::ViewRouteDelta> auto& m) {
  return std::tie(m.key, m.revision, m.from, m.version, m.idleTimeoutMs, m.changed, m.dropped,
                  m.services);
}
auto fieldsOf(IsMessage<core::ViewSubscription> auto& m) {
  return std::tie(m.replyTo, m.have, m.sentAtUs, m.daemons);
}
auto fieldsOf(IsMessage<core::ViewUpdate> auto& m) {
  return std::tie(m.sender, m.echoUs, m.clockUs, m.confirmedUs, m.readerRank, m.from, m.revision,
                  m.gap, m.leaving, m.full, m.backends, m.removals, m.routes, m.peers, m.outliers,
                  m.evacuations, m.daemons);
}
auto fieldsOf(IsMessage<core::OutlierObservation> auto& m) {
  return std::tie(m.backend, m.reporter);
}
auto fieldsOf(IsMessage<core::OutlierReport> auto& m) { return std::tie(m.observations); }
auto fieldsOf(IsMessage<core::ZoneLoad> auto& m) {
  return std::tie(m.Service, m.Zone, m.InFlight, m.OpeningsInSecond, m.RejectedInSecond);
}
auto fieldsOf(IsMessage<core::LoadReport> auto& m) {
  return std::tie(m.replyTo, m.sentAtUs, m.nextMs, m.ageMs, m.level, m.daemons, m.loads);
}
auto fieldsOf(IsMessage<core::LoadSummary> auto& m) {
  return std::tie(m.sender, m.sentAtUs, m.isReportRequest, m.nextMs, m.ageMs, m.level, m.daemons,
                  m.loads);
}
auto fieldsOf(IsMessage<core::BackendGroup> auto& m) { return std::tie(m.Service, m.Zone); }
auto fieldsOf(IsMessage<core::UnreachableGroupsNotice> auto& m) { return std::tie(m.Groups); }
auto fieldsOf(IsMessage<ForwardedPacket> auto& m) {
  return std::tie(m.ingress, m.hops, m.needsListing, m.protocolType, m.packet);
}

}  // namespace cobaltgauge::net
