/// Stateful fuzzing of token steering, with TokenSteeringModel as the oracle.
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "support/command_sequences.h"
#include "token_steering_model.h"

namespace cobaltgauge::tests {
namespace {

constexpr int kMaxCommands = 400;

BOOST_AUTO_TEST_SUITE(TokenSteeringStatefulTest)

BOOST_AUTO_TEST_CASE(random_commands_keep_flows_and_their_routes)
{
  std::size_t opened = 0;
  std::size_t resolved = 0;
  const bool holds = rc::check(
    "flows keep their backend; new flows go to backends of their route", [&] {
      TokenSteeringModel model;
      for (const auto& [command, choice] : *makeCommands(kMaxCommands)) {
        model.Execute(command, choice);
        if (!model.Violations.empty()) {
          RC_FAIL(model.Violations.front());
        }
      }
      opened += model.Opened;
      resolved += model.Resolved;
    });
  BOOST_TEST(holds);
  // The sequences cover opened flows and packets without a registration.
  BOOST_TEST(opened > 1000U);
  BOOST_TEST(resolved > 100U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
