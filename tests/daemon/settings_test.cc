#include "daemon/settings.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "net/address.h"

using namespace cobaltgauge::daemon;

namespace {

constexpr const char* kValid = R"([daemon]
name = "lb-1"
[data]
listen = "127.0.0.1:0"
fabric_return = "127.0.0.1:9"
[cluster]
key = "sixteen byte key"
listen = "127.0.0.1:0"
[platform]
address = "127.0.0.1:8080"
)";

/// A temporary settings file.
class SettingsFile {
 public:
  explicit SettingsFile(const std::string& text) : path_("/tmp/cobaltgauge-settings-XXXXXX") {
    close(mkstemp(path_.data()));
    std::ofstream(path_) << text;
  }
  ~SettingsFile() { std::remove(path_.c_str()); }
  SettingsFile(const SettingsFile&) = delete;
  SettingsFile& operator=(const SettingsFile&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

struct LoadResult {
  std::optional<Settings> settings;
  std::string reason;
};

LoadResult load(const std::string& text, std::vector<const char*> flags = {}) {
  const SettingsFile file(text);
  const std::string fileFlag = "--settings=" + file.path();
  std::vector<const char*> arguments{"cobaltgauged", fileFlag.c_str()};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  arguments.push_back(nullptr);
  SettingsLoader loader;
  const auto commandLine =
      loader.parseCommandLine(static_cast<int>(arguments.size()) - 1, arguments.data());
  if (!commandLine) {
    return {std::nullopt, loader.lastReason()};
  }
  auto settings = loader.load(*commandLine);
  std::string reason = loader.lastReason();
  // Replaces the random file name.
  const std::size_t start = reason.find(file.path());
  if (start != std::string::npos) {
    reason.replace(start, file.path().size(), "FILE");
  }
  return {std::move(settings), reason};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(SettingsTest)

BOOST_AUTO_TEST_CASE(ValidFileIsRead) {
  const LoadResult result = load(kValid);
  BOOST_TEST_REQUIRE(result.settings.has_value(), result.reason);
  BOOST_TEST(result.settings->name == "lb-1");
  BOOST_TEST(result.settings->zone == "default");
  BOOST_TEST(result.settings->platform.port == 8080);
  BOOST_TEST(cobaltgauge::net::formatEndpoint(result.settings->adminListen) == "127.0.0.1:9901");
}

BOOST_AUTO_TEST_CASE(FlagOverridesFile) {
  const LoadResult result = load(kValid, {"--daemon-zone=hall-9", "--data-vni=12"});
  BOOST_TEST_REQUIRE(result.settings.has_value(), result.reason);
  BOOST_TEST(result.settings->zone == "hall-9");
  BOOST_TEST(result.settings->vni == 12U);
}

BOOST_AUTO_TEST_CASE(ErrorsNameFileLineFieldValueAndAllowedValues) {
  const std::string valid = kValid;
  BOOST_TEST(load(valid + "poll_interval_ms = 7\n").reason ==
             "FILE:11: platform.poll_interval_ms: got \"7\"; allowed is a whole number from 50 to "
             "600000");
  BOOST_TEST(load(valid + "colour = 1\n").reason ==
             "FILE:11: platform.colour: unknown field; see --help");
  BOOST_TEST(load(valid + "[paint]\na = 1\n").reason ==
             "FILE:11: paint: unknown section; see --help");
  BOOST_TEST(load(valid + "timeout_ms = true\n")
                 .reason.starts_with("FILE:11: platform.timeout_ms: got \"another type\""));
  BOOST_TEST(load("[daemon\n").reason.starts_with("FILE:1:"));
  BOOST_TEST(load(valid, {"--data-listen=here"}).reason ==
             "--data-listen: data.listen: got \"here\"; allowed is ADDRESS:PORT or [IPV6]:PORT");
  BOOST_TEST(load("[daemon]\nname = \"a b\"\n").reason ==
             "FILE:2: daemon.name: got \"a b\"; allowed is 1 to 64 letters, digits, '-', '_' or "
             "'.'");
}

BOOST_AUTO_TEST_CASE(ChangeTimeLimitsAreReadAndChecked) {
  const LoadResult valid = load(kValid, {"--steering-apply-within-ms=2000"});
  BOOST_REQUIRE(valid.settings.has_value());
  BOOST_TEST(valid.settings->applyWithin.count() == 2000);
  BOOST_TEST(valid.settings->drainWithin.count() == 3000);
  const LoadResult invalid = load(kValid, {"--steering-drain-within-ms=100"});
  BOOST_TEST(!invalid.settings.has_value());
  BOOST_TEST(invalid.reason.find("500") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(SpilloverAndInitialViewAreReadAndChecked) {
  BOOST_TEST(load(kValid, {}).settings->spillover);
  BOOST_TEST(load(kValid, {"--steering-spill=auto"}).settings->spillover);
  BOOST_TEST(!load(kValid, {"--steering-spill=off"}).settings->spillover);
  BOOST_TEST(load(kValid, {}).settings->startWithSample);
  BOOST_TEST(load(kValid, {"--steering-first-view=sample"}).settings->startWithSample);
  BOOST_TEST(!load(kValid, {"--steering-first-view=whole"}).settings->startWithSample);
  BOOST_TEST(!load(kValid, {"--steering-first-view=some"}).settings);
  const LoadResult invalid = load(kValid, {"--steering-spill=on"});
  BOOST_TEST(!invalid.settings.has_value());
  BOOST_TEST(invalid.reason.find("auto or off") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(RegionsOfZonesAndEvacuationTimeAreReadAndChecked) {
  const LoadResult valid = load(kValid, {"--daemon-regions-of-zones=hall-1=west,hall-2=east",
                                         "--steering-evacuate-within-ms=2000"});
  BOOST_REQUIRE(valid.settings.has_value());
  BOOST_TEST(valid.settings->evacuateWithin.count() == 2000);
  BOOST_TEST(valid.settings->regionsOfZones.size() == 2U);
  BOOST_TEST(valid.settings->regionsOfZones.at("hall-2") == "east");
  BOOST_TEST(load(kValid, {"--daemon-regions-of-zones="}).settings.has_value());
  for (const char* value :
       {"--daemon-regions-of-zones=hall-1", "--daemon-regions-of-zones==west",
        "--daemon-regions-of-zones=hall-1=", "--daemon-regions-of-zones=hall-1=west,,",
        "--daemon-regions-of-zones=a b=west"}) {
    const LoadResult invalid = load(kValid, {value});
    BOOST_TEST(!invalid.settings.has_value(), value);
    BOOST_TEST(invalid.reason.find("ZONE=REGION") != std::string::npos, value);
  }
}

BOOST_AUTO_TEST_CASE(ReachabilityChecksAreEnabledByDefault) {
  const auto byDefault = load(kValid).settings;
  BOOST_REQUIRE(byDefault);
  BOOST_TEST(byDefault->requireReachableBackend);
  BOOST_TEST(byDefault->detectUnreachableGroups);
  const auto disabled =
      load(kValid, {"--readiness-require-reach=false", "--steering-silent-groups=false"}).settings;
  BOOST_REQUIRE(disabled);
  BOOST_TEST(!disabled->requireReachableBackend);
  BOOST_TEST(!disabled->detectUnreachableGroups);
  const auto fromFile =
      load(std::string(kValid) +
           "[readiness]\nrequire_reach = false\n[steering]\nsilent_groups = false\n")
          .settings;
  BOOST_REQUIRE(fromFile);
  BOOST_TEST(!fromFile->requireReachableBackend);
  BOOST_TEST(!fromFile->detectUnreachableGroups);
  BOOST_TEST(load(kValid, {"--readiness-require-reach=maybe"}).reason.find("true or false") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(AdmissionIsReadAndChecked) {
  const LoadResult result =
      load(std::string(kValid) + "[admission]\norder = \"off\"\nleast_share = 0.2\n");
  BOOST_REQUIRE(result.settings.has_value());
  BOOST_TEST(!result.settings->admission.Enabled);
  BOOST_TEST(result.settings->admission.ReservedShare == 0.2);
  for (const char* value : {"0.6", "-0.1", "nan", "5%", ""}) {
    const LoadResult rejected =
        load(kValid, {(std::string("--admission-least-share=") + value).c_str()});
    BOOST_TEST(!rejected.settings.has_value());
    BOOST_TEST(rejected.reason.find("admission") != std::string::npos);
    BOOST_TEST(rejected.reason.find("a number from 0 to 0.5") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(MissingFieldIsNamed) {
  BOOST_TEST(load("[daemon]\nname = \"x\"\n").reason ==
             "data.listen: missing; set it in the file or by --data-listen (ADDRESS:PORT or "
             "[IPV6]:PORT)");
}

BOOST_AUTO_TEST_CASE(ErrorsDoNotContainTheClusterKey) {
  const std::string reason = load("[cluster]\nkey = \"short\"\n").reason;
  BOOST_TEST(reason == "FILE:2: cluster.key: got a value of 5 bytes; allowed is 16 to 256 bytes");
}

BOOST_AUTO_TEST_CASE(UnknownFlagIsNamed) {
  BOOST_TEST(load(kValid, {"--colour=1"}).reason == "--colour=1: unknown option; see --help");
  BOOST_TEST(load(kValid, {"stray"}).reason == "stray: unexpected argument; see --help");
}

BOOST_AUTO_TEST_CASE(BooleansAreReadAndChecked) {
  BOOST_TEST(load(kValid).settings->loadReports);
  BOOST_TEST(!load(kValid, {"--load-reports=false"}).settings->loadReports);
  const std::string text = std::string(kValid) + "[load]\nreports = ";
  BOOST_TEST(!load(text + "false\n").settings->loadReports);
  BOOST_TEST(load(text + "true\n").settings->loadReports);
  for (const char* value : {"1", "\"yes\""}) {
    const LoadResult result = load(text + value + "\n");
    BOOST_TEST(!result.settings.has_value());
    BOOST_TEST(result.reason.find("allowed is true or false") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(HelpNamesEverySetting) {
  const char* arguments[] = {"cobaltgauged", "--help", nullptr};
  SettingsLoader loader;
  const auto commandLine = loader.parseCommandLine(2, arguments);
  BOOST_TEST_REQUIRE(commandLine.has_value());
  for (const SettingField& field : settingFields()) {
    BOOST_TEST(commandLine->helpText.find("--" + field.flag()) != std::string::npos, field.flag());
  }
}

// Guards against the end of a daemon by a stack overflow, at its start or when it reads its changed
// settings again.
BOOST_AUTO_TEST_CASE(LongDottedKeyIsRefused) {
  std::string key = "a";
  for (int i = 0; i < 200'000; ++i) {
    key += ".a";
  }
  BOOST_TEST(load("[" + key + "]\n").reason == "FILE:1: more than 31 dots without a separator");
  BOOST_TEST(load(key + " = 1\n").reason == "FILE:1: more than 31 dots without a separator");
}

// Guards against messages and log lines as long as the file.
BOOST_AUTO_TEST_CASE(ErrorMessagesAreShort) {
  const std::string longText(900'000, 'x');
  BOOST_TEST(load("[daemon]\nname = \"" + longText + "\"\n").reason.size() < 500U);
  BOOST_TEST(load("[" + longText + "]\na = 1\n").reason.size() < 500U);
  BOOST_TEST(load("[daemon]\n" + longText + " = 1\n").reason.size() < 500U);
  BOOST_TEST(load(std::string(2U << 20U, ' ')).reason == "FILE: more than 1048576 bytes");
}

BOOST_AUTO_TEST_SUITE_END()
