/// @file
/// Measures packets per second through a daemon or a bare relay on loopback, and is that relay.
#pragma once

namespace cobaltgauge::standin {

/// Sends every datagram on, unchanged: what moving packets costs without any decision.
int runRelay(int argc, const char* const* argv);

/// Sends packets to a target and counts those that arrive at the back end's place; keeps a bounded
/// number under way, so that none is lost to a full buffer. Prints packets per second.
int runThroughput(int argc, const char* const* argv);

}  // namespace cobaltgauge::standin
