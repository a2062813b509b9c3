/// @file
/// Command lines of the operators' and test programs: flags declared in a table, parsed by popt.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::ctl {

/// Default of an option that must be given.
inline constexpr const char* kRequired = "";
/// Default of an option that may be left out and then has no value.
inline constexpr const char* kNone = "-";

/// One flag with its documentation.
struct OptionSpec {
  const char* name;
  const char* documentation;
  const char* defaultValue;
};

/// Parsed flags and arguments. Getters end the program with an error where a value has the wrong
/// form: a command line has nobody but its user to hand the error to.
class CommandOptions {
 public:
  /// @return nothing after a usage error, which is printed.
  static std::optional<CommandOptions> parse(const std::string& command,
                                             const std::vector<OptionSpec>& specs, int argc,
                                             const char* const* argv);

  /// @return true where an option without default was given.
  bool has(const std::string& name) const;
  std::string text(const std::string& name) const;
  std::uint64_t number(const std::string& name) const;
  core::Endpoint endpoint(const std::string& name) const;
  /// @return what stands on the command line without a flag.
  const std::vector<std::string>& arguments() const { return arguments_; }

 private:
  std::map<std::string, std::string> values_;
  std::vector<std::string> arguments_;
};

}  // namespace cobaltgauge::ctl
