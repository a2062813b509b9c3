/// @file
/// History of a run: what clients, back ends and operators saw, one JSON object a line. Written by
/// the stand-ins and the simulator, read by the checker. Knows nothing of the core.
#pragma once

#include <cstdint>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

namespace cobaltgauge::sim {

enum class EventKind : std::uint8_t {
  kSessionOpened,           ///< Caller: its session was accepted. actor = client.
  kSessionAtBackend,        ///< Back end: a new session arrived. actor = back end.
  kSessionUnknown,          ///< Back end: a packet of a session that it does not hold.
  kSessionBroken,           ///< Caller: was told that its session does not exist any more.
  kRequestSent,             ///< Caller: first transmission of a request.
  kRequestDone,             ///< Caller: was told that the request was executed.
  kRequestRefused,          ///< Caller: was told "not run".
  kRequestOutcomeUnknown,   ///< Caller: gave up, or was told "outcome unknown".
  kRequestExecuted,         ///< Back end: executed the request.
  kRequestDuplicate,        ///< Back end: dropped a repeat of a request.
  kResponseComplete,        ///< Caller: a large answer arrived whole.
  kResponseInvalid,         ///< Caller: a large answer was incomplete or belonged elsewhere.
  kMisdelivered,            ///< Back end: a packet of another service or incarnation.
  kBackendDraining,         ///< Operator: configuration with a leaving back end was published.
  kConfigurationPublished,  ///< Operator: a version was published. detail = version.
  kConfigurationActive,     ///< Daemon: a version came in force. detail = version.
  kFault,                   ///< Whoever caused a fault. detail = which.
};

/// @return the name used in the file.
const char* toString(EventKind kind);

/// One line of a history.
struct Event {
  std::int64_t timeMs = 0;  ///< Milliseconds on one clock for the whole run.
  EventKind kind = EventKind::kFault;
  std::string actor;
  std::string service;
  std::string session;
  std::string request;
  std::string detail;
};

/// @return the event as one line of JSON without line end; empty fields are left out.
std::string toLine(const Event& event);

/// Appends events to a file, flushed line by line, so that a killed process loses nothing.
class HistoryWriter {
 public:
  /// @return false where the file cannot be opened.
  bool open(const std::string& path);
  void write(const Event& event);

 private:
  std::ofstream out_;
};

/// Reads histories; keeps the reason of a failure with file and line.
class HistoryReader {
 public:
  std::optional<Event> parseLine(const std::string& line);
  std::optional<std::vector<Event>> readFile(const std::string& path);
  const std::string& lastReason() const { return lastReason_; }

 private:
  std::string lastReason_;
};

}  // namespace cobaltgauge::sim
