/// @file
/// Peer message handlers of the Balancer.
#include "core/balancer.h"

namespace cobaltgauge::core {

void Balancer::onMessage(MemberId from, const PeerMessage& message, Time now) {
  if (fence_.detectsSuspension(now)) {
    resumeAfterSuspension(now);
  }
  lastMessageAt_ = now;
  std::visit([this, from, now](const auto& content) { receive(from, content, now); }, message);
  applyMembershipChanges(now);
}

void Balancer::receive(MemberId from, const Ping& ping, Time now) {
  membership_.onPing(from, ping, now);
  compareDigest(from, ping.configuration);
}

void Balancer::receive(MemberId from, const Ack& ack, Time now) {
  membership_.onAck(from, ack, now);
  compareDigest(from, ack.configuration);
  // Compare with the active version; an accepted one may still wait for a listing window to end.
  const bool upToDate = ack.configuration.version <= activeVersion_;
  const bool trustworthy = !ack.fenced && membership_.isEstablished(from);
  heardFromEstablishedMember_ = heardFromEstablishedMember_ || trustworthy;
  // A fenced or joining peer cannot confirm this view. Until the full member list is known, this
  // daemon could wrongly consider itself the owner of all shards.
  if (ack.subject == from && trustworthy && upToDate && synced_) {
    fence_.onConfirmation(from, ack.sequence);
  }
}

void Balancer::receive(MemberId from, const PingRequest& request, Time now) {
  membership_.onPingRequest(from, request, now);
}

void Balancer::receive(MemberId from, const MemberSync& sync, Time now) {
  membership_.onMemberSync(from, sync, now);
  synced_ = synced_ || membership_.isEstablished(from);
}

void Balancer::receive(MemberId from, const ConfigurationRequest& request, Time) {
  sendTo(from, agent_.makeTransfer(request));
}

void Balancer::receive(MemberId from, const ConfigurationTransfer& transfer, Time now) {
  const OfferResult result = agent_.offerTransfer(transfer);
  if (result == OfferResult::kInvalid && transfer.since != 0) {
    requestConfiguration(from, 0);
  }
  propagateAccepted(result);
  applyPending(now);
}

void Balancer::receive(MemberId from, const RecordsMessage& records, Time now) {
  homes_.onRecords(from, records, placements_, now);
}

void Balancer::receive(MemberId, const RecordsAck& ack, Time) { outbox_.onAck(ack); }

void Balancer::receive(MemberId, const RouteHint& hint, Time now) {
  if (!directory_.learn(hint.backend, now)) {
    return;
  }
  flows_.learn(hint.fingerprint, hint.shard.service, hint.backend.id, now);
  const auto placement = placements_.find(hint.shard.service);
  const bool current =
      placement != placements_.end() && placement->second.version() == hint.version;
  if (hint.shardIsFinal && current) {
    placement->second.settleShard(hint.shard.shard, hint.dirty);
    if (hint.shardIsListed) {
      placement->second.listShard(hint.shard.shard, hint.listing);
    }
  }
}

void Balancer::receive(MemberId from, const ListingRequest& request, Time now) {
  homes_.onListingRequest(from, request, placements_, now);
}

void Balancer::compareDigest(MemberId from, const ConfigurationDigest& digest) {
  if (agent_.isBehind(digest)) {
    requestConfiguration(from, agent_.digest().version);
  }
}

void Balancer::requestConfiguration(MemberId from, ConfigurationVersion knownVersion) {
  sendTo(from, ConfigurationRequest{knownVersion});
}

void Balancer::sendTo(MemberId peer, PeerMessage message) {
  const Member* member = membership_.members().find(peer);
  if (member != nullptr) {
    outbox_.send(peer, member->identity.control, std::move(message));
  }
}

}  // namespace cobaltgauge::core
