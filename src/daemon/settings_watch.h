/// @file
/// Notices that the settings file has changed, with or without a signal, and reads it again. What
/// can change while the process runs is taken up; a file that is wrong, or that changes anything
/// else, leaves the settings as they are.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "daemon/settings.h"

namespace cobaltgauge::daemon {

/// What a changed file means for a running daemon.
struct SettingsChange {
  std::vector<std::string> applied;       ///< Flags of settings that have new values.
  std::vector<std::string> needsRestart;  ///< Flags of settings whose new values wait for one.
};

class SettingsWatch {
 public:
  explicit SettingsWatch(CommandLine commandLine);

  /// @return true where the file is another one than at the last call.
  bool hasChanged();

  /// Reads the file again and puts what may change into `settings`.
  /// @return what changed, or nothing where the file is wrong; see lastReason().
  std::optional<SettingsChange> reload(Settings& settings);
  const std::string& lastReason() const { return loader_.lastReason(); }

 private:
  /// Identity of a file's content as far as the file system tells.
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
