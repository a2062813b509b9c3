/// @file
/// Structured logging through Boost.Log: one record per line as key=value pairs.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "daemon/settings.h"

namespace cobaltgauge::daemon {

/// Key and value pairs of a record, in output order.
using LogFields = std::vector<std::pair<const char*, std::string>>;

/// Maximum size of a value in a line, before it is escaped.
inline constexpr std::size_t kMaxLogValueBytes = 512;

/// Sets up logging to standard output. Must be called once. Records are buffered until flushLog().
void initializeLog(LogLevel minLevel, const std::string& daemonName);

/// Sets the minimum severity that is logged.
void setLogLevel(LogLevel minLevel);

/// Writes buffered lines as far as possible without blocking.
void flushLog();

/// @return the number of lines dropped because the buffer was full.
std::uint64_t droppedLogLines();

/// @return the value as it stands in a line. Empty values and values with spaces, quotes,
///     backslashes, '=' or characters other than printable ASCII are quoted and escaped as in JSON;
///     values longer than kMaxLogValueBytes are shortened.
std::string formatLogValue(const std::string& value);

/// Writes one record: time=... level=... daemon=... event=... and the fields.
void logEvent(LogLevel level, const char* event, const LogFields& fields = {});

}  // namespace cobaltgauge::daemon
