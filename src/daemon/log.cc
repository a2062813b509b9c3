#include "daemon/log.h"

#include <unistd.h>

#include <algorithm>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <sstream>

#include "daemon/log_buffer.h"
#include "decoding/excerpt.h"

namespace cobaltgauge::daemon {
namespace {

namespace logging = boost::log;

/// Lines that exceed the buffer are dropped.
constexpr std::size_t kBufferBytes = 256U << 10U;

LogBuffer& buffer() {
  static LogBuffer instance(kBufferBytes);
  return instance;
}

/// Boost.Log sink that writes formatted records to the buffer.
class BufferSink : public logging::sinks::basic_formatted_sink_backend<char> {
 public:
  void consume(const logging::record_view&, const string_type& line) { buffer().append(line); }
};

std::string& processName() {
  static std::string name;
  return name;
}

const char* levelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "invalid";
}

/// @return whether a value can stand in a line as it is.
bool isPlain(const std::string& value) {
  return !value.empty() && value.size() <= kMaxLogValueBytes &&
         std::all_of(value.begin(), value.end(), [](char character) {
           return character > ' ' && character <= '~' && character != '"' && character != '=' &&
                  character != '\\';
         });
}

void formatRecord(const logging::record_view& record, logging::formatting_ostream& stream) {
  const auto time = logging::extract<boost::posix_time::ptime>("TimeStamp", record);
  if (time) {
    stream << "time=" << boost::posix_time::to_iso_extended_string(*time) << "Z ";
  }
  stream << record[logging::expressions::smessage];
}

}  // namespace

void initializeLog(LogLevel minLevel, const std::string& daemonName) {
  processName() = daemonName;
  logging::core::get()->add_global_attribute("TimeStamp", logging::attributes::utc_clock());
  using Sink = logging::sinks::synchronous_sink<BufferSink>;
  const auto sink = boost::make_shared<Sink>();
  sink->set_formatter(&formatRecord);
  logging::core::get()->add_sink(sink);
  setLogLevel(minLevel);
}

void setLogLevel(LogLevel minLevel) {
  logging::core::get()->set_filter(logging::expressions::attr<int>("Severity") >=
                                   static_cast<int>(minLevel));
}

std::string formatLogValue(const std::string& value) {
  if (isPlain(value)) {
    return value;
  }
  return '"' + decoding::Excerpt(value, kMaxLogValueBytes) + '"';
}

void flushLog() { buffer().flush(STDOUT_FILENO); }

std::uint64_t droppedLogLines() { return buffer().dropped(); }

void logEvent(LogLevel level, const char* event, const LogFields& fields) {
  static logging::sources::severity_logger_mt<int> logger;
  std::ostringstream line;
  line << "level=" << levelName(level) << " daemon=" << processName() << " event=" << event;
  for (const auto& [key, value] : fields) {
    line << ' ' << key << '=' << formatLogValue(value);
  }
  BOOST_LOG_SEV(logger, static_cast<int>(level)) << line.str();
}

}  // namespace cobaltgauge::daemon
