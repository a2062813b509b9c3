#include "core/revision.h"

namespace cobaltgauge::core {

std::string toString(const Revision& revision) {
  const std::string number = std::to_string(revision.number);
  const auto era = static_cast<std::uint64_t>(revision.era);
  return era == 0 ? number : std::to_string(era) + ":" + number;
}

}  // namespace cobaltgauge::core
