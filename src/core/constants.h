/// @file
/// Sizes and time limits of the decision core, with the reason for each value.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/types.h"

namespace cobaltgauge::core {

using namespace std::chrono_literals;

/// Buckets per service. With 15 back ends one bucket is 0.4% of a back end's share, so the table
/// adds less imbalance than random flow arrival does (see docs/design/001-flow-routing.md).
inline constexpr std::size_t kBucketCount = 4096;

/// Buckets are grouped into shards, each with one home daemon. Sixteen shards keep the number of
/// listing reports per change at (members x 16) while spreading homes over the fleet.
inline constexpr std::size_t kShardCount = 16;
inline constexpr std::size_t kBucketsPerShard = kBucketCount / kShardCount;

/// Longest time a home treats an unknown flow of a moved bucket as an old one. A back end that
/// leaves receives no new flow after this plus the configuration spread time.
inline constexpr Duration kListingWindow = 1000ms;

/// Interval at which the core expects onTick.
inline constexpr Duration kTickInterval = 50ms;

/// A gap between ticks longer than this means that the process was suspended.
inline constexpr Duration kSuspensionGap = 1000ms;

/// How long a fenced daemon waits for a peer before it serves alone.
inline constexpr Duration kFencePeerTimeout = 3000ms;
/// The same for a joiner that knows of peers and hears none: it is more likely cut off than first.
inline constexpr Duration kFenceIsolatedTimeout = 30s;
/// How long a daemon waits for the other side of a healed cut to confirm its view.
inline constexpr Duration kHealConfirmationTimeout = 500ms;

/// Membership protocol period, probe timeouts and suspicion time (SWIM, Das et al. 2002).
inline constexpr Duration kProbeInterval = 300ms;
inline constexpr Duration kDirectProbeTimeout = 100ms;
inline constexpr Duration kSuspicionTimeout = 1200ms;
inline constexpr Duration kMemberSyncInterval = 20s;
/// Dead and left members are remembered this long, so that stale gossip cannot revive them.
inline constexpr Duration kDeadMemberRetention = 600s;
inline constexpr std::size_t kIndirectProbeCount = 3;
inline constexpr std::size_t kMaxUpdatesPerMessage = 8;

/// Resend interval and give-up time of reliable peer messages.
inline constexpr Duration kResendInterval = 200ms;
inline constexpr Duration kResendTimeout = 5000ms;
/// Most flow records in one peer message; 64 records stay below a 1,400-byte datagram.
inline constexpr std::size_t kMaxRecordsPerMessage = 64;

/// How long a new home relays to the previous home while it waits for its records.
inline constexpr Duration kHandoverTimeout = 2000ms;
/// Reports of a move acknowledged this recently may have died with the home, before its replica
/// had them.
inline constexpr Duration kRecentMoveWindow = 10s;
/// How long a home that lost its records waits for the members' listings.
inline constexpr Duration kListingTimeout = 1500ms;

/// A home calls a refusal "not run" only when it has owned the shard for longer than a caller
/// retransmits: MAX_TRANSMIT_SPAN of RFC 7252, section 4.8.2.
inline constexpr Duration kMaxTransmitSpan = 45s;

/// Daemons per zone that read the platform's configuration service.
inline constexpr std::size_t kReadersPerZone = 2;
/// Every daemon reads the platform itself when it heard no peer for this long.
inline constexpr Duration kPeerSilenceTimeout = 3000ms;

/// Longest distance a packet may travel between daemons before it is dropped.
inline constexpr std::uint8_t kMaxPeerHops = 2;

/// Callers of formats with a token send an opening for at most this long.
inline constexpr Duration kOpeningRetryWindow = 1500ms;
/// A back end that leaves an opening or repeated data unanswered for this long is suspected. Below
/// the callers' first repetition (200 ms), above any answer of a back end that listens.
inline constexpr Duration kResponseTimeout = 150ms;
/// The time between two probes of one back end.
inline constexpr Duration kProbeRetryInterval = 1000ms;
/// How long a back end counts as dead after it was proven: until two more probes, 0.3 s each, have
/// ended. A verdict that nothing renews, as where this daemon is held up, must not outlive the end
/// of what caused it.
inline constexpr Duration kDeadStateTtl = 3000ms;
/// How long signs of a back end are remembered.
inline constexpr Duration kHealthRecordTtl = 15s;
/// Back ends of one service that are compared for one opening, drawn at random where there are
/// more; bounds its cost in large services.
inline constexpr std::size_t kPlacementSampleSize = 32;

/// Items of one page of a store's listing, about 100 KB.
inline constexpr std::size_t kStorePageItems = 500;
/// Where the store's history is gone, daemons that are no seeds list everything again within this
/// for each page and daemon at most: a page takes a store's link of 1,000 Mbit/s 0.8 ms.
inline constexpr Duration kListJitterPerPage = 1ms;
/// Time between two openings that one daemon gives a back end with one slot; with more slots it is
/// shorter. Ten daemons fill the queue of a back end with two slots in a tenth of a second, which
/// works off as much meanwhile.
inline constexpr Duration kOpeningPacingInterval = 100ms;
/// The last copy of an opening that a caller sends; it is never left to a later one.
inline constexpr std::uint32_t kMaxOpeningRetransmissions = 2;
/// How long a service without back ends is taken for one whose registrations are on their way.
inline constexpr Duration kEmptyServiceGracePeriod = 1500ms;
/// How long a back end that vanished without a word may still be given flows: where it is all that
/// its service has, and where many vanished together, which means that their registrations lapsed
/// while the store was away. The users' page has them back within this time of the store's return;
/// a back end that left without a word serves on for longer.
inline constexpr Duration kVanishedBackendGracePeriod = 2000ms;

/// How long the store may hold a watch. Its answer, even without a change, shows that the view is
/// the store's; followers of this daemon need to know that well before they read themselves.
inline constexpr std::chrono::milliseconds kWatchMaxWait = 900ms;
/// Wait of the first watch after a lost one. The store may be about to drop its history, and
/// answers such a watch only when its wait is over; an answer proves that nothing was missed.
inline constexpr std::chrono::milliseconds kConfirmWatchMaxWait = 300ms;
/// Wait of the watch that brings a stale first listing up to date: its answer is wanted at once.
inline constexpr std::chrono::milliseconds kCatchUpWatchMaxWait = 1ms;
/// Time-out of a first read of the store; doubled with every third failure in a row, so that a
/// store that is slow is reached in the end, and one that was silent is noticed soon after its
/// return.
inline constexpr Duration kReadTimeout = 250ms;
/// Time beyond its wait that a watch may take.
inline constexpr Duration kWatchTimeoutMargin = 500ms;
inline constexpr std::uint32_t kFailuresPerReadTimeoutDoubling = 3;
inline constexpr std::uint32_t kMaxReadTimeoutDoublings = 3;
/// Wait before a failed read is repeated: doubled likewise, half of it random, and short while a
/// starting daemon has no view at all.
inline constexpr Duration kReadBackoff = 100ms;
inline constexpr Duration kMaxReadBackoff = 800ms;
inline constexpr Duration kStartupReadBackoff = 100ms;
/// What a daemon that hears seeds adds to it for each daemon that it knows beyond a small fleet's:
/// seeds try as before and tell it when the store serves them. kMaxViewPeers are known of a large
/// fleet, which gives kMaxReadBackoff.
inline constexpr std::size_t kSmallFleetPeers = 8;
inline constexpr Duration kStartupReadBackoffPerPeer = 30ms;
/// The same after kFailuresBeforeSeedBackoff failures in a row, on a daemon that hears a seed:
/// seeds try as well and pass on what they read. Half of it random; the time in which a change has
/// to be in force on the strictest fleets, so that a store that serves this daemon alone is noticed
/// in time.
inline constexpr Duration kReadBackoffWithSeed = 3000ms;
inline constexpr std::uint32_t kFailuresBeforeSeedBackoff = 1;
/// Time that a daemon which hears a seed leaves after a read, so that it learns of a daemon to
/// follow before it reads again: two questions kPeerQueryInterval apart and a busy seed's answer.
/// Its next watch waits so much less.
inline constexpr std::chrono::milliseconds kReadHoldOff = 500ms;
/// A daemon whose seeds read in vain makes its own first try at a random time within this for each
/// daemon that it knows, kReadBackoffWithSeed at most: ten tries a second over a small fleet.
inline constexpr Duration kFirstReadJitterPerPeer = 100ms;
/// The same for its later tries: two or three a second over the fleet. A daemon knows no more than
/// kMaxViewPeers others, so the span is bounded; larger fleets try more often, not less.
inline constexpr Duration kReadJitterPerPeer = 400ms;
inline constexpr Duration kMaxReadJitter = 12s;
/// A seed that has answered within this time counts as one that tries.
inline constexpr Duration kSeedLivenessWindow = 1500ms;
/// A stale first listing is brought up to date by a seed, where one answers within this time and no
/// packet waits: machines of a fleet start within 0.3 s of each other, and a tick passes between
/// two questions.
inline constexpr Duration kPeerCatchUpTimeout = 700ms;
/// Changes that follow each other within kBurstGap are a burst; the watch that follows one begins
/// later and waits only this long, so that a burst costs few reads. Pause and watch together take
/// as long as any watch, since its answer is a sign of life. A single change is taken at once.
inline constexpr Duration kBurstGap = 1000ms;
inline constexpr std::chrono::milliseconds kPostBurstWatchMaxWait = 100ms;
/// How long every change is taken at once after a packet could not be decided for want of a back
/// end that may just be registering.
inline constexpr Duration kUrgentChangeWindow = 1000ms;
/// A starting daemon asks peers when the store has answered nothing for this long.
inline constexpr Duration kStoreStartupTimeout = 250ms;
/// A daemon with a view asks peers for a newer one when the store has failed it for this long.
inline constexpr Duration kStoreSilenceTimeout = 1500ms;
inline constexpr Duration kPeerQueryInterval = 400ms;
/// What a daemon gives of whole views in a second, in units of about 16 KB: 1 MB, which a small
/// machine's link still carries. Who asks beyond that is told of other peers. After most daemons
/// were killed during an outage the few others are all that the rest can get a view from.
inline constexpr std::uint32_t kViewUnitsPerSecond = 64;
/// Back ends and routes in one unit; each takes about 60 to 100 bytes.
inline constexpr std::size_t kItemsPerViewUnit = 200;
/// Peers asked at once, and peers remembered.
inline constexpr std::size_t kPeersPerQuery = 2;
inline constexpr std::size_t kMaxViewPeers = 32;

/// A view counts as current for this long after it was confirmed. Longer than kWatchMaxWait, so
/// that one confirmation follows the other, and well below the time in which changes must be in
/// force.
inline constexpr Duration kViewFreshnessPeriod = 1400ms;

// Readiness; see docs/design/011-failure-domains.md.

/// Back ends without an answer, and back ends whose probes time out, before a daemon says that it
/// can't serve: one may be dead, two may be of one machine or have lost packets on the way.
inline constexpr std::size_t kMinUnresponsiveForNotReady = 2;
inline constexpr std::size_t kMinFailedProbesForNotReady = 3;
/// Time between two rounds of probes, of kMinFailedProbesForNotReady before a daemon leaves and of
/// one while it is out: four connections a second, and routers, who ask twice a second, have it
/// back within a second of the heal.
inline constexpr Duration kReadinessProbeInterval = 250ms;
/// How long such a probe waits: as long as for any answer of a back end that listens. A probe that
/// gives up too early takes a daemon out for one more probe.
inline constexpr Duration kReadinessProbeTimeout = kResponseTimeout;
/// A daemon that is back stays for at least this long: routers, who need two questions half a
/// second apart, see each change, and none more often than each other second.
inline constexpr Duration kMinReadyTime = 2000ms;
/// Services that had an opening here within this time are those that the daemon has to serve.
inline constexpr Duration kActiveServiceWindow = 10s;
/// A gap between ticks, 200 ms apart, in which probes may have run out unread.
inline constexpr Duration kReadinessStallGap = 400ms;
/// Bound of what is remembered.
inline constexpr std::size_t kMaxUnansweredTracked = 256;

// Back ends that die together; see docs/design/011-failure-domains.md.

/// Distinct members of a group that take no connection, while none answers, before the rest comes
/// last: of a group with a third of its members dead three drawn ones are so once in 27 times.
inline constexpr std::size_t kGroupUnreachableThreshold = 4;
/// How often one member is tried again by a probe, and how long a verdict holds without news: two
/// probes may be lost.
inline constexpr Duration kGroupProbeInterval = 500ms;
inline constexpr Duration kGroupUnreachableTtl = 1500ms;
/// How long a probe of a member waits. A verdict of a group is not taken back as soon as one that
/// says that nothing is reached, so it waits twice as long.
inline constexpr Duration kGroupProbeTimeout = 2 * kReadinessProbeTimeout;
/// How often other daemons can have one group probed, and the groups of one notice: four
/// connections a second for each, whoever asks.
inline constexpr Duration kGroupNoticeInterval = 1000ms;
inline constexpr std::size_t kMaxGroupsPerNotice = 16;

// Following a peer; see docs/design/005-view-relay.md.

/// The limits below fit changes that have to be in force everywhere within this time.
inline constexpr Duration kChangePropagationDeadline = 3000ms;
/// A follower whose view may be this old asks other peers; a sign of life comes each kWatchMaxWait.
inline constexpr Duration kPeerQueryViewAge = 1150ms;
/// A view that may be this old is read from the store. Seeds, which others follow, are earlier, so
/// that one of them is there before the rest read as well; followers have asked a seed twice by
/// then. Changes must be in force within 3 s.
inline constexpr Duration kSeedReadViewAge = 1200ms;
inline constexpr Duration kFollowerReadViewAge = 1750ms;
/// A seed that answers with a view older than kSeedReadViewAge and this has tried the store and has
/// not been served: a tick and a short read.
inline constexpr Duration kSeedReadAttemptWindow = 250ms;
/// A follower renews its subscription this often, and is forgotten after the lease.
inline constexpr Duration kSubscriptionRenewInterval = 1500ms;
inline constexpr Duration kSubscriptionLease = 4000ms;
/// How often a seed whose reading goes well looks for a reader that ranks before it.
inline constexpr Duration kSeedQueryInterval = 2000ms;
/// Two signs of life without a change are at least this far apart.
inline constexpr Duration kMinKeepaliveInterval = 300ms;
/// How long the relation to a peer's clock is kept after it was last heard in answer.
inline constexpr Duration kClockOffsetTtl = 10s;
// Outlier detection; see docs/design/006-outlier-detection.md.

/// An answer that a caller has not begun to receive after this long is late. Ten times what a busy
/// back end with a full queue takes, and below half of any caller's patience.
inline constexpr Duration kLateResponseThreshold = 600ms;
/// So many different daemons have to see late answers within this time.
inline constexpr std::size_t kMinOutlierReporters = 2;
inline constexpr Duration kOutlierEvidenceWindow = 2000ms;
/// How long a verdict holds without new evidence; then the back end is tried again.
inline constexpr Duration kOutlierEjectionTime = 4000ms;
/// A daemon with fewer answers for each late one suspects itself and reports nothing.
inline constexpr std::uint64_t kMinResponsesPerLate = 3;
/// Where more than one back end in so many is an outlier, the cause lies elsewhere: none counts.
inline constexpr std::size_t kMinBackendsPerOutlier = 3;
/// Bounds of what is remembered and sent; a busy daemon has about 1,000 answers due at a time.
inline constexpr std::size_t kMaxPendingResponses = 8192;
inline constexpr std::size_t kMaxObservations = 64;
inline constexpr std::size_t kMaxReportedOutliers = 64;

/// A back end whose answers take this many times longer than is usual in its service is slow: above
/// what the spread of answers gives a running mean of a few.
inline constexpr double kSlowLatencyRatio = 2.0;
/// A back end counts as slower than that by no more; one that hangs is an outlier.
inline constexpr double kMaxLatencyRatio = 8.0;
inline constexpr std::uint32_t kMinResponsesForMean = 3;
/// How long an answer tells about its back end; then it is tried again.
inline constexpr Duration kResponseTimeTtl = 3000ms;

// Tokens that hold an address; see docs/design/007-tokens-that-reach.md.

/// Tokens of so many hosts have to agree on a port. A port that is not theirs fits them once in
/// 65,536 times.
inline constexpr std::size_t kMinHostsForPort = 4;
/// Hosts that are looked at before the search is given up.
inline constexpr std::size_t kMaxHostsForPort = 16;
/// Ports of back ends that are tried for a token of an unknown back end.
inline constexpr std::size_t kMaxCandidatePorts = 4;

/// Where more than one registration in so many of a service vanishes without a word, they lapsed.
inline constexpr std::size_t kMassExpiryRatio = 3;

// Back ends that are cold; see docs/design/010-shifted-work.md.

/// Share of what a cold back end bears that the fleet means to use. The users' rule allows half as
/// much again as it bears, and more; what is left is for chance and for daemons not known of.
inline constexpr double kWarmUpShare = 1.0 / 3;
/// Openings of a second that the rule counts, and how much further apart they may arrive than they
/// were sent on.
inline constexpr Duration kWarmUpWindow = 1100ms;
/// Daemons that are taken for granted where nobody has counted them: above the users' target of
/// 750.
inline constexpr std::uint32_t kMaxFleetSize = 1000;
/// For how long, twice at most, a count of daemons is remembered; longer than any cut of a day.
inline constexpr Duration kFleetCountTtl = 30s;
/// A tree of followers has grown after this long: each of its levels renews within
/// kSubscriptionRenewInterval, and a daemon finds one to follow in a few questions.
inline constexpr Duration kFleetCountSettleTime = 6s;

/// Daemons that follow one daemon. Three seeds and two levels below them carry 3,000; each sign of
/// life takes the processor about 10 us a follower.
inline constexpr std::size_t kMaxFollowers = 32;
/// Of those, daemons of one network that is not the followed one's own. Two, so that one may die.
inline constexpr std::size_t kMaxRemoteFollowers = 2;
/// Peers that are drawn at random to ask the nearest of them.
inline constexpr std::size_t kPeerSampleSize = 8;
/// Followers that an answer names, so that daemons know of others than the seeds.
inline constexpr std::size_t kAdvertisedPeers = 4;
/// Items that one update carries; who lacks more asks for the rest part by part, so that a daemon
/// never sends all of its followers more than this at once. An item has about 100 bytes. A single
/// change with more, or a listing's, is left out of the log: followers read it from the store.
inline constexpr std::size_t kMaxBatchItems = 128;
/// Items that a log keeps, about 300 bytes each, and that are passed on at most: 100 KB to each of
/// kMaxFollowers are over a second of a small machine's link, and bytes between zones cost more
/// than reads from there on.
inline constexpr std::size_t kMaxLogItems = 1024;
inline constexpr std::size_t kMaxLogBatches = 256;

}  // namespace cobaltgauge::core
