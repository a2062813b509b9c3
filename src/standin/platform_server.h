/// @file
/// Platform stand-in for end-to-end tests. Serves the configuration and the machine list over HTTP.
#pragma once

namespace cobaltgauge::standin {

/// Entry point of the platform subcommand.
int runPlatform(int argc, const char* const* argv);

}  // namespace cobaltgauge::standin
