/// @file
/// Reads scenario files (TOML). The format is described in docs/SIMULATOR.md.
#pragma once

#include <optional>
#include <string>

#include "sim/scenario.h"

namespace cobaltgauge::sim {

/// Reads scenarios; keeps the reason of a failure: file, line, field, value and what is allowed.
class ScenarioLoader {
 public:
  std::optional<Scenario> loadFile(const std::string& path);
  std::optional<Scenario> loadText(const std::string& text, const std::string& name);
  const std::string& lastReason() const { return lastReason_; }

 private:
  std::string lastReason_;
};

/// @return the variant of this name, for instance "cached_table".
std::optional<Variant> variantFromName(const std::string& name);

/// Every variant, baselines first.
inline constexpr std::array<Variant, 4> kAllVariants{Variant::kModulo, Variant::kTable,
                                                     Variant::kCachedTable, Variant::kCobaltgauge};

}  // namespace cobaltgauge::sim
