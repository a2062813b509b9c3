/// @file
/// Structured logs: one record a line, key=value, through Boost.Log.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "daemon/settings.h"

namespace cobaltgauge::daemon {

/// Fields of a record in the order in which they are written.
using LogFields = std::vector<std::pair<const char*, std::string>>;

/// Prepares logging to standard error. Call once.
void initializeLog(LogLevel least, const std::string& daemonName);

/// Writes one record: time=... level=... daemon=... event=... and the fields.
/// Values with blanks, quotes or control characters are quoted.
void logEvent(LogLevel level, const char* event, const LogFields& fields = {});

}  // namespace cobaltgauge::daemon
