#include "ctl/command_options.h"

#include <popt.h>

#include <charconv>
#include <cstdlib>
#include <iostream>
#include <memory>

#include "net/address.h"

namespace cobaltgauge::ctl {
namespace {

constexpr int kUsageError = 2;

[[noreturn]] void exitWithUsageError(const std::string& name, const std::string& value,
                                     const char* expected) {
  std::cerr << "--" << name << ": got \"" << value << "\", expected " << expected << "\n";
  std::exit(kUsageError);
}

struct FreeContext {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

}  // namespace

std::optional<CommandOptions> CommandOptions::parse(const std::string& command,
                                                    const std::vector<OptionSpec>& specs, int argc,
                                                    const char* const* argv) {
  std::vector<poptOption> table;
  table.reserve(specs.size() + 2);
  int index = 0;
  for (const OptionSpec& spec : specs) {
    table.push_back({spec.name, 0, POPT_ARG_STRING, nullptr, ++index, spec.documentation, "VALUE"});
  }
  table.push_back(
      {nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help options:", nullptr});
  table.push_back(POPT_TABLEEND);
  const std::unique_ptr<std::remove_pointer_t<poptContext>, FreeContext> context(
      poptGetContext(command.c_str(), argc, const_cast<const char**>(argv), table.data(), 0));
  CommandOptions options;
  for (const OptionSpec& spec : specs) {
    options.values_[spec.name] = spec.defaultValue;
  }
  int found = 0;
  while ((found = poptGetNextOpt(context.get())) > 0) {
    const std::unique_ptr<char, decltype(&std::free)> argument(poptGetOptArg(context.get()),
                                                               &std::free);
    options.values_[specs[static_cast<std::size_t>(found - 1)].name] = argument.get();
  }
  if (found < -1) {
    std::cerr << command << ": " << poptBadOption(context.get(), 0) << ": " << poptStrerror(found)
              << "; see --help\n";
    return std::nullopt;
  }
  for (const auto& [name, value] : options.values_) {
    if (value.empty()) {
      std::cerr << command << ": --" << name << " is required; see --help\n";
      return std::nullopt;
    }
  }
  while (const char* argument = poptGetArg(context.get())) {
    options.arguments_.emplace_back(argument);
  }
  return options;
}

bool CommandOptions::has(const std::string& name) const { return values_.at(name) != kNone; }

std::string CommandOptions::text(const std::string& name) const { return values_.at(name); }

std::uint64_t CommandOptions::number(const std::string& name) const {
  const std::string& value = values_.at(name);
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
  if (error != std::errc{} || end != value.data() + value.size()) {
    exitWithUsageError(name, value, "a whole number");
  }
  return number;
}

core::Endpoint CommandOptions::endpoint(const std::string& name) const {
  const std::optional<core::Endpoint> endpoint = net::parseEndpoint(values_.at(name));
  if (!endpoint) {
    exitWithUsageError(name, values_.at(name), "ADDRESS:PORT");
  }
  return *endpoint;
}

}  // namespace cobaltgauge::ctl
