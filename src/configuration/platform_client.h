/// @file
/// Read-only client of the platform's configuration service over HTTP, with conditional requests by
/// ETag (RFC 9110, section 13).
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "configuration/configuration_json.h"
#include "core/configuration.h"
#include "core/messages.h"

namespace cobaltgauge::configuration {

enum class ReadResult : std::uint8_t { kNew, kUnchanged, kFailed };

/// The platform's list of machines; may be out of date.
struct MachineList {
  std::vector<core::MemberIdentity> machines;
};

/// Blocking client; not thread-safe.
class PlatformClient {
 public:
  PlatformClient(std::string host, std::uint16_t port, std::chrono::milliseconds timeout);

  /// Reads the configuration. Sets `document` only if the result is kNew.
  ReadResult readConfiguration(core::ConfigurationDocument& document);

  /// @return the machine list, or nullopt on failure; see lastReason().
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
