/// @file
/// What the core decides about a packet.
#pragma once

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
};

/// Why a packet was dropped.
enum class DropReason : std::uint8_t {
  kNoService,        ///< No service has this address, protocol and port.
  kNoConfiguration,  ///< No configuration was accepted yet.
  kFenced,           ///< The process was suspended and waits for a fresh view.
  kTooManyHops,      ///< Passed between daemons too often.
  kHomeSyncing,      ///< The home waits for records; the sender must retry.
};

/// Why a packet was refused with an answer.
enum class RefuseReason : std::uint8_t {
  kNewFlowRate,   ///< More new flows a second than the service allows.
  kBackendLimit,  ///< The back end holds as many flows as it may.
  kNoBackend,     ///< No back end takes new flows.
  kCutOff,        ///< Records of the flow may be on the other side of a cut.
};

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

using Verdict = std::variant<ForwardToBackend, ForwardToPeer, Refuse, Drop>;

const char* toString(RouteReason reason);
const char* toString(DropReason reason);
const char* toString(RefuseReason reason);

}  // namespace cobaltgauge::core
