#include "core/membership.h"

#include <algorithm>
#include <utility>

#include "core/constants.h"
#include "core/hashing.h"
#include "core/home_selector.h"

namespace cobaltgauge::core {
namespace {

/// One in this many probes targets another zone.
constexpr std::uint64_t kProbesPerRemoteProbe = 4;
/// Interval between attempts to contact dead members and unknown seeds.
constexpr Duration kReconnectInterval = 1000ms;
/// The same while a whole zone is unreachable, so that the end of a network partition is detected
/// before flows of that zone arrive.
constexpr Duration kLostZoneReconnectInterval = 100ms;
/// Daemons per zone that use the shorter interval.
constexpr std::size_t kReconnectorsPerZone = 2;
constexpr Duration kMemberExpiryInterval = 10s;
/// Gossip that reports a member as dead is ignored for this long after direct contact with it.
constexpr Duration kRecentContactTime = 1000ms;

void shuffle(std::vector<MemberId>& ids, Random& random) {
  for (std::size_t i = ids.size(); i > 1; --i) {
    std::swap(ids[i - 1], ids[random.below(i)]);
  }
}

}  // namespace

Membership::Membership(MemberIdentity self, std::uint64_t process, Random& random, Outbox& outbox)
    : self_(std::move(self)), random_(random), outbox_(outbox) {
  list_.merge({self_, MemberState::kJoining, 1, process}, Time{});
}

MemberState Membership::selfState() const { return list_.find(self_.id)->state; }

MemberUpdate Membership::selfUpdate() const { return MemberList::toUpdate(*list_.find(self_.id)); }

ConfigurationDigest Membership::digest() const {
  return digest_ ? digest_() : ConfigurationDigest{};
}

void Membership::announce(MemberState state, Time now) {
  MemberUpdate update = selfUpdate();
  if (update.state == state) {
    return;
  }
  ++update.incarnation;
  update.state = state;
  applyUpdate(update, now);
}

void Membership::applyUpdate(const MemberUpdate& update, Time now, bool propagate) {
  const std::optional<MemberChange> change = list_.merge(update, now);
  if (!change) {
    return;
  }
  if (propagate) {
    gossip_.add(update);
  }
  if (listener_) {
    listener_(*change);
  }
}

bool Membership::refuteIfAboutSelf(const MemberUpdate& update, Time now) {
  if (update.identity.id != self_.id) {
    return false;
  }
  MemberUpdate own = selfUpdate();
  const bool same = update.process == own.process && update.state == own.state;
  if (update.incarnation >= own.incarnation && !same) {
    own.incarnation = update.incarnation + 1;
    applyUpdate(own, now);
  }
  return true;
}

bool Membership::contradictsRecentContact(const MemberUpdate& update, Time now) {
  const auto contact = lastContact_.find(update.identity.id);
  const bool recent = contact != lastContact_.end() && now - contact->second < kRecentContactTime;
  if (update.state != MemberState::kDead || !recent) {
    return false;
  }
  const Member* member = list_.find(update.identity.id);
  if (member != nullptr && isReachable(member->state)) {
    // Forward the update to the member, so that it can refute it.
    outbox_.send(update.identity.id, member->identity.control,
                 Ping{nextSequence_++, list_.viewHash(), digest(), {selfUpdate(), update}});
  }
  return true;
}

void Membership::applyUpdates(const std::vector<MemberUpdate>& updates, Time now,
                              std::optional<MemberId> propagateOnly) {
  for (const MemberUpdate& update : updates) {
    if (!refuteIfAboutSelf(update, now) && !contradictsRecentContact(update, now)) {
      const bool propagate = !propagateOnly || *propagateOnly == update.identity.id;
      applyUpdate(update, now, propagate);
    }
  }
}

std::vector<MemberUpdate> Membership::updatesFor(MemberId receiver) {
  std::vector<MemberUpdate> updates{selfUpdate()};
  const Member* member = list_.find(receiver);
  if (member != nullptr &&
      (!isReachable(member->state) || member->state == MemberState::kSuspect)) {
    // Include the receiver's own state, so that it can refute it.
    updates.push_back(MemberList::toUpdate(*member));
  }
  for (MemberUpdate& update : gossip_.pick(kMaxUpdatesPerMessage, list_.all().size())) {
    if (update.identity.id != self_.id) {
      updates.push_back(std::move(update));
    }
  }
  return updates;
}

std::vector<MemberUpdate> Membership::allUpdates() const {
  std::vector<MemberUpdate> updates;
  updates.reserve(list_.all().size());
  for (const auto& [id, member] : list_.all()) {
    updates.push_back(MemberList::toUpdate(member));
  }
  return updates;
}

std::uint64_t Membership::sendPing(const Member& target) {
  const std::uint64_t sequence = nextSequence_++;
  outbox_.send(target.identity.id, target.identity.control,
               Ping{sequence, list_.viewHash(), digest(), updatesFor(target.identity.id)});
  return sequence;
}

bool Membership::isEstablished(MemberId id) const {
  const Member* member = list_.find(id);
  return member != nullptr && isReachable(member->state) && member->state != MemberState::kJoining;
}

void Membership::requestSync() {
  std::vector<MemberId> peers = list_.reachable();
  std::erase(peers, self_.id);
  std::vector<MemberId> established = peers;
  std::erase_if(established, [this](MemberId id) { return !isEstablished(id); });
  const std::vector<MemberId>& choice = established.empty() ? peers : established;
  if (!choice.empty()) {
    const Member* peer = list_.find(choice[random_.below(choice.size())]);
    outbox_.send(peer->identity.id, peer->identity.control, MemberSync{true, allUpdates()});
  }
}

void Membership::probe(MemberId member) {
  const Member* target = list_.find(member);
  if (target != nullptr) {
    sendPing(*target);
  }
}

void Membership::probeRandomPeers(std::size_t count) {
  std::vector<MemberId> peers = list_.reachable();
  std::erase(peers, self_.id);
  shuffle(peers, random_);
  peers.resize(std::min(peers.size(), count));
  for (const MemberId peer : peers) {
    sendPing(*list_.find(peer));
  }
}

void Membership::onTick(Time now) {
  if (probe_ && !probe_->indirectSent && now - probe_->sentAt >= kDirectProbeTimeout) {
    probe_->indirectSent = true;
    const Member* target = list_.find(probe_->target);
    std::vector<MemberId> helpers = list_.reachable();
    std::erase_if(helpers, [this](MemberId id) { return id == self_.id || id == probe_->target; });
    shuffle(helpers, random_);
    helpers.resize(std::min(helpers.size(), kIndirectProbeCount));
    for (const MemberId helper : helpers) {
      outbox_.send(helper, list_.find(helper)->identity.control,
                   PingRequest{probe_->sequence, MemberList::toUpdate(*target)});
    }
  }
  if (now >= nextProbe_) {
    finishProbe(now);
    startProbe(now);
    nextProbe_ = now + kProbeInterval;
  }
  expireSuspects(now);
  contactUnreachable(now);
  std::erase_if(indirectProbes_, [now](const IndirectProbe& indirect) {
    return now - indirect.sentAt > kProbeInterval;
  });
  if (now >= nextExpiry_) {
    nextExpiry_ = now + kMemberExpiryInterval;
    list_.removeExpired(now);
  }
  std::erase_if(lastContact_,
                [now](const auto& item) { return now - item.second > kRecentContactTime; });
}

void Membership::finishProbe(Time now) {
  if (probe_) {
    suspect(probe_->target, now);
    probe_.reset();
  }
}

void Membership::suspect(MemberId id, Time now) {
  const Member* member = list_.find(id);
  if (member == nullptr || !isReachable(member->state) || member->state == MemberState::kSuspect) {
    return;
  }
  MemberUpdate update = MemberList::toUpdate(*member);
  update.state = MemberState::kSuspect;
  applyUpdate(update, now);
}

void Membership::expireSuspects(Time now) {
  if (list_.suspectCount() == 0) {
    return;
  }
  std::vector<MemberUpdate> expired;
  for (const auto& [id, member] : list_.all()) {
    if (id != self_.id && member.state == MemberState::kSuspect &&
        now - member.stateSince >= kSuspicionTimeout) {
      expired.push_back(MemberList::toUpdate(member));
      expired.back().state = member.leaving ? MemberState::kLeft : MemberState::kDead;
    }
  }
  for (const MemberUpdate& update : expired) {
    applyUpdate(update, now);
  }
}

std::vector<MemberId> Membership::peersInScope(bool sameZone) const {
  std::vector<MemberId> peers;
  for (const auto& [id, member] : list_.all()) {
    const bool inZone = member.identity.zone == self_.zone;
    if (id != self_.id && isReachable(member.state) && inZone == sameZone) {
      peers.push_back(id);
    }
  }
  return peers;
}

std::optional<MemberId> Membership::nextTarget() {
  const bool preferRemote = ++probeCount_ % kProbesPerRemoteProbe == 0;
  for (const bool remote : {preferRemote, !preferRemote}) {
    std::vector<MemberId>& round = remote ? remoteRound_ : zoneRound_;
    for (int refill = 0; refill < 2; ++refill) {
      while (!round.empty()) {
        const MemberId candidate = round.back();
        round.pop_back();
        const Member* member = list_.find(candidate);
        if (member != nullptr && isReachable(member->state)) {
          return candidate;
        }
      }
      round = peersInScope(!remote);
      shuffle(round, random_);
    }
  }
  return std::nullopt;
}

void Membership::startProbe(Time now) {
  const std::optional<MemberId> target = nextTarget();
  if (!target) {
    return;
  }
  probe_ = Probe{*target, sendPing(*list_.find(*target)), now, false};
}

void Membership::contactUnreachable(Time now) {
  if (now < nextReconnect_) {
    return;
  }
  const bool reconnectsOften = list_.hasUnreachableZone(self_.zone) &&
                               isAmongTopRanked(hashName("zone-watcher"), self_.id,
                                                peersInScope(true), kReconnectorsPerZone);
  nextReconnect_ = now + (reconnectsOften ? kLostZoneReconnectInterval : kReconnectInterval);
  std::vector<MemberId> dead;
  for (const auto& [id, member] : list_.all()) {
    if (member.state == MemberState::kDead) {
      dead.push_back(id);
    }
  }
  if (!dead.empty()) {
    probe(dead[random_.below(dead.size())]);
  }
  std::vector<MemberIdentity> missing;
  for (const MemberIdentity& seed : seeds_) {
    if (list_.find(seed.id) == nullptr) {
      missing.push_back(seed);
    }
  }
  if (!missing.empty()) {
    const MemberIdentity& target = missing[random_.below(missing.size())];
    outbox_.send(target.id, target.control, MemberSync{true, allUpdates()});
  }
}

void Membership::compareView(MemberId peer, std::uint64_t viewHash, Time now) {
  if (viewHash == list_.viewHash() || now < nextSync_) {
    return;
  }
  // Gossip may still be propagating; exchange full lists only if the difference persists.
  if (viewDiffersSince_ == Time{}) {
    viewDiffersSince_ = now;
  }
  if (now - viewDiffersSince_ < kMemberSyncInterval) {
    return;
  }
  viewDiffersSince_ = Time{};
  nextSync_ = now + kMemberSyncInterval;
  const Member* member = list_.find(peer);
  if (member != nullptr) {
    outbox_.send(peer, member->identity.control, MemberSync{true, allUpdates()});
  }
}

void Membership::onPing(MemberId from, const Ping& ping, Time now) {
  lastContact_[from] = now;
  applyUpdates(ping.updates, now);
  const Member* sender = list_.find(from);
  if (sender != nullptr) {
    outbox_.send(from, sender->identity.control,
                 Ack{ping.sequence, self_.id, fenced_ && fenced_(), list_.viewHash(), digest(),
                     updatesFor(from)});
  }
}

void Membership::onAck(MemberId from, const Ack& ack, Time now) {
  lastContact_[from] = now;
  applyUpdates(ack.updates, now);
  if (ack.viewHash == list_.viewHash()) {
    viewDiffersSince_ = Time{};
  } else {
    compareView(from, ack.viewHash, now);
  }
  if (probe_ && probe_->sequence == ack.sequence && probe_->target == ack.subject) {
    probe_.reset();
  }
  for (const IndirectProbe& indirect : indirectProbes_) {
    if (indirect.sequence == ack.sequence && indirect.target == from) {
      const Member* requester = list_.find(indirect.requester);
      if (requester != nullptr) {
        outbox_.send(indirect.requester, requester->identity.control,
                     Ack{indirect.requesterSequence,
                         from,
                         true,
                         list_.viewHash(),
                         digest(),
                         {selfUpdate()}});
      }
    }
  }
}

void Membership::onPingRequest(MemberId from, const PingRequest& request, Time now) {
  applyUpdate(request.target, now);
  const Member* target = list_.find(request.target.identity.id);
  if (target != nullptr && target->identity.id != self_.id) {
    indirectProbes_.push_back(
        {sendPing(*target), from, request.sequence, target->identity.id, now});
  }
}

void Membership::onMemberSync(MemberId from, const MemberSync& sync, Time now) {
  // Gossip only the sender's own entry; the other entries have been gossiped already.
  applyUpdates(sync.members, now, from);
  const Member* sender = list_.find(from);
  if (sync.wantsReply && sender != nullptr) {
    outbox_.send(from, sender->identity.control, MemberSync{false, allUpdates()});
  }
}

void Membership::onResume(Time now) {
  probe_.reset();
  indirectProbes_.clear();
  list_.resetStateTimes(now);
  nextProbe_ = now;
  nextReconnect_ = now;
}

}  // namespace cobaltgauge::core
