/// @file
/// Reads scenario files (TOML). The format is described in docs/SIMULATOR.md.
#pragma once

#include <optional>
#include <string>

#include "sim/scenario.h"

namespace cobaltgauge::sim {

/// Loads and validates scenarios. lastReason() describes the last failure with file, line and
/// field.
class ScenarioLoader {
 public:
  std::optional<Scenario> loadFile(const std::string& path);
  std::optional<Scenario> loadText(const std::string& text, const std::string& name);
  const std::string& lastReason() const { return lastReason_; }

 private:
  std::string lastReason_;
};

/// @return the variant with this name, e.g. "cached_table".
std::optional<Variant> variantFromName(const std::string& name);

inline constexpr std::array<Variant, 4> kAllVariants{Variant::kModulo, Variant::kTable,
                                                     Variant::kCachedTable, Variant::kCobaltgauge};

}  // namespace cobaltgauge::sim
