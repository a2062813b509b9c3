/// @file
/// Commands of cobaltgaugectl that need no daemon: checks, policy tests, comparisons.
#pragma once

#include <optional>
#include <string>

#include "core/configuration.h"

namespace cobaltgauge::ctl {

/// Result of a command: what to print and the exit status.
struct CommandResult {
  std::string output;
  bool ok = true;
};

/// Checks a configuration as every daemon would. @param text JSON.
CommandResult checkConfiguration(const std::string& text);

/// Runs every policy of a configuration and prints the table that it gives: weight, share of the
/// buckets and state of each back end.
CommandResult testPolicies(const std::string& text);

/// Runs one policy file against the back ends of one service of a configuration.
/// @param serviceName service whose policy is replaced by `policy`.
CommandResult testPolicy(const std::string& text, const std::string& serviceName,
                         const std::string& policy);

/// Prints what changes from one configuration to another: services, back ends, weights, and the
/// share of buckets that moves.
CommandResult compareConfigurations(const std::string& before, const std::string& after);

}  // namespace cobaltgauge::ctl
