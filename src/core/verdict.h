/// @file
/// What the core decides about a packet.
#pragma once

#include <array>
#include <cstddef>
#include <variant>

#include "core/configuration.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Which rule chose a back end.
enum class RouteReason : std::uint8_t {
  kKnownFlow,      ///< The local flow table knows the flow.
  kSettledBucket,  ///< No earlier flow can be in the bucket.
  kNewFlow,        ///< The packet opens a flow (TCP SYN).
  kHomeRecord,     ///< The home holds a record of the flow.
  kHomeOldFlow,    ///< The home assumes an old flow while listing is under way.
  kHomeNewFlow,    ///< The home knows all old flows; this one is new.
  kCarriedToken,   ///< The packet carries the token of its back end.
  kPlaced,         ///< The packet opens a flow; the back end was chosen by weight and load.
  kRepeated,       ///< A repeated opening; goes where the first one went.
  kReplaced,       ///< A repeated opening; the first back end is suspected to be silent.
  kReached,        ///< No view knows the back end; the token holds its address.
};
inline constexpr std::size_t kRouteReasons = 11;

/// Why a packet was dropped.
enum class DropReason : std::uint8_t {
  kNoService,        ///< No service has this address, protocol and port.
  kNoConfiguration,  ///< No configuration was accepted yet.
  kFenced,           ///< The process was suspended and waits for a fresh view.
  kTooManyHops,      ///< Passed between daemons too often.
  kHomeSyncing,      ///< The home waits for records; the sender must retry.
  kUnknownToken,     ///< No back end known here has the token; it may be newer than the view.
  kStaleView,        ///< The opening cannot be placed, and the view may be out of date.
  kStaleOpening,     ///< The opening waited while the process was suspended; it was sent again.
  kPaced,            ///< Every back end was just given an opening; the caller repeats this one.
  kEmptyService,     ///< No back end yet, or just now; the caller repeats the opening.
};
inline constexpr std::size_t kDropReasons = 10;

/// Why a packet was refused with an answer.
enum class RefuseReason : std::uint8_t {
  kNewFlowRate,   ///< More new flows a second than the service allows.
  kBackendLimit,  ///< The back end holds as many flows as it may.
  kNoBackend,     ///< No back end takes new flows.
  kCutOff,        ///< Records of the flow may be on the other side of a cut.
  kNoRoute,       ///< No route in force has this address and port.
  kRouteDropped,  ///< A configuration dropped the flow's route.
  kBackendEnded,  ///< The flow's back end has ended; another one uses its address.
  kBackendDead,   ///< The flow's back end was silent and failed a probe.
  kEvacuated,     ///< Every back end's zone was taken out by operators.
  kWarmingUp,     ///< Every back end is cold and was given what it bears.
  kNoRoom,        ///< The back ends are full, and openings of higher rank go first.
};
inline constexpr std::size_t kRefuseReasons = 11;

/// Whether a refused request can have been executed.
enum class RefusalCertainty : std::uint8_t {
  kNotRun,          ///< Provably no copy reached a back end.
  kOutcomeUnknown,  ///< A copy may have reached a back end.
};

/// Send the packet to a back end.
struct ForwardToBackend {
  BackendAddress backend;
  ConfigurationVersion version = 0;
  RouteReason reason = RouteReason::kKnownFlow;
  SteeringToken token = kNoToken;  ///< To be written into the packet; kNoToken leaves it as it is.
};

/// Send the packet to the daemon that can decide.
struct ForwardToPeer {
  MemberId peer = kNoMember;
  Endpoint destination;
  std::uint8_t hops = 0;      ///< Hops after this forward.
  bool wantsListing = false;  ///< The ingress daemon lacks the shard's recorded flows.
};

/// Answer the caller at once.
struct Refuse {
  RefusalForm form = RefusalForm::kNone;
  RefusalCertainty certainty = RefusalCertainty::kOutcomeUnknown;
  RefuseReason reason = RefuseReason::kNoBackend;
  std::chrono::seconds retryAfter{1};
};

/// Drop the packet and count why.
struct Drop {
  DropReason reason = DropReason::kNoService;
};

/// A refusal without a packet: the flow of a back end that is gone, to be told to its caller.
struct FlowReset {
  FlowKey flow;
  std::uint32_t acknowledgement = 0;  ///< The caller's last one.
  BackendId backend = kNoBackend;
  RefuseReason reason = RefuseReason::kBackendDead;
};

using Verdict = std::variant<ForwardToBackend, ForwardToPeer, Refuse, Drop>;

/// How many packets were decided in which way.
struct VerdictCounters {
  std::array<std::uint64_t, kRouteReasons> routed{};    ///< By RouteReason.
  std::array<std::uint64_t, kDropReasons> dropped{};    ///< By DropReason.
  std::array<std::uint64_t, kRefuseReasons> refused{};  ///< By RefuseReason.
  std::uint64_t forwardedToPeer = 0;

  void count(const Verdict& verdict);
};

/// @return true where a newer view may decide the packet otherwise.
bool dependsOnView(DropReason reason);
/// @return true where the packet lacks a back end that may just be registering.
bool awaitsBackend(DropReason reason);

const char* toString(RouteReason reason);
const char* toString(DropReason reason);
const char* toString(RefuseReason reason);

}  // namespace cobaltgauge::core
