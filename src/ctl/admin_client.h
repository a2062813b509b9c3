/// @file
/// HTTP client for a daemon's admin pages.
#pragma once

#include <optional>
#include <string>

#include "core/types.h"

namespace cobaltgauge::ctl {

class AdminClient {
 public:
  explicit AdminClient(const core::Endpoint& daemon) : daemon_(daemon) {}

  /// @param flow query parameter of /explain, for example "udp SOURCE DESTINATION"; may be empty.
  /// @return the body, or nullopt on failure; see lastReason().
  std::optional<std::string> get(const std::string& path, const std::string& flow = {});
  const std::string& lastReason() const { return lastReason_; }

 private:
  core::Endpoint daemon_;
  std::string lastReason_;
};

}  // namespace cobaltgauge::ctl
