/// @file
/// Placement weights computed by the operator's policy program. Results are cached by the
/// attributes that the program receives, so that it does not run per packet.
#pragma once

#include <map>
#include <string>
#include <tuple>

#include "core/placement_weights.h"
#include "policy/policy_evaluator.h"

namespace cobaltgauge::daemon {

class PolicyWeights : public core::PlacementWeights {
 public:
  /// @param zone zone of this daemon; the program sees backends in it as `same_zone`.
  explicit PolicyWeights(std::string zone) : zone_(std::move(zone)) {}

  /// Replaces the program after a successful trial run.
  /// @return false if the trial run fails; the previous program stays active. See lastReason().
  bool load(const std::string& source);
  const std::string& lastReason() const { return evaluator_.lastReason(); }

  std::uint32_t weightOf(const core::Registration& registration) override;

 private:
  /// Service, zone, software version and capacity.
  using BackendAttributes = std::tuple<std::string, std::string, std::string, std::uint32_t>;

  std::optional<std::uint32_t> evaluate(const std::string& source,
                                        const core::Registration& registration);

  std::string zone_;
  std::string source_;
  policy::PolicyEvaluator evaluator_;
  std::map<BackendAttributes, std::uint32_t> weights_;
};

}  // namespace cobaltgauge::daemon
