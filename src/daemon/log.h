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

/// Prepares logging to standard output. Call once. Lines wait in a bounded buffer until flushLog().
void initializeLog(LogLevel minLevel, const std::string& daemonName);

/// Changes the least severity that is logged.
void setLogLevel(LogLevel minLevel);

/// Writes waiting lines as far as that does not block. To be called from the event loop.
void flushLog();

/// @return how many lines were dropped because the buffer was full.
std::uint64_t droppedLogLines();

/// Writes one record: time=... level=... daemon=... event=... and the fields.
/// Values with blanks, quotes or control characters are quoted.
void logEvent(LogLevel level, const char* event, const LogFields& fields = {});

}  // namespace cobaltgauge::daemon
