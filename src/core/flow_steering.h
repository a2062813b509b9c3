/// @file
/// The seam between an edge that moves packets and the logic that decides them. Two ways of
/// steering stand behind it: recorded flows (Balancer), for packets that carry nothing of ours, and
/// carried tokens (TokenSteering), for formats that return a field which names the back end. See
/// docs/design/004-carried-token.md.
#pragma once

#include "core/types.h"
#include "core/verdict.h"

namespace cobaltgauge::core {

class FlowSteering {
 public:
  virtual ~FlowSteering() = default;

  /// Decides a packet from the fabric.
  virtual Verdict onPacket(const PacketSummary& packet, Time now) = 0;

  /// Does all timed work; to be called every kTickInterval.
  virtual void onTick(Time now) = 0;
};

}  // namespace cobaltgauge::core
