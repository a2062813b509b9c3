#include "daemon/settings_watch.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>

namespace cobaltgauge::tests {
namespace {

/// A temporary settings file that tests rewrite.
struct WatchFixture {
  std::string path = "/tmp/cobaltgauge-settings-watch-" + std::to_string(::getpid()) + ".toml";

  WatchFixture() { write("info", "10.0.0.1:2379"); }
  ~WatchFixture() { std::remove(path.c_str()); }
  WatchFixture(const WatchFixture&) = delete;
  WatchFixture& operator=(const WatchFixture&) = delete;

  void write(const std::string& level, const std::string& platform,
             const std::string& zone = "a") const {
    std::ofstream(path) << "[daemon]\nname = \"d1\"\nzone = \"" << zone
                        << "\"\n[steering]\nmode = \"token\"\n[data]\nlisten = \"127.0.0.1:1\"\n"
                        << "[readiness]\nlisten = \"127.0.0.1:2\"\n[cluster]\n"
                        << "key = \"0123456789abcdef\"\nlisten = \"127.0.0.1:3\"\n[platform]\n"
                        << "address = \"" << platform << "\"\n[log]\nlevel = \"" << level << "\"\n";
  }

  daemon::CommandLine commandLine() const {
    daemon::CommandLine line;
    line.settingsFile = path;
    return line;
  }

  daemon::Settings load() const {
    daemon::SettingsLoader loader;
    const std::optional<daemon::Settings> settings = loader.load(commandLine());
    BOOST_REQUIRE_MESSAGE(settings.has_value(), loader.lastReason());
    return *settings;
  }
};

BOOST_FIXTURE_TEST_SUITE(SettingsWatchTest, WatchFixture)

BOOST_AUTO_TEST_CASE(applies_reloadable_settings_and_reports_the_rest) {
  daemon::Settings settings = load();
  daemon::SettingsWatch watch(commandLine());
  BOOST_TEST(!watch.hasChanged());
  write("warning", "10.0.0.2:2379", "b");
  BOOST_TEST(watch.hasChanged());
  const std::optional<daemon::SettingsChange> change = watch.reload(settings);
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST(change->applied == (std::vector<std::string>{"platform-address", "log-level"}));
  BOOST_TEST(change->needsRestart == (std::vector<std::string>{"daemon-zone"}));
  BOOST_TEST((settings.logLevel == daemon::LogLevel::kWarning));
  BOOST_TEST(settings.platform.address.bytes[3] == 2);
  BOOST_TEST(settings.zone == "a");
}

BOOST_AUTO_TEST_CASE(invalid_file_changes_nothing) {
  daemon::Settings settings = load();
  daemon::SettingsWatch watch(commandLine());
  write("loud", "10.0.0.2:2379");
  BOOST_TEST(!watch.reload(settings).has_value());
  BOOST_TEST(watch.lastReason().find("log.level") != std::string::npos);
  BOOST_TEST(settings.platform.address.bytes[3] == 1);
}

BOOST_AUTO_TEST_CASE(missing_file_is_not_a_change) {
  daemon::SettingsWatch watch(commandLine());
  std::remove(path.c_str());
  BOOST_TEST(!watch.hasChanged());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
