/// Routes that restrict the regions of their backends.
#include <set>

#include "core/token_steering.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::DropReason;

/// Backends 1 to 3 of "web" are in zone "a", 4 in "b", and 5 in a zone without
/// a configured region.
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

  std::set<BackendId> GetUsedBackends(std::uint16_t firstPort)
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

BOOST_AUTO_TEST_CASE(route_without_regions_uses_all_backends)
{
  BOOST_TEST(this->GetUsedBackends(100).size() == 5U);
}

BOOST_AUTO_TEST_CASE(only_backends_in_allowed_regions_get_flows)
{
  this->Allow(2, { "south" });
  BOOST_TEST((this->GetUsedBackends(100) == std::set{ BackendId{ 4 } }));
  // Backend 4 already has 40 flows.
  this->Allow(3, { "north", "south" });
  BOOST_TEST((this->GetUsedBackends(200) ==
              std::set{ BackendId{ 1 }, BackendId{ 2 }, BackendId{ 3 } }));
  this->Allow(4, {});
  BOOST_TEST(this->GetUsedBackends(300).count(BackendId{ 5 }) == 1U);
}

BOOST_AUTO_TEST_CASE(opening_is_dropped_if_no_backend_is_in_an_allowed_region)
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
