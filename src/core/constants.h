/// @file
/// Sizes, limits and durations of the core.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/types.h"

namespace cobaltgauge::core {

using namespace std::chrono_literals;

/// Hash buckets per service; see docs/design/001-flow-routing.md. With 15 backends, one bucket is
/// 0.4% of a backend's share, so the table adds less imbalance than random flow arrival.
inline constexpr std::size_t kBucketCount = 4096;

/// Shards that the buckets are divided into. Each shard has one home daemon. A change causes 16
/// listing reports per member.
inline constexpr std::size_t kShardCount = 16;
inline constexpr std::size_t kBucketsPerShard = kBucketCount / kShardCount;

/// Longest time for which a home treats an unknown flow of a moved bucket as an existing flow. A
/// backend that drains gets no new flow after this plus the time in which the configuration
/// spreads.
inline constexpr Duration kListingWindow = 1000ms;

/// Interval at which onTick is to be called.
inline constexpr Duration kTickInterval = 50ms;

/// A longer gap between two ticks means that the process was suspended.
inline constexpr Duration kSuspensionGap = 1000ms;

/// How long a fenced daemon waits for a peer before it serves alone.
inline constexpr Duration kFencePeerTimeout = 3000ms;
/// The same for a daemon that joins, knows of peers and receives nothing from them. It is more
/// likely partitioned than the first daemon.
inline constexpr Duration kFenceIsolatedTimeout = 30s;
/// How long a daemon waits for the other side of a recovered network partition to confirm its view.
inline constexpr Duration kRecoveryConfirmationTimeout = 500ms;

/// Protocol period of the membership protocol, time without an Ack after which indirect probes are
/// sent, and time after which a suspect that has not refuted counts as dead (SWIM, Das et al.
/// 2002).
inline constexpr Duration kProbeInterval = 300ms;
inline constexpr Duration kDirectProbeTimeout = 100ms;
inline constexpr Duration kSuspicionTimeout = 1200ms;
/// How long the view hashes of two daemons must differ before they exchange full member lists, and
/// minimum time between two such exchanges.
inline constexpr Duration kMemberSyncInterval = 20s;
/// Retention of dead and departed members, so that stale gossip cannot add them again.
inline constexpr Duration kDeadMemberRetention = 600s;
/// Maximum number of members that send an indirect probe for one failed direct probe.
inline constexpr std::size_t kIndirectProbeCount = 3;
/// Maximum number of queued membership updates in one probe message.
inline constexpr std::size_t kMaxUpdatesPerMessage = 8;

/// Resend interval and total timeout of reliable peer messages.
inline constexpr Duration kResendInterval = 200ms;
inline constexpr Duration kResendTimeout = 5000ms;
/// Maximum number of flow records in one peer message; they fit into a datagram of 1,400 bytes.
inline constexpr std::size_t kMaxRecordsPerMessage = 64;

/// How long a new home relays to the previous home while it waits for the flow records.
inline constexpr Duration kHandoverTimeout = 2000ms;
/// How long after a move of buckets a replica may lack flows that were reported to the home.
inline constexpr Duration kRecentMoveWindow = 10s;
/// How long a home that lost its records waits for the listings of the members.
inline constexpr Duration kListingTimeout = 1500ms;

/// MAX_TRANSMIT_SPAN of RFC 7252, section 4.8.2. A home reports a request as not executed only if
/// it has owned the shard for longer than this.
inline constexpr Duration kMaxTransmitSpan = 45s;

/// Daemons per zone that read the configuration service of the platform.
inline constexpr std::size_t kReadersPerZone = 2;
/// A daemon that received nothing from any peer for this long reads the platform itself.
inline constexpr Duration kPeerSilenceTimeout = 3000ms;

/// Maximum number of times that a packet is forwarded between daemons.
inline constexpr std::uint8_t kMaxPeerHops = 2;

/// Clients of formats with a token retransmit a connection attempt for at most this long.
inline constexpr Duration kOpeningRetryWindow = 1500ms;
/// A backend that leaves a connection attempt or retransmitted data unanswered for longer is
/// suspected. Shorter than the initial retransmission timeout of clients (200 ms). Longer than any
/// response of a backend that listens takes.
inline constexpr Duration kResponseTimeout = 150ms;
/// Time between two probes of one backend.
inline constexpr Duration kProbeRetryInterval = 1000ms;
/// How long a backend is considered dead after a failed probe that confirmed it. Covers two more
/// probes. A state that nothing confirms, for example while this daemon is delayed, must not
/// outlive its cause.
inline constexpr Duration kDeadStateTtl = 3000ms;
/// How long the health record of a backend without activity is kept.
inline constexpr Duration kHealthRecordTtl = 15s;
/// Maximum number of backends of one service that are compared for a connection attempt. Larger
/// services are sampled at random.
inline constexpr std::size_t kPlacementSampleSize = 32;

/// Items in one page of a store listing, about 100 KB.
inline constexpr std::size_t kStorePageItems = 500;
/// Maximum random delay, per page and daemon, before daemons that are no seeds list the store again
/// after it lost its history. A page occupies a store link of 1,000 Mbit/s for 0.8 ms.
inline constexpr Duration kListJitterPerPage = 1ms;
/// Minimum time between two connection attempts that one daemon forwards to a backend with one
/// slot. Divided by the number of slots. Ten daemons fill the queue of a backend with two slots in
/// this time, in which it works off as much.
inline constexpr Duration kOpeningPacingInterval = 100ms;
/// Retransmission number of the last copy of a connection attempt that a client sends. This copy is
/// never dropped for pacing.
inline constexpr std::uint32_t kMaxOpeningRetransmissions = 2;
/// How long connection attempts to a service without backends are dropped rather than refused,
/// because registrations may be pending.
inline constexpr Duration kEmptyServiceGracePeriod = 1500ms;
/// How long a backend that was removed without announcing its shutdown may still receive flows, if
/// its service has no other backend or many were removed together. Their registrations may have
/// expired while the store was unavailable. Live backends register again within this time after the
/// store is back.
inline constexpr Duration kUnannouncedRemovalGracePeriod = 2000ms;

/// Maximum time for which the store may hold a watch. A response without changes confirms that the
/// view is current. Followers need the confirmation well before they would read the store
/// themselves.
inline constexpr std::chrono::milliseconds kWatchMaxWait = 900ms;
/// Wait of the first watch after a lost one. A response proves that no change was missed. A store
/// that is about to discard its history responds to such a watch only after its wait.
inline constexpr std::chrono::milliseconds kConfirmWatchMaxWait = 300ms;
/// Wait of the watch that brings a stale first listing up to date.
inline constexpr std::chrono::milliseconds kCatchUpWatchMaxWait = 1ms;
/// Initial timeout of a store read. Doubled after every kFailuresPerReadTimeoutDoubling consecutive
/// failures, at most kMaxReadTimeoutDoublings times. So a slow store is read in the end, and the
/// return of a silent one is noticed soon.
inline constexpr Duration kReadTimeout = 250ms;
/// Time that a watch may take in addition to its wait.
inline constexpr Duration kWatchTimeoutMargin = 500ms;
inline constexpr std::uint32_t kFailuresPerReadTimeoutDoubling = 3;
inline constexpr std::uint32_t kMaxReadTimeoutDoublings = 3;
/// Exponential backoff after a failed read, half of it random. A starting daemon without a view
/// uses kStartupReadBackoff.
inline constexpr Duration kReadBackoff = 100ms;
inline constexpr Duration kMaxReadBackoff = 800ms;
inline constexpr Duration kStartupReadBackoff = 100ms;
/// Added to kStartupReadBackoff, up to kMaxReadBackoff, for each known daemon beyond
/// kSmallFleetPeers, on a daemon that receives messages from seeds. Seeds retry without this delay
/// and tell the daemon when the store serves them.
inline constexpr std::size_t kSmallFleetPeers = 8;
inline constexpr Duration kStartupReadBackoffPerPeer = 30ms;
/// Backoff after more than kFailuresBeforeSeedBackoff consecutive failures on a daemon that
/// receives messages from a seed, which also reads the store. Half of it is random. No longer than
/// changes may take to be in effect on the strictest fleets, so that a store that serves this
/// daemon alone is noticed in time.
inline constexpr Duration kReadBackoffWithSeed = 3000ms;
inline constexpr std::uint32_t kFailuresBeforeSeedBackoff = 1;
/// Pause after a read on a daemon that receives messages from a seed, so that it can find a daemon
/// to follow before it reads again. The wait of the next watch is shortened by the same time.
/// Covers two queries kPeerQueryInterval apart and the response of a busy seed.
inline constexpr std::chrono::milliseconds kReadHoldOff = 500ms;
/// Random delay, per known daemon, before the first read of a daemon whose seeds fail to read the
/// store. Limited to kReadBackoffWithSeed. Ten reads per second over a small fleet.
inline constexpr Duration kFirstReadJitterPerPeer = 100ms;
/// The same for later reads. Limited to kMaxReadJitter. Two or three reads per second over the
/// fleet; more if it is larger than kMaxViewPeers.
inline constexpr Duration kReadJitterPerPeer = 400ms;
inline constexpr Duration kMaxReadJitter = 12s;
/// A seed that responded within this time is assumed to be reading the store.
inline constexpr Duration kSeedLivenessWindow = 1500ms;
/// How long a daemon with a stale first listing waits for a seed to bring it up to date, unless a
/// packet is waiting. Daemons of a fleet start within 0.3 s of each other.
inline constexpr Duration kPeerCatchUpTimeout = 700ms;
/// Changes at most this far apart form a burst. The next watch is then delayed and waits for
/// kPostBurstWatchMaxWait only, which reduces the number of reads. Delay and wait together take as
/// long as any watch, since its response is a sign of life. A single change is read at once.
inline constexpr Duration kBurstGap = 1000ms;
inline constexpr std::chrono::milliseconds kPostBurstWatchMaxWait = 100ms;
/// How long changes are read without delay after a packet lacked a backend that may be registering.
inline constexpr Duration kUrgentChangeWindow = 1000ms;
/// A starting daemon queries peers if the store has not responded for this long.
inline constexpr Duration kStoreStartupTimeout = 250ms;
/// A daemon with a view queries peers for a newer one if the store has failed for this long.
inline constexpr Duration kStoreSilenceTimeout = 1500ms;
inline constexpr Duration kPeerQueryInterval = 400ms;
/// Rate limit for sending complete views, in units of about 16 KB. Requests beyond it are referred
/// to other peers. This is 1 MB/s, which the link of a small machine bears. If most daemons were
/// killed while the store is away, the others can get a view only from the rest.
inline constexpr std::uint32_t kViewUnitsPerSecond = 64;
/// Backends and routes in one unit, at 60 to 100 bytes each.
inline constexpr std::size_t kItemsPerViewUnit = 200;
/// Maximum number of peers that are queried at once, and of known peers.
inline constexpr std::size_t kPeersPerQuery = 2;
inline constexpr std::size_t kMaxViewPeers = 32;

/// How long a view is considered current after it was confirmed. Longer than kWatchMaxWait, so that
/// successive confirmations overlap. Well below the time within which changes must be in effect.
inline constexpr Duration kViewFreshnessPeriod = 1400ms;

// Readiness; see docs/design/011-failure-domains.md.

/// Minimum number of unresponsive backends, and of backends whose probes time out, before a daemon
/// reports that it is not ready. One backend may be dead; two may share a host or have lost
/// packets.
inline constexpr std::size_t kMinUnresponsiveForNotReady = 2;
inline constexpr std::size_t kMinFailedProbesForNotReady = 3;
/// Time between two rounds of readiness probes. A round has kMinFailedProbesForNotReady probes
/// while the daemon is ready and one while it is not. Causes four connections per second, and a
/// daemon is ready within a second after the end of a partition.
inline constexpr Duration kReadinessProbeInterval = 250ms;
inline constexpr Duration kReadinessProbeTimeout = kResponseTimeout;
/// Minimum time for which a daemon stays ready. Routers query readiness every 500 ms and act on two
/// equal results.
inline constexpr Duration kMinReadyTime = 2000ms;
/// Only services with a connection attempt within this time count for readiness.
inline constexpr Duration kActiveServiceWindow = 10s;
/// After a longer gap between ticks, probes may have timed out with their results unread.
inline constexpr Duration kReadinessStallGap = 400ms;
/// Maximum number of backends that are tracked as unresponsive.
inline constexpr std::size_t kMaxUnansweredTracked = 256;

// Groups of backends that fail together; see docs/design/011-failure-domains.md.

/// Number of distinct members that must fail to accept a connection, while none responds, before
/// the group is deprioritized. In a group with a third of its members dead, three random members
/// are all dead once in 27 times.
inline constexpr std::size_t kGroupUnreachableThreshold = 4;
/// Interval at which one member is probed again, and lifetime of the unreachable state without a
/// new probe result. The lifetime tolerates two lost probes.
inline constexpr Duration kGroupProbeInterval = 500ms;
inline constexpr Duration kGroupUnreachableTtl = 1500ms;
inline constexpr Duration kGroupProbeTimeout = 2 * kReadinessProbeTimeout;
/// Minimum time between two probes of one group that are caused by notices of other daemons, and
/// maximum number of groups in a notice. Limits the connections that notices cause to four per
/// second for each group.
inline constexpr Duration kGroupNoticeInterval = 1000ms;
inline constexpr std::size_t kMaxGroupsPerNotice = 16;

// Following a peer; see docs/design/005-view-relay.md.

/// Time within which a change must be in effect on all daemons.
inline constexpr Duration kChangePropagationDeadline = 3000ms;
/// Age of the view at which a follower queries other peers.
inline constexpr Duration kPeerQueryViewAge = 1150ms;
/// Age of the view at which it is read from the store. Seeds read first, so that followers can get
/// the view from them.
inline constexpr Duration kSeedReadViewAge = 1200ms;
inline constexpr Duration kFollowerReadViewAge = 1750ms;
/// A seed that responds with a view older than kSeedReadViewAge plus this has failed to read the
/// store.
inline constexpr Duration kSeedReadAttemptWindow = 250ms;
/// Interval at which a follower renews its subscription, and lifetime of a subscription that is not
/// renewed.
inline constexpr Duration kSubscriptionRenewInterval = 1500ms;
inline constexpr Duration kSubscriptionLease = 4000ms;
/// Interval at which a seed that reads the store checks for a reader of higher rank.
inline constexpr Duration kSeedQueryInterval = 2000ms;
/// Minimum time between two keepalives without a change.
inline constexpr Duration kMinKeepaliveInterval = 300ms;
/// How long the clock offset of a peer is kept after its last response.
inline constexpr Duration kClockOffsetTtl = 10s;
// Outlier detection; see docs/design/006-outlier-detection.md.

/// A response that the client has not begun to receive after this time is late. Ten times what a
/// busy backend with a full queue takes.
inline constexpr Duration kLateResponseThreshold = 600ms;
/// Number of distinct daemons that must report late responses within kOutlierEvidenceWindow.
inline constexpr std::size_t kMinOutlierReporters = 2;
inline constexpr Duration kOutlierEvidenceWindow = 2000ms;
/// How long an outlier is ejected without new evidence.
inline constexpr Duration kOutlierEjectionTime = 4000ms;
/// A daemon with fewer responses per late response may itself be the cause and reports nothing.
inline constexpr std::uint64_t kMinResponsesPerLate = 3;
/// Outliers are ignored if there is more than one for this many backends. So many have another
/// cause.
inline constexpr std::size_t kMinBackendsPerOutlier = 3;
/// Maximum number of requests whose response time is monitored, of observations that wait to be
/// reported, and of outliers in one update. A busy daemon has about 1,000 pending responses.
inline constexpr std::size_t kMaxPendingResponses = 8192;
inline constexpr std::size_t kMaxObservations = 64;
inline constexpr std::size_t kMaxReportedOutliers = 64;

/// A backend is slow if its mean response time exceeds the typical one of its service by this
/// factor. Exceeds the variation of a mean of a few responses.
inline constexpr double kSlowLatencyRatio = 2.0;
/// Upper limit of the factor that is taken into account. A backend that hangs is an outlier.
inline constexpr double kMaxLatencyRatio = 8.0;
inline constexpr std::uint32_t kMinResponsesForMean = 3;
/// How long a measured response time is used.
inline constexpr Duration kResponseTimeTtl = 3000ms;

// Tokens that hold an address; see docs/design/007-tokens-that-reach.md.

/// Number of hosts whose tokens must agree on a port. A wrong port matches four tokens once in
/// 65,536 times.
inline constexpr std::size_t kMinHostsForPort = 4;
/// Number of hosts after which the search for the port stops.
inline constexpr std::size_t kMaxHostsForPort = 16;
/// Number of backend ports that are tried for a token of an unknown backend.
inline constexpr std::size_t kMaxCandidatePorts = 4;

/// If more than one in this many registrations of a service are removed unannounced, they are
/// assumed to have expired.
inline constexpr std::size_t kMassExpiryRatio = 3;

// Backends that are warming up; see docs/design/010-shifted-work.md.

/// Share of the warm-up rate limit of a backend that the daemons use together. The remainder allows
/// for random variation and for unknown daemons. Up to one and a half times the limit is tolerated.
inline constexpr double kWarmUpShare = 1.0 / 3;
/// Window of the warm-up rate limit: one second, and a margin for varying delays.
inline constexpr Duration kWarmUpWindow = 1100ms;
/// Upper bound of the number of daemons; also assumed until they are counted. Above the design
/// target of 750.
inline constexpr std::uint32_t kMaxFleetSize = 1000;
/// A count of daemons is kept for one to two times this duration. Longer than any expected
/// partition.
inline constexpr Duration kFleetCountTtl = 30s;
/// Time after which a tree of followers is assumed to be complete. Each level renews within
/// kSubscriptionRenewInterval.
inline constexpr Duration kFleetCountSettleTime = 6s;

/// Maximum number of followers of one daemon. Three seeds and two levels below them carry 3,000
/// daemons; each keepalive takes about 10 us of processor time per follower.
inline constexpr std::size_t kMaxFollowers = 32;
/// Maximum number of followers from any one other network. Two provide redundancy.
inline constexpr std::size_t kMaxRemoteFollowers = 2;
/// Number of peers that are selected at random; the nearest of them is queried.
inline constexpr std::size_t kPeerSampleSize = 8;
/// Number of followers that are listed in a response, so that daemons learn of peers other than the
/// seeds.
inline constexpr std::size_t kAdvertisedPeers = 4;
/// Maximum number of items in one update, of about 100 bytes each, so that a daemon never sends
/// more than this to all of its followers at once. A follower that lacks more requests the rest in
/// parts. Larger changes are not logged; followers read them from the store.
inline constexpr std::size_t kMaxBatchItems = 128;
/// Maximum number of items in a change log, at about 300 bytes each, and of batches that they form.
/// More would occupy a small machine's link for over a second, at 100 KB for each of kMaxFollowers.
inline constexpr std::size_t kMaxLogItems = 1024;
inline constexpr std::size_t kMaxLogBatches = 256;

/// Maximum number of unreadable items that are remembered, with keys of up to 200 bytes each.
inline constexpr std::size_t kMaxRefusedItems = 1024;

}  // namespace cobaltgauge::core
