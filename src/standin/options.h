/// @file
/// Command lines of the stand-ins: flags declared in a table, parsed by popt.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::standin {

/// One flag with its documentation; an empty default means that it is required.
struct OptionSpec {
  const char* name;
  const char* documentation;
  const char* defaultValue;
};

/// Parsed flags. Getters end the program with an error where a value has the wrong form: a
/// stand-in has nobody to hand the error to.
class Options {
 public:
  /// @return nothing after a usage error, which is printed.
  static std::optional<Options> parse(const std::string& command,
                                      const std::vector<OptionSpec>& specs, int argc,
                                      const char* const* argv);

  std::string text(const std::string& name) const;
  std::uint64_t number(const std::string& name) const;
  core::Endpoint endpoint(const std::string& name) const;

 private:
  std::map<std::string, std::string> values_;
};

}  // namespace cobaltgauge::standin
