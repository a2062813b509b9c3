/// @file
/// Detects changes of the settings file and reloads it. Only reloadable settings are applied; an
/// invalid file changes nothing.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "daemon/settings.h"

namespace cobaltgauge::daemon {

/// Result of a reload.
struct SettingsChange {
  std::vector<std::string> applied;       ///< Flags of settings whose new values were applied.
  std::vector<std::string> needsRestart;  ///< Flags of changed settings that were not applied.
};

class SettingsWatch {
 public:
  explicit SettingsWatch(CommandLine commandLine);

  /// @return true if the file has changed since the last call or reload().
  bool hasChanged();

  /// Reads the file and applies changed reloadable settings to `settings`.
  /// @return the changes, or nothing if the file is invalid; see lastReason().
  std::optional<SettingsChange> reload(Settings& settings);
  const std::string& lastReason() const { return loader_.lastReason(); }

 private:
  /// File attributes that change when the file is replaced or rewritten.
  struct FileIdentity {
    ino_t inode = 0;
    off_t size = 0;
    std::int64_t modifiedNanoseconds = 0;
    bool operator==(const FileIdentity&) const = default;
  };

  FileIdentity readFileIdentity() const;

  CommandLine commandLine_;
  SettingsLoader loader_;
  FileIdentity fileIdentity_;
};

}  // namespace cobaltgauge::daemon
