/// @file
/// Interface between packet I/O and routing decisions. Balancer implements it with recorded flows,
/// for packets without a token. TokenSteering implements it for formats whose packets echo a token
/// that identifies the backend; see docs/design/004-carried-token.md.
#pragma once

#include "core/types.h"
#include "core/verdict.h"

namespace cobaltgauge::core {

class FlowSteering {
 public:
  virtual ~FlowSteering() = default;

  /// Decides how to handle a packet received from the network.
  virtual Verdict onPacket(const PacketSummary& packet, Time now) = 0;

  /// Performs timed work. To be called every kTickInterval.
  virtual void onTick(Time now) = 0;
};

}  // namespace cobaltgauge::core
