#include "core/relay/follower_leases.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "core/constants.h"
#include "support/core_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using namespace std::chrono_literals;

core::Endpoint Follower(std::size_t number)
{
  return endpoint(9, static_cast<std::uint8_t>(number), 7720);
}

BOOST_AUTO_TEST_SUITE(FollowerLeasesTest)

BOOST_AUTO_TEST_CASE(a_lease_ends_unless_it_is_renewed)
{
  core::FollowerLeases leases(endpoint(9, 250, 7720));
  BOOST_TEST(leases.Grant(Follower(1), 1, 100s));
  BOOST_TEST(leases.Grant(Follower(2), 1, 100s));
  BOOST_TEST(leases.Grant(Follower(2), 1, 102s));
  leases.Expire(100s + core::kSubscriptionLease);
  BOOST_TEST((leases.List() == std::vector{ Follower(2) }));
}

BOOST_AUTO_TEST_CASE(a_full_list_takes_only_those_it_has)
{
  core::FollowerLeases leases(endpoint(9, 250, 7720));
  for (std::size_t i = 1; i <= core::kMaxFollowers; ++i) {
    BOOST_TEST(leases.Grant(Follower(i), 1, 100s));
  }
  BOOST_TEST(!leases.Grant(Follower(200), 1, 100s));
  BOOST_TEST(leases.Grant(Follower(1), 1, 100s));
  BOOST_TEST(leases.Count() == core::kMaxFollowers);
}

BOOST_AUTO_TEST_CASE(some_others_are_named)
{
  core::FollowerLeases leases(endpoint(9, 250, 7720));
  for (std::size_t i = 1; i <= 2 * core::kAdvertisedPeers; ++i) {
    leases.Grant(Follower(i), 1, 100s);
  }
  const std::vector<core::Endpoint> named = leases.NameSome(Follower(1));
  BOOST_TEST(named.size() == core::kAdvertisedPeers);
  BOOST_TEST(
    (std::find(named.begin(), named.end(), Follower(1)) == named.end()));
}

// 295 daemons in five zones followed three seeds and each other at random:
// each change crossed between zones 240 times.
BOOST_AUTO_TEST_CASE(few_follow_from_another_network_and_the_rest_follow_those)
{
  core::FollowerLeases leases(endpoint(9, 250, 7720));
  const auto far = [](std::size_t number) {
    return endpoint(7, static_cast<std::uint8_t>(number), 7720);
  };
  for (std::size_t i = 1; i <= core::kMaxRemoteFollowers; ++i) {
    BOOST_TEST(leases.Grant(far(i), 1, 100s));
  }
  BOOST_TEST(!leases.Grant(far(100), 1, 100s));
  // A renewal, its own network and yet another one are not concerned.
  BOOST_TEST(leases.Grant(far(1), 1, 100s));
  BOOST_TEST(leases.Grant(Follower(1), 1, 100s));
  BOOST_TEST(leases.Grant(endpoint(5, 1, 7720), 1, 100s));
  const std::vector<core::Endpoint> named = leases.NameSome(far(100));
  BOOST_REQUIRE(named.size() >= core::kMaxRemoteFollowers);
  for (std::size_t i = 0; i < core::kMaxRemoteFollowers; ++i) {
    BOOST_TEST((named[i] == far(i + 1)));
  }
  leases.Expire(100s + core::kSubscriptionLease);
  BOOST_TEST(leases.Grant(far(100), 1, 105s));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
