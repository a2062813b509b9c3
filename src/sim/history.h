/// @file
/// Event history of a run as observed by clients, backends and operators, one JSON object per line.
/// Written by the stand-ins and the simulator, read by the history checker.
#pragma once

#include <cstdint>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

namespace cobaltgauge::sim {

enum class EventKind : std::uint8_t {
  kSessionOpened,           ///< Client: its session was accepted. actor = client.
  kSessionAtBackend,        ///< Backend: accepted a new session. actor = backend.
  kSessionUnknown,          ///< Backend: received a packet for an unknown session.
  kSessionBroken,           ///< Client: the backend reported an unknown session.
  kRequestSent,             ///< Client: first transmission of a request.
  kRequestDone,             ///< Client: the request was confirmed as executed.
  kRequestRefused,          ///< Client: the request was refused as not executed.
  kRequestOutcomeUnknown,   ///< Client: timed out, or the outcome was reported as unknown.
  kRequestExecuted,         ///< Backend: executed the request.
  kRequestDuplicate,        ///< Backend: dropped a retransmitted request.
  kResponseComplete,        ///< Client: received all blocks of a large response.
  kResponseInvalid,         ///< Client: a response was missing, incomplete or wrong.
  kMisdelivered,            ///< Backend: received a packet for another service or incarnation.
  kBackendDraining,         ///< Operator: published a configuration that drains the backend.
  kConfigurationPublished,  ///< Operator: published a version. detail = version.
  kConfigurationActive,     ///< Daemon: activated a version. detail = version.
  kFault,                   ///< Operator: injected a fault. detail = kind and target.
};

/// @return the name used in history files.
const char* toString(EventKind kind);

/// One entry of a history.
struct Event {
  std::int64_t timeMs = 0;  ///< Milliseconds; all processes of a run use the same clock.
  EventKind kind = EventKind::kFault;
  std::string actor;
  std::string service;
  std::string session;
  std::string request;
  std::string detail;
};

/// @return the event as JSON without a line terminator; empty fields are omitted.
std::string toLine(const Event& event);

/// Appends events to a file and flushes after each line, so that a killed process loses no events.
class HistoryWriter {
 public:
  /// @return false if the file cannot be opened.
  bool open(const std::string& path);
  void write(const Event& event);

 private:
  std::ofstream out_;
};

/// Reads history files. lastReason() describes the last failure with file and line.
class HistoryReader {
 public:
  std::optional<Event> parseLine(const std::string& line);
  std::optional<std::vector<Event>> readFile(const std::string& path);
  const std::string& lastReason() const { return lastReason_; }

 private:
  std::string lastReason_;
};

}  // namespace cobaltgauge::sim
