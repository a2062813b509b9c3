#include "core/load/load_figures.h"

namespace cobaltgauge::core {

const char* ToString(OpeningOutcome outcome)
{
  switch (outcome) {
    case OpeningOutcome::kServed:
      return "served";
    case OpeningOutcome::kTurnedAway:
      return "turned_away";
    case OpeningOutcome::kReset:
      return "reset";
    case OpeningOutcome::kSilent:
      return "silent";
  }
  return "invalid";
}

} // namespace cobaltgauge::core
