/// @file
/// Throughput measurement on loopback, and a plain UDP relay as its baseline.
#pragma once

namespace cobaltgauge::standin {

/// Forwards every datagram unchanged. Entry point of the relay subcommand.
int runRelay(int argc, const char* const* argv);

/// Sends packets to a target, counts those that arrive at the backend endpoint and prints packets
/// per second. The number in flight is limited to avoid loss in socket buffers. Entry point of the
/// throughput subcommand.
int runThroughput(int argc, const char* const* argv);

}  // namespace cobaltgauge::standin
