#include "daemon/change_lines.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <vector>

namespace cobaltgauge::tests {
namespace {

using namespace std::chrono_literals;

struct ChangeLinesFixture {
  std::map<std::string, std::size_t> singles;
  std::vector<daemon::ChangeLines::Sum> sums;
  core::Time now = 100s;

  std::unique_ptr<daemon::ChangeLines> make(std::uint64_t daemon, std::uint32_t fleet) {
    auto lines = std::make_unique<daemon::ChangeLines>(
        daemon, [this](const core::ViewChange& change) { ++singles[change.key]; },
        [this](const daemon::ChangeLines::Sum& sum) { sums.push_back(sum); });
    lines->setFleet(fleet);
    return lines;
  }

  static core::ViewChange vanished(std::uint64_t id) {
    core::ViewChange change;
    change.key = "servers/" + std::to_string(id);
    change.revision = 1000 + id;
    change.backendEvent = core::RegistryEvent::kVanished;
    return change;
  }
};

BOOST_FIXTURE_TEST_SUITE(ChangeLinesTest, ChangeLinesFixture)

BOOST_AUTO_TEST_CASE(few_changes_are_told_singly_and_without_a_sum) {
  const auto lines = make(1, 985);
  for (std::uint64_t id = 0; id < 6; ++id) {
    lines->take(vanished(id), now);
  }
  lines->onTick(now + 5s);
  BOOST_TEST(singles.size() == 6U);
  BOOST_TEST(sums.empty());
}

// 985 daemons wrote ten million lines at a start and at each lapse.
BOOST_AUTO_TEST_CASE(ten_thousand_changes_give_few_lines_that_add_up) {
  const auto lines = make(1, 985);
  for (std::uint64_t id = 0; id < 10'000; ++id) {
    lines->take(vanished(id), now);
  }
  lines->onTick(now + 1s);
  BOOST_TEST(singles.size() < 100U);
  BOOST_REQUIRE(sums.size() == 1U);
  const auto event = static_cast<std::size_t>(core::RegistryEvent::kVanished);
  BOOST_TEST(sums[0].counts[event] + singles.size() == 10'000U);
  BOOST_TEST(sums[0].last == 10'999U);
  lines->onTick(now + 3s);
  BOOST_TEST(sums.size() == 1U);
}

// An operator searches an id over the logs of the fleet.
BOOST_AUTO_TEST_CASE(every_change_is_told_singly_somewhere) {
  constexpr std::uint32_t kFleet = 300;
  constexpr std::uint64_t kChanges = 2000;
  for (std::uint64_t daemon = 0; daemon < kFleet; ++daemon) {
    const auto lines = make(daemon * 7919, kFleet);
    for (std::uint64_t id = 0; id < kChanges; ++id) {
      lines->take(vanished(id), now);
    }
  }
  // With three of 300 drawn on the mean, one change in 20 has none by chance.
  BOOST_TEST(singles.size() > kChanges * 9 / 10);
  std::size_t all = 0;
  for (const auto& [key, count] : singles) {
    all += count;
  }
  BOOST_TEST(all < kChanges * 6);
}

BOOST_AUTO_TEST_CASE(a_lone_daemon_tells_everything_singly) {
  const auto lines = make(1, 1);
  for (std::uint64_t id = 0; id < 500; ++id) {
    lines->take(vanished(id), now);
  }
  BOOST_TEST(singles.size() == 500U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
