/// @file
/// Weighs back ends by the operator's policy program. The program runs when a kind of back end is
/// first seen, never per packet; back ends that differ only in name get one run.
#pragma once

#include <map>
#include <string>
#include <tuple>

#include "core/placement_weights.h"
#include "policy/policy_evaluator.h"

namespace cobaltgauge::daemon {

class PolicyWeights : public core::PlacementWeights {
 public:
  /// @param zone this daemon's; back ends in it are marked `same_zone`.
  explicit PolicyWeights(std::string zone) : zone_(std::move(zone)) {}

  /// Takes a program after a trial run. @return false where it fails; see lastReason(). The program
  /// taken before stays then.
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
