#include "daemon/view_change_logger.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <vector>

namespace cobaltgauge::tests {
namespace {

using namespace std::chrono_literals;

struct ViewChangeLoggerFixture {
  std::map<std::string, std::size_t> linesByKey;
  std::vector<daemon::ViewChangeLogger::Summary> summaries;
  core::Time now = 100s;

  std::unique_ptr<daemon::ViewChangeLogger> make(std::uint64_t daemon, std::uint32_t fleetSize) {
    auto logger = std::make_unique<daemon::ViewChangeLogger>(
        daemon, [this](const core::ViewChange& change) { ++linesByKey[change.key]; },
        [this](const daemon::ViewChangeLogger::Summary& summary) { summaries.push_back(summary); });
    logger->setFleetSize(fleetSize);
    return logger;
  }

  static core::ViewChange makeRemoval(std::uint64_t id) {
    core::ViewChange change;
    change.key = "servers/" + std::to_string(id);
    change.revision = 1000 + id;
    change.backendEvent = core::RegistryEvent::kRemoved;
    return change;
  }
};

BOOST_FIXTURE_TEST_SUITE(ViewChangeLoggerTest, ViewChangeLoggerFixture)

BOOST_AUTO_TEST_CASE(few_changes_are_logged_individually_without_summary) {
  const auto logger = make(1, 985);
  for (std::uint64_t id = 0; id < 6; ++id) {
    logger->add(makeRemoval(id), now);
  }
  logger->onTick(now + 5s);
  BOOST_TEST(linesByKey.size() == 6U);
  BOOST_TEST(summaries.empty());
}

// Guards against one log line per change when thousands of backends change at once.
BOOST_AUTO_TEST_CASE(many_changes_are_sampled_and_summarized) {
  const auto logger = make(1, 985);
  for (std::uint64_t id = 0; id < 10'000; ++id) {
    logger->add(makeRemoval(id), now);
  }
  logger->onTick(now + 1s);
  BOOST_TEST(linesByKey.size() < 100U);
  BOOST_REQUIRE(summaries.size() == 1U);
  const auto event = static_cast<std::size_t>(core::RegistryEvent::kRemoved);
  BOOST_TEST(summaries[0].counts[event] + linesByKey.size() == 10'000U);
  BOOST_TEST(summaries[0].last == 10'999U);
  logger->onTick(now + 3s);
  BOOST_TEST(summaries.size() == 1U);
}

// Operators search the logs of all daemons for the id of a backend.
BOOST_AUTO_TEST_CASE(most_changes_are_logged_by_some_daemon) {
  constexpr std::uint32_t kFleetSize = 300;
  constexpr std::uint64_t kChanges = 2000;
  for (std::uint64_t daemon = 0; daemon < kFleetSize; ++daemon) {
    const auto logger = make(daemon * 7919, kFleetSize);
    for (std::uint64_t id = 0; id < kChanges; ++id) {
      logger->add(makeRemoval(id), now);
    }
  }
  // With three loggers per change on average, about one change in 20 has none.
  BOOST_TEST(linesByKey.size() > kChanges * 9 / 10);
  std::size_t all = 0;
  for (const auto& [key, count] : linesByKey) {
    all += count;
  }
  BOOST_TEST(all < kChanges * 6);
}

BOOST_AUTO_TEST_CASE(single_daemon_logs_every_change) {
  const auto logger = make(1, 1);
  for (std::uint64_t id = 0; id < 500; ++id) {
    logger->add(makeRemoval(id), now);
  }
  BOOST_TEST(linesByKey.size() == 500U);
}

// Guards against a line for each of many entries of another writer in a small fleet.
BOOST_AUTO_TEST_CASE(without_sampling_the_number_of_lines_is_limited) {
  const auto logger = make(1, 1);
  logger->disableSampling();
  for (std::uint64_t id = 0; id < 3000; ++id) {
    logger->add(makeRemoval(id), now);
  }
  logger->onTick(now + 1s);
  BOOST_TEST(linesByKey.size() == 8U);
  BOOST_REQUIRE(summaries.size() == 1U);
  BOOST_TEST(summaries[0].counts[static_cast<std::size_t>(core::RegistryEvent::kRemoved)] == 2992U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
