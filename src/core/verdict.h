/// @file
/// Decisions of the core about packets.
#pragma once

#include <array>
#include <cstddef>
#include <variant>
#include <vector>

#include "core/configuration.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// The rule that selected a backend.
enum class RouteReason : std::uint8_t {
  kKnownFlow,      ///< The local flow table contains the flow.
  kSettledBucket,  ///< The bucket cannot contain earlier flows.
  kNewFlow,        ///< The packet opens a flow (TCP SYN).
  kHomeRecord,     ///< The home has a record of the flow.
  kHomeOldFlow,    ///< The home assumes an existing flow during listing.
  kHomeNewFlow,    ///< The home has all records; the flow is new.
  kCarriedToken,   ///< The packet carries the token of its backend.
  kPlaced,         ///< The packet opens a flow; selected by weight and load.
  kRepeated,       ///< A retransmitted opening; sent to the same backend.
  kReplaced,       ///< A retransmitted opening; the first backend is suspected or draining.
  kResolvedToken,  ///< The backend is unknown; its address is in the token.
};
inline constexpr std::size_t kRouteReasons = 11;

/// Why a packet was dropped.
enum class DropReason : std::uint8_t {
  kNoService,        ///< No service has this address, protocol and port.
  kNoConfiguration,  ///< No configuration has been accepted yet.
  kFenced,           ///< The process was suspended and waits for a current view.
  kTooManyHops,      ///< Forwarded between daemons too often.
  kHomeSyncing,      ///< The home waits for records; the sender retries.
  kUnknownToken,     ///< No known backend has the token; the view may be out of date.
  kStaleView,        ///< No backend is available, and the view may be out of date.
  kStaleOpening,     ///< Queued during a suspension, or the flow is established.
  kPaced,            ///< Every backend is paced; the client retransmits.
  kEmptyService,     ///< No backend at the moment; the client retransmits.
};
inline constexpr std::size_t kDropReasons = 10;

/// Why a packet was refused with a response to the client.
enum class RefuseReason : std::uint8_t {
  kNewFlowRate,   ///< The rate limit of new flows is exceeded.
  kBackendLimit,  ///< The flow limit of the backend is reached.
  kNoBackend,     ///< No backend accepts new flows.
  kPartitioned,   ///< A network partition may hide records of the flow.
  kNoRoute,       ///< No current route has this address and port.
  kRouteDropped,  ///< The route of the flow was removed.
  kBackendDead,   ///< The backend was unresponsive and failed a probe.
  kEvacuated,     ///< Operators evacuated the zones of all backends.
  kWarmingUp,     ///< All backends are at their warm-up rate limits.
  kOverloaded,    ///< Backends are overloaded; higher priorities are admitted.
};
inline constexpr std::size_t kRefuseReasons = 10;

/// Whether a refused request may have been executed.
enum class RefusalCertainty : std::uint8_t {
  kNotRun,          ///< No copy reached a backend.
  kOutcomeUnknown,  ///< A copy may have reached a backend.
};

/// Which backend may accept a packet at the address it is sent to.
enum class Recipient : std::uint8_t {
  kBackend,  ///< Only the selected one.
  /// Whichever runs there. It has the flow, or resets it because the flow's backend has ended.
  kAnyAtAddress,
};

/// Forward the packet to a backend.
struct ForwardToBackend {
  BackendAddress backend;
  ConfigurationVersion version = 0;
  RouteReason reason = RouteReason::kKnownFlow;
  SteeringToken token = kNoToken;  ///< Written into the packet unless kNoToken.
  Recipient recipient = Recipient::kBackend;
};

/// Forward the packet to the daemon that can decide.
struct ForwardToPeer {
  MemberId peer = kNoMember;
  Endpoint destination;
  std::uint8_t hops = 0;      ///< Hop count after this forwarding.
  bool needsListing = false;  ///< The ingress daemon lacks the flow records of the shard.
};

/// Refuse the packet with a response to the client.
struct Refuse {
  RefusalForm form = RefusalForm::kNone;
  RefusalCertainty certainty = RefusalCertainty::kOutcomeUnknown;
  RefuseReason reason = RefuseReason::kNoBackend;
  std::chrono::seconds retryAfter{1};
};

/// Drop the packet and count the reason.
struct Drop {
  DropReason reason = DropReason::kNoService;
};

/// Reset of a flow whose backend is gone. Sent to the client without a packet to respond to.
struct FlowReset {
  FlowKey flow;
  std::uint32_t acknowledgement = 0;  ///< Last acknowledgement number of the client.
  BackendId backend = kNoBackend;
  RefuseReason reason = RefuseReason::kBackendDead;
};

/// A copy of the client's last acknowledgement, sent to an address whose backend may have changed.
/// A backend that has the flow ignores it; any other one resets the flow.
struct FlowKeepAlive {
  FlowKey flow;
  ForwardToBackend forward;
  std::vector<std::uint8_t> packet;
};

using Verdict = std::variant<ForwardToBackend, ForwardToPeer, Refuse, Drop>;

/// Packet counters by verdict.
struct VerdictCounters {
  std::array<std::uint64_t, kRouteReasons> routed{};    ///< By RouteReason.
  std::array<std::uint64_t, kDropReasons> dropped{};    ///< By DropReason.
  std::array<std::uint64_t, kRefuseReasons> refused{};  ///< By RefuseReason.
  std::uint64_t forwardedToPeer = 0;

  void count(const Verdict& verdict);
};

/// @return true if a newer view may change the verdict.
bool dependsOnView(DropReason reason);
/// @return true if the packet lacks a backend that may be registering.
bool awaitsBackend(DropReason reason);

const char* toString(RouteReason reason);
const char* toString(DropReason reason);
const char* toString(RefuseReason reason);

}  // namespace cobaltgauge::core
