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

BOOST_AUTO_TEST_CASE(lease_expires_unless_renewed)
{
  core::FollowerLeases leases(endpoint(9, 250, 7720));
  BOOST_TEST(leases.Grant(Follower(1), 1, 100s));
  BOOST_TEST(leases.Grant(Follower(2), 1, 100s));
  BOOST_TEST(leases.Grant(Follower(2), 1, 102s));
  leases.Expire(100s + core::kSubscriptionLease);
  BOOST_TEST((leases.List() == std::vector{ Follower(2) }));
}

BOOST_AUTO_TEST_CASE(full_list_only_renews_existing_leases)
{
  core::FollowerLeases leases(endpoint(9, 250, 7720));
  for (std::size_t i = 1; i <= core::kMaxFollowers; ++i) {
    BOOST_TEST(leases.Grant(Follower(i), 1, 100s));
  }
  BOOST_TEST(!leases.Grant(Follower(200), 1, 100s));
  BOOST_TEST(leases.Grant(Follower(1), 1, 100s));
  BOOST_TEST(leases.Count() == core::kMaxFollowers);
}

BOOST_AUTO_TEST_CASE(referrals_exclude_the_requester)
{
  core::FollowerLeases leases(endpoint(9, 250, 7720));
  for (std::size_t i = 1; i <= 2 * core::kAdvertisedPeers; ++i) {
    leases.Grant(Follower(i), 1, 100s);
  }
  const std::vector<core::Endpoint> referrals =
    leases.SelectReferrals(Follower(1));
  BOOST_TEST(referrals.size() == core::kAdvertisedPeers);
  BOOST_TEST((std::find(referrals.begin(), referrals.end(), Follower(1)) ==
              referrals.end()));
}

// Guards against each change crossing between zones once per daemon.
BOOST_AUTO_TEST_CASE(followers_from_a_remote_network_are_limited)
{
  core::FollowerLeases leases(endpoint(9, 250, 7720));
  const auto remote = [](std::size_t number) {
    return endpoint(7, static_cast<std::uint8_t>(number), 7720);
  };
  for (std::size_t i = 1; i <= core::kMaxRemoteFollowers; ++i) {
    BOOST_TEST(leases.Grant(remote(i), 1, 100s));
  }
  BOOST_TEST(!leases.Grant(remote(100), 1, 100s));
  // Renewals, the local network and other remote networks are not limited.
  BOOST_TEST(leases.Grant(remote(1), 1, 100s));
  BOOST_TEST(leases.Grant(Follower(1), 1, 100s));
  BOOST_TEST(leases.Grant(endpoint(5, 1, 7720), 1, 100s));
  const std::vector<core::Endpoint> referrals =
    leases.SelectReferrals(remote(100));
  BOOST_REQUIRE(referrals.size() >= core::kMaxRemoteFollowers);
  for (std::size_t i = 0; i < core::kMaxRemoteFollowers; ++i) {
    BOOST_TEST((referrals[i] == remote(i + 1)));
  }
  leases.Expire(100s + core::kSubscriptionLease);
  BOOST_TEST(leases.Grant(remote(100), 1, 105s));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
