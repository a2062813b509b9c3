/// Routes that name the regions of their back ends.
#include <set>

#include "core/token_steering.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::DropReason;

/// Back ends 1 to 3 of "web" in zone "a", 4 in "b", 5 in a zone that the
/// settings do not name.
struct RegionsFixture : TokenFixture
{
  RegionsFixture()
  {
    this->steering.backends().setRegions(
      { { "a", "north" }, { "b", "south" } });
    this->putBackendInZone("b", 4);
    this->putBackendInZone("c", 5);
  }

  void Allow(core::ConfigurationVersion version,
             const std::vector<std::string>& regions)
  {
    core::RouteSet set = makeRoutes(version, { { 1, "web" } });
    set.routes[0].allowedRegions = regions;
    this->steering.routes().offer(set, this->now);
  }

  std::set<BackendId> Used(std::uint16_t firstPort)
  {
    std::set<BackendId> used;
    for (std::uint16_t port = firstPort; port < firstPort + 40; ++port) {
      this->now += 100ms;
      used.insert(this->establishFlow(port));
    }
    return used;
  }
};

BOOST_FIXTURE_TEST_SUITE(AllowedRegionsTest, RegionsFixture)

BOOST_AUTO_TEST_CASE(a_route_without_regions_uses_all)
{
  BOOST_TEST(this->Used(100).size() == 5U);
}

BOOST_AUTO_TEST_CASE(only_back_ends_in_a_routes_regions_get_its_flows)
{
  this->Allow(2, { "south" });
  BOOST_TEST((this->Used(100) == std::set{ BackendId{ 4 } }));
  // The one in the south has 40 flows by now.
  this->Allow(3, { "north", "south" });
  BOOST_TEST((this->Used(200) ==
              std::set{ BackendId{ 1 }, BackendId{ 2 }, BackendId{ 3 } }));
  this->Allow(4, {});
  BOOST_TEST(this->Used(300).count(BackendId{ 5 }) == 1U);
}

BOOST_AUTO_TEST_CASE(without_any_there_an_opening_is_not_sent_elsewhere)
{
  this->Allow(2, { "west" });
  BOOST_TEST((dropReasonOf(this->open(100)) == DropReason::kEmptyService));
  for (std::uint64_t id = 1; id <= 5; ++id) {
    this->steering.backends().remove(keyOf(id), ++this->revision, this->now);
  }
  BOOST_TEST((dropReasonOf(this->open(101)) == DropReason::kEmptyService));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
