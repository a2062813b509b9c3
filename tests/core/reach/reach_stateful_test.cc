/// Stateful fuzzing of token steering against the oracle of ReachWorld.
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <utility>
#include <vector>

#include "reach_world.h"

namespace cobaltgauge::tests {
namespace {

using Command = std::pair<unsigned, unsigned>;

constexpr int kMostCommands = 400;

rc::Gen<std::vector<Command>> MakeCommands()
{
  const auto command = rc::gen::resize(
    rc::kNominalSize,
    rc::gen::pair(rc::gen::inRange(0U, 1000U), rc::gen::inRange(0U, 10000U)));
  return rc::gen::resize(kMostCommands,
                         rc::gen::container<std::vector<Command>>(command));
}

BOOST_AUTO_TEST_SUITE(ReachStatefulTest)

BOOST_AUTO_TEST_CASE(no_sequence_moves_a_flow_or_opens_one_at_a_stranger)
{
  std::size_t opened = 0;
  std::size_t reached = 0;
  const bool isKept = rc::check("flows stay, openings are the route's", [&] {
    ReachWorld world;
    for (const auto& [command, choice] : *MakeCommands()) {
      world.Do(command, choice);
      if (!world.Broken.empty()) {
        RC_FAIL(world.Broken.front());
      }
    }
    opened += world.Opened;
    reached += world.Reached;
  });
  BOOST_TEST(isKept);
  // The sequences reach what they are about.
  BOOST_TEST(opened > 1000U);
  BOOST_TEST(reached > 100U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
