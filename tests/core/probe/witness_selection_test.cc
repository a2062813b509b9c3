#include "core/probe/witness_selection.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "core/constants.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;

struct WitnessFixture : TokenFixture
{
  core::BackendHealth Health;

  std::vector<core::Endpoint> Select(std::uint64_t suspect)
  {
    return core::SelectWitnesses(BackendId{ suspect },
                                 this->Health,
                                 this->steering.backends(),
                                 this->random,
                                 this->now);
  }

  core::Endpoint EndpointOf(std::uint64_t id)
  {
    return this->steering.backends().find(BackendId{ id })->endpoint;
  }

  void RecordResponse(std::uint64_t id)
  {
    this->now += 1ms;
    this->Health.onResponse(BackendId{ id }, this->now);
  }
};

BOOST_FIXTURE_TEST_SUITE(WitnessSelectionTest, WitnessFixture)

BOOST_AUTO_TEST_CASE(
  most_recent_responders_of_same_and_other_zone_are_selected)
{
  for (std::uint8_t id = 11; id <= 14; ++id) {
    this->putBackendInZone("near", id);
    this->RecordResponse(id);
  }
  for (std::uint8_t id = 21; id <= 23; ++id) {
    this->putBackendInZone("far", id);
    this->RecordResponse(id);
  }
  const std::vector<core::Endpoint> expected{ this->EndpointOf(13),
                                              this->EndpointOf(23) };
  BOOST_TEST((this->Select(14) == expected));
}

BOOST_AUTO_TEST_CASE(unresponsive_backend_is_not_selected)
{
  this->RecordResponse(2);
  this->RecordResponse(3);
  this->Health.onOpening(BackendId{ 3 }, this->now);
  this->now += core::kResponseTimeout + 1ms;
  BOOST_TEST((this->Select(1).front() == this->EndpointOf(2)));
}

BOOST_AUTO_TEST_CASE(
  random_backends_except_the_suspect_are_selected_without_responders)
{
  for (int round = 0; round < 50; ++round) {
    const std::vector<core::Endpoint> selected = this->Select(1);
    BOOST_TEST(!selected.empty());
    BOOST_TEST(
      std::count(selected.begin(), selected.end(), this->EndpointOf(1)) == 0);
  }
}

BOOST_AUTO_TEST_CASE(unregistered_suspect_has_no_witnesses)
{
  BOOST_TEST(this->Select(99).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
