/// @file
/// Reads settings from TOML files (toml++) and command-line flags (popt).
#include <popt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>
#include <sstream>

#include "daemon/settings.h"
#include "decoding/excerpt.h"
#include "decoding/file_reader.h"
#include "decoding/toml_parser.h"

namespace cobaltgauge::daemon {
namespace {

/// Option codes returned by popt. Settings have consecutive codes from kFirstFieldOption.
constexpr int kFirstFieldOption = 1000;
constexpr int kCheckOption = 1;
constexpr int kHelpOption = 2;
constexpr int kVersionOption = 3;
constexpr int kFileOption = 4;

const SettingField* findField(std::string_view section, std::string_view key) {
  for (const SettingField& field : settingFields()) {
    if (section == field.section && key == field.key) {
      return &field;
    }
  }
  return nullptr;
}

bool hasSection(std::string_view section) {
  return std::any_of(settingFields().begin(), settingFields().end(),
                     [section](const SettingField& field) { return section == field.section; });
}

/// @param acceptsBoolean whether the field accepts booleans.
/// @return the value as text; nullopt unless it is a string, a number or an accepted boolean.
std::optional<std::string> valueText(const toml::node& node, bool acceptsBoolean) {
  if (const auto text = node.value_exact<std::string>()) {
    return *text;
  }
  if (const auto number = node.value_exact<std::int64_t>()) {
    return std::to_string(*number);
  }
  if (const auto number = node.value_exact<double>()) {
    std::array<char, 32> text{};
    return std::string(text.data(),
                       std::to_chars(text.data(), text.data() + text.size(), *number).ptr);
  }
  const auto boolean = node.value_exact<bool>();
  if (acceptsBoolean && boolean) {
    return *boolean ? "true" : "false";
  }
  return std::nullopt;
}

std::string formatPosition(const std::string& path, const toml::node& node) {
  return path + ":" + std::to_string(node.source().begin.line);
}

std::string helpText() {
  std::ostringstream out;
  out << "usage: cobaltgauged --settings FILE [--check] [FLAGS]\n\n"
         "  --settings FILE   read settings from a TOML file; flags override it\n"
         "  --check           check the settings and exit\n"
         "  --version         print the version and exit\n"
         "  --help            print this help and exit\n\n";
  for (const SettingField& field : settingFields()) {
    out << "  --" << field.flag() << "=VALUE   [" << field.section << "] " << field.key << ": "
        << field.documentation << " (" << field.allowedValues
        << (field.required ? "; required" : "") << ")\n";
  }
  return out.str();
}

std::string invalidValueMessage(const SettingField& field, const std::string& value) {
  // The cluster key must not appear in error messages.
  const bool isSecret = std::string_view(field.key) == "key";
  const std::string shown = isSecret ? "a value of " + std::to_string(value.size()) + " bytes"
                                     : std::string("\"").append(decoding::Excerpt(value)) + "\"";
  return std::string(field.section) + "." + field.key + ": got " + shown + "; allowed is " +
         field.allowedValues;
}

/// @return the missing setting that the steering mode requires, or null.
const char* findMissingForMode(const Settings& settings) {
  if (settings.steering == SteeringMode::kRecorded && settings.fabricReturn == core::Endpoint{}) {
    return "data.fabric_return";
  }
  if (settings.steering == SteeringMode::kToken && settings.readinessListen == core::Endpoint{}) {
    return "readiness.listen";
  }
  return nullptr;
}

struct FreeContext {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

}  // namespace

std::nullopt_t SettingsLoader::fail(std::string reason) {
  lastReason_ = std::move(reason);
  return std::nullopt;
}

std::optional<CommandLine> SettingsLoader::parseCommandLine(int argc, const char* const* argv) {
  const std::vector<SettingField>& fields = settingFields();
  std::vector<std::string> flags;
  flags.reserve(fields.size());
  std::vector<poptOption> options{
      {"settings", 's', POPT_ARG_STRING, nullptr, kFileOption, nullptr, nullptr},
      {"check", 0, POPT_ARG_NONE, nullptr, kCheckOption, nullptr, nullptr},
      {"help", 'h', POPT_ARG_NONE, nullptr, kHelpOption, nullptr, nullptr},
      {"version", 0, POPT_ARG_NONE, nullptr, kVersionOption, nullptr, nullptr}};
  for (std::size_t i = 0; i < fields.size(); ++i) {
    flags.push_back(fields[i].flag());
    options.push_back({flags.back().c_str(), 0, POPT_ARG_STRING, nullptr,
                       kFirstFieldOption + static_cast<int>(i), nullptr, nullptr});
  }
  options.push_back(POPT_TABLEEND);
  const std::unique_ptr<std::remove_pointer_t<poptContext>, FreeContext> context(
      poptGetContext("cobaltgauged", argc, const_cast<const char**>(argv), options.data(), 0));
  CommandLine commandLine;
  commandLine.helpText = helpText();
  int option = 0;
  while ((option = poptGetNextOpt(context.get())) > 0) {
    const std::unique_ptr<char, decltype(&std::free)> argument(poptGetOptArg(context.get()),
                                                               &std::free);
    if (option == kFileOption) {
      commandLine.settingsFile = argument.get();
    } else if (option == kCheckOption) {
      commandLine.checkOnly = true;
    } else if (option == kHelpOption) {
      commandLine.showHelp = true;
    } else if (option == kVersionOption) {
      commandLine.showVersion = true;
    } else {
      const auto index = static_cast<std::size_t>(option - kFirstFieldOption);
      commandLine.overrides.emplace_back(&fields[index], argument.get());
    }
  }
  if (option < -1) {
    return fail(decoding::Excerpt(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " +
                poptStrerror(option) + "; see --help");
  }
  if (const char* argument = poptGetArg(context.get())) {
    return fail(decoding::Excerpt(argument) + ": unexpected argument; see --help");
  }
  return commandLine;
}

bool SettingsLoader::readFile(const std::string& path, Settings& settings,
                              std::vector<std::string>& givenFlags) {
  decoding::FileReader file(decoding::kMaxTomlBytes);
  const std::optional<std::string> text = file.Read(path);
  if (!text) {
    fail(file.GetLastReason());
    return false;
  }
  decoding::TomlParser parser;
  const std::optional<toml::table> root = parser.Parse(*text);
  if (!root) {
    fail(path + ":" + std::to_string(parser.GetLastLine()) + ": " + parser.GetLastReason());
    return false;
  }
  for (const auto& [sectionKey, sectionNode] : *root) {
    const std::string section(sectionKey.str());
    const toml::table* table = sectionNode.as_table();
    if (table == nullptr || !hasSection(section)) {
      fail(formatPosition(path, sectionNode) + ": " + decoding::Excerpt(section) +
           ": unknown section; see --help");
      return false;
    }
    for (const auto& [key, node] : *table) {
      const SettingField* field = findField(section, key.str());
      if (field == nullptr) {
        fail(formatPosition(path, node) + ": " + section + "." + decoding::Excerpt(key.str()) +
             ": unknown field; see --help");
        return false;
      }
      const std::optional<std::string> value = valueText(node, field->isBoolean);
      if (!value || !field->assign(settings, *value)) {
        fail(formatPosition(path, node) + ": " +
             invalidValueMessage(*field, value.value_or("another type")));
        return false;
      }
      givenFlags.push_back(field->flag());
      settings.givenValues[field->flag()] = *value;
    }
  }
  return true;
}

std::optional<Settings> SettingsLoader::load(const CommandLine& commandLine) {
  Settings settings;
  std::vector<std::string> givenFlags;
  if (!commandLine.settingsFile.empty() &&
      !readFile(commandLine.settingsFile, settings, givenFlags)) {
    return std::nullopt;
  }
  for (const auto& [field, value] : commandLine.overrides) {
    if (!field->assign(settings, value)) {
      return fail("--" + field->flag() + ": " + invalidValueMessage(*field, value));
    }
    givenFlags.push_back(field->flag());
    settings.givenValues[field->flag()] = value;
  }
  for (const SettingField& field : settingFields()) {
    const bool isGiven =
        std::find(givenFlags.begin(), givenFlags.end(), field.flag()) != givenFlags.end();
    if (field.required && !isGiven) {
      return fail(std::string(field.section) + "." + field.key +
                  ": missing; set it in the file or by --" + field.flag() + " (" +
                  field.allowedValues + ")");
    }
  }
  if (const char* missing = findMissingForMode(settings)) {
    return fail(std::string(missing) + ": missing; required by steering.mode");
  }
  return settings;
}

}  // namespace cobaltgauge::daemon
