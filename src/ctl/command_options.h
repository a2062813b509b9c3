/// @file
/// Command-line options of the operator and test programs, declared in a table and parsed by popt.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::ctl {

/// Default value of a required option.
inline constexpr const char* kRequired = "";
/// Default value of an optional option without a value.
inline constexpr const char* kNone = "-";

struct OptionSpec {
  const char* name;
  const char* documentation;
  const char* defaultValue;
};

/// Parsed options and arguments. Getters print an error and exit if a value is invalid.
class CommandOptions {
 public:
  /// @return nullopt after a usage error, which is printed.
  static std::optional<CommandOptions> parse(const std::string& command,
                                             const std::vector<OptionSpec>& specs, int argc,
                                             const char* const* argv);

  /// @return true if an option with default kNone was specified.
  bool has(const std::string& name) const;
  std::string text(const std::string& name) const;
  std::uint64_t number(const std::string& name) const;
  core::Endpoint endpoint(const std::string& name) const;
  /// @return the positional arguments.
  const std::vector<std::string>& arguments() const { return arguments_; }

 private:
  std::map<std::string, std::string> values_;
  std::vector<std::string> arguments_;
};

}  // namespace cobaltgauge::ctl
