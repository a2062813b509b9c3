/// @file
/// Executes the probes, resets and keepalives that the steering has requested, and reports
/// reachability changes to peers and the log.
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
  /// All references must outlive this object. @param reader provides the view revision for logs.
  BackendProbes(asio::io_context& context, core::TokenSteering& steering, PacketPort& packets,
                PeerLink& peers, const core::StoreReader& reader);

  /// Starts all pending probes, sends pending resets and keepalives, and reports changes of the
  /// reachability.
  void executePending(core::Time now);
  /// Like executePending(), but without failure probes of single backends and without resets.
  void executeReachabilityAndGroupProbes(core::Time now);

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
