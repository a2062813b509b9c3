/// @file
/// libFuzzer target: policy evaluator. The weights must be in range, or a reason must be set.
#include <cstdlib>

#include "policy/policy_evaluator.h"

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cobaltgauge;
  policy::PolicyEvaluator evaluator;
  const auto result = evaluator.evaluate({{reinterpret_cast<const char*>(data), size},
                                          "class",
                                          {{"a", "z", core::BackendState::kActive, 1}}});
  const bool valid = result ? result->weights.size() == 1 &&
                                  result->weights[0] <= policy::kMaxWeight &&
                                  result->priority <= policy::kMaxPriority
                            : !evaluator.lastReason().empty();
  if (!valid) {
    std::abort();
  }
  return 0;
}
