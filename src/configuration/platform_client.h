/// @file
/// Reads the platform's configuration service over HTTP with ETags (RFC 9110, section 13). Nothing
/// is ever written there.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "configuration/configuration_json.h"
#include "core/configuration.h"
#include "core/messages.h"

namespace cobaltgauge::configuration {

/// What one read gave.
enum class ReadResult : std::uint8_t { kNew, kUnchanged, kFailed };

/// The platform's list of machines; it may lag.
struct MachineList {
  std::vector<core::MemberIdentity> machines;
};

/// Blocking client; used from one thread at a time.
class PlatformClient {
 public:
  PlatformClient(std::string host, std::uint16_t port, std::chrono::milliseconds timeout);

  /// Reads the configuration. On kNew, `document` is set.
  ReadResult readConfiguration(core::ConfigurationDocument& document);

  /// Reads the machine list. @return nothing on failure.
  std::optional<MachineList> readMachines();

  const std::string& lastReason() const { return lastReason_; }

 private:
  std::optional<std::string> get(const std::string& path, std::string* etag, bool& unchanged);

  std::string host_;
  std::uint16_t port_;
  std::chrono::milliseconds timeout_;
  std::string configurationEtag_;
  std::string lastReason_;
  ConfigurationParser parser_;
};

}  // namespace cobaltgauge::configuration
