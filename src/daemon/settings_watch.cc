#include "daemon/settings_watch.h"

#include <sys/stat.h>

namespace cobaltgauge::daemon {
namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

}  // namespace

SettingsWatch::SettingsWatch(CommandLine commandLine)
    : commandLine_(std::move(commandLine)), fileIdentity_(readFileIdentity()) {}

SettingsWatch::FileIdentity SettingsWatch::readFileIdentity() const {
  struct stat status {};
  if (::stat(commandLine_.settingsFile.c_str(), &status) != 0) {
    return {};
  }
  return {status.st_ino, status.st_size,
          status.st_mtim.tv_sec * kNanosecondsPerSecond + status.st_mtim.tv_nsec};
}

bool SettingsWatch::hasChanged() {
  const FileIdentity current = readFileIdentity();
  // A missing file is ignored: it may be in the middle of being replaced.
  const bool changed = current != fileIdentity_ && current != FileIdentity{};
  if (changed) {
    fileIdentity_ = current;
  }
  return changed;
}

std::optional<SettingsChange> SettingsWatch::reload(Settings& settings) {
  fileIdentity_ = readFileIdentity();
  const std::optional<Settings> reloaded = loader_.load(commandLine_);
  if (!reloaded) {
    return std::nullopt;
  }
  SettingsChange change;
  for (const SettingField& field : settingFields()) {
    const auto before = settings.givenValues.find(field.flag());
    const auto after = reloaded->givenValues.find(field.flag());
    const bool wasGiven = before != settings.givenValues.end();
    const bool isGiven = after != reloaded->givenValues.end();
    if (wasGiven == isGiven && (!wasGiven || before->second == after->second)) {
      continue;
    }
    if (field.reloadable && isGiven) {
      field.assign(settings, after->second);
      settings.givenValues[field.flag()] = after->second;
      change.applied.push_back(field.flag());
    } else {
      change.needsRestart.push_back(field.flag());
    }
  }
  return change;
}

}  // namespace cobaltgauge::daemon
