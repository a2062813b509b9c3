#include "daemon/settings_watch.h"

#include <sys/stat.h>

namespace cobaltgauge::daemon {
namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

}  // namespace

SettingsWatch::SettingsWatch(CommandLine commandLine)
    : commandLine_(std::move(commandLine)), stamp_(stampNow()) {}

SettingsWatch::Stamp SettingsWatch::stampNow() const {
  struct stat status {};
  if (::stat(commandLine_.settingsFile.c_str(), &status) != 0) {
    return {};
  }
  return {status.st_ino, status.st_size,
          status.st_mtim.tv_sec * kNanosecondsPerSecond + status.st_mtim.tv_nsec};
}

bool SettingsWatch::hasChanged() {
  const Stamp now = stampNow();
  // A file that is missing is on its way; what was read stays.
  const bool changed = now != stamp_ && now != Stamp{};
  if (changed) {
    stamp_ = now;
  }
  return changed;
}

std::optional<SettingsChange> SettingsWatch::reload(Settings& settings) {
  stamp_ = stampNow();
  const std::optional<Settings> next = loader_.load(commandLine_);
  if (!next) {
    return std::nullopt;
  }
  SettingsChange change;
  for (const SettingField& field : settingFields()) {
    const auto before = settings.given.find(field.flag());
    const auto after = next->given.find(field.flag());
    const bool wasGiven = before != settings.given.end();
    const bool isGiven = after != next->given.end();
    if (wasGiven == isGiven && (!wasGiven || before->second == after->second)) {
      continue;
    }
    if (field.reloadable && isGiven) {
      field.assign(settings, after->second);
      settings.given[field.flag()] = after->second;
      change.taken.push_back(field.flag());
    } else {
      change.needsRestart.push_back(field.flag());
    }
  }
  return change;
}

}  // namespace cobaltgauge::daemon
