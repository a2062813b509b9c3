/// @file
/// libFuzzer target: policies; whatever the text, weights are in range or there is a reason.
#include <cstdlib>

#include "policy/policy_evaluator.h"

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cobaltgauge;
  policy::PolicyEvaluator evaluator;
  const auto result = evaluator.evaluate({{reinterpret_cast<const char*>(data), size},
                                          "class",
                                          {{"a", "z", core::BackendState::kActive, 1}}});
  const bool sound = result ? result->weights.size() == 1 &&
                                  result->weights[0] <= policy::kMaxWeight &&
                                  result->priority <= policy::kMaxPriority
                            : !evaluator.lastReason().empty();
  if (!sound) {
    std::abort();
  }
  return 0;
}
