/// @file
/// Carries out what the steering wants to learn of back ends, and tells callers, peers and the log
/// what it came to believe.
#pragma once

#include <asio/io_context.hpp>
#include <functional>

#include "core/store_reader.h"
#include "core/token_steering.h"
#include "daemon/backend_prober.h"
#include "daemon/connect_prober.h"
#include "daemon/packet_port.h"
#include "daemon/peers/peer_link.h"

namespace cobaltgauge::daemon {

class BackendProbes {
 public:
  /// All references outlive the probes. @param reader tells the revision of the view, for logs.
  BackendProbes(asio::io_context& context, core::TokenSteering& steering, PacketPort& packets,
                PeerLink& peers, const core::StoreReader& reader);

  /// Starts the probes and sends the resets that the steering wants, of single back ends and of
  /// failure domains.
  void executePending(core::Time now);
  /// The same for failure domains alone.
  void executePendingForDomains(core::Time now);

 private:
  void onProbe(const core::BackendAddress& backend, core::ProbeResult result);

  core::TokenSteering& steering_;
  PacketPort& packets_;
  PeerLink& peers_;
  const core::StoreReader& reader_;
  BackendProber prober_;
  ConnectProber reachabilityProber_;
  ConnectProber groupProber_;
};

}  // namespace cobaltgauge::daemon
