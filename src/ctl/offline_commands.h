/// @file
/// Commands of cobaltgaugectl that do not need a daemon.
#pragma once

#include <optional>
#include <string>

#include "core/configuration.h"

namespace cobaltgauge::ctl {

/// Output and success of a command.
struct CommandResult {
  std::string output;
  bool ok = true;
};

/// Validates a configuration like a daemon.
/// @param text JSON.
CommandResult checkConfiguration(const std::string& text);

/// Evaluates every policy of a configuration and prints the state, weight and bucket share of each
/// backend.
CommandResult testPolicies(const std::string& text);

/// Like testPolicies(), with the policy of one service replaced.
/// @param policy Lua source text.
CommandResult testPolicy(const std::string& text, const std::string& serviceName,
                         const std::string& policy);

/// Tells whether a backend still gets new flows.
/// @param page the daemon's page /services.
CommandResult drainStatus(const std::string& page, const std::string& backendName);

/// Prints the differences between two configurations: services, backends, weights and the number of
/// buckets that move.
CommandResult compareConfigurations(const std::string& before, const std::string& after);

}  // namespace cobaltgauge::ctl
