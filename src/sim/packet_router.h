/// @file
/// Packet routing interface of the simulator, implemented by the core and by simpler baselines.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/balancer.h"

namespace cobaltgauge::sim {

/// Designs that the simulator can compare.
enum class Variant : std::uint8_t {
  kModulo,       ///< Hash modulo the number of active backends.
  kTable,        ///< Maglev table without flow state.
  kCachedTable,  ///< Maglev table with a local flow cache.
  kCobaltgauge,  ///< The core of Cobaltgauge.
};

const char* toString(Variant variant);

class PacketRouter {
 public:
  virtual ~PacketRouter() = default;

  virtual core::Verdict onPacket(const core::PacketSummary& packet, core::Time now) = 0;
  virtual core::Verdict onPeerPacket(const core::PacketSummary& packet,
                                     const core::PeerArrival& arrival, core::Time now) = 0;
  virtual void onMessage(core::MemberId from, const core::PeerMessage& message, core::Time now) = 0;
  virtual void onTick(core::Time now) = 0;
  virtual core::OfferResult offerConfiguration(core::ConfigurationDocument document,
                                               core::Time now) = 0;
  virtual void offerMemberSeeds(std::vector<core::MemberIdentity> seeds, core::Time now) = 0;
  virtual bool shouldReadPlatform(core::Time now) const = 0;
  virtual std::vector<core::OutgoingMessage> takeMessages() = 0;
  virtual core::ConfigurationVersion activeVersion() const = 0;
  virtual void beginShutdown(core::Time now) = 0;
  virtual bool handoverDone() const = 0;
  virtual void finishShutdown(core::Time now) = 0;
  /// @return the size of the per-flow state in bytes.
  virtual std::size_t flowStateBytes(core::Time now) const = 0;
};

std::unique_ptr<PacketRouter> makeRouter(Variant variant, const core::BalancerOptions& options,
                                         core::ConfigurationCompiler& compiler,
                                         core::Random& random);

/// @return the balancer of a kCobaltgauge router, null for baselines.
const core::Balancer* balancerOf(const PacketRouter& router);

}  // namespace cobaltgauge::sim
