/// @file
/// What the simulator drives: the product's core, or a simpler design to compare it with.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/balancer.h"

namespace cobaltgauge::sim {

/// Designs that can be simulated side by side.
enum class Variant : std::uint8_t {
  kModulo,       ///< Hash modulo the list of active back ends.
  kTable,        ///< Maglev table without state.
  kCachedTable,  ///< Maglev table and a local flow cache.
  kCobaltgauge,  ///< The product.
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
  /// @return bytes of per-flow state held, for side-by-side figures.
  virtual std::size_t flowStateBytes(core::Time now) const = 0;
};

/// Builds a router of the wanted design.
std::unique_ptr<PacketRouter> makeRouter(Variant variant, const core::BalancerOptions& options,
                                         core::ConfigurationCompiler& compiler,
                                         core::Random& random);

/// @return the product's core inside a router, null for a baseline.
const core::Balancer* balancerOf(const PacketRouter& router);

}  // namespace cobaltgauge::sim
