#include "core/load/load_statistics.h"

namespace cobaltgauge::core {

const char* ToString(OpeningOutcome outcome)
{
  switch (outcome) {
    case OpeningOutcome::kServed:
      return "served";
    case OpeningOutcome::kRejected:
      return "turned_away";
    case OpeningOutcome::kReset:
      return "reset";
    case OpeningOutcome::kUnanswered:
      return "silent";
  }
  return "invalid";
}

} // namespace cobaltgauge::core
