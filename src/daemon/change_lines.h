/// @file
/// Logs changes of back ends, so that their lines stay few where thousands
/// change and each change still has lines of its own somewhere in the fleet.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>

#include "core/view_updater.h"

namespace cobaltgauge::daemon {

/** \class ChangeLines
 * \brief Single lines within an allowance, then a few drawn ones and a sum.
 *
 * A release of 89 back ends a second gave 985 daemons 263,000 lines a second.
 * Beyond the allowance a change is told singly by daemons drawn by its key,
 * kTellersOfChange of the fleet on the mean, so that a search for an id over
 * the logs of all daemons finds it.  All others count it.
 */
class ChangeLines {
 public:
  /// Back ends that changed within a second and were not told singly.
  struct Sum {
    std::array<std::uint64_t, core::kRegistryEvents> counts{};  ///< By event.
    core::Revision first = 0;
    core::Revision last = 0;
    std::string firstKey;
  };
  using TellOne = std::function<void(const core::ViewChange&)>;
  using TellSum = std::function<void(const Sum&)>;

  /// \param daemon tells this daemon from the others.
  ChangeLines(std::uint64_t daemon, TellOne one, TellSum sum);

  /// \param fleet how many daemons there are; errs high.
  void setFleet(std::uint32_t fleet) { fleet_ = fleet; }

  /// Take a change of a back end.
  void take(const core::ViewChange& change, core::Time now);
  /// Tell what was counted, once a second at most.
  void onTick(core::Time now);

 private:
  bool isDrawn(const core::ViewChange& change) const;

  std::uint64_t daemon_;
  TellOne one_;
  TellSum all_;
  std::uint32_t fleet_ = 1;
  core::Time secondBegan_{};
  std::uint32_t told_ = 0;  ///< Singly, in this second.
  Sum counted_;
  bool hasCounted_ = false;
};

}  // namespace cobaltgauge::daemon
