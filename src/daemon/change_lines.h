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
    std::array<std::uint64_t, core::kRegistryEvents> Counts{};  ///< By event.
    core::Revision First = 0;
    core::Revision Last = 0;
    std::string FirstKey;
  };
  using TellOne = std::function<void(const core::ViewChange&)>;
  using TellSum = std::function<void(const Sum&)>;

  /// \param daemon tells this daemon from the others.
  ChangeLines(std::uint64_t daemon, TellOne one, TellSum sum);

  /// \param fleet how many daemons there are; errs high.
  void SetFleet(std::uint32_t fleet) { this->Fleet = fleet; }

  /// Take a change of a back end.
  void Take(const core::ViewChange& change, core::Time now);
  /// Tell what was counted, once a second at most.
  void OnTick(core::Time now);

 private:
  bool IsDrawn(const core::ViewChange& change) const;

  std::uint64_t Daemon;
  TellOne One;
  TellSum All;
  std::uint32_t Fleet = 1;
  core::Time SecondBegan{};
  std::uint32_t Told = 0;  ///< Singly, in this second.
  Sum Counted;
  bool HasCounted = false;
};

}  // namespace cobaltgauge::daemon
