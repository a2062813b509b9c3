/// @file
/// Stand-in for the platform: serves the configuration and the machine list read-only over HTTP.
/// It is down while it does not run, and stale when it is started with an older file.
#pragma once

namespace cobaltgauge::standin {

/// Entry point of the subcommand.
int runPlatform(int argc, const char* const* argv);

}  // namespace cobaltgauge::standin
