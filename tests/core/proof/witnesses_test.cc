#include "core/proof/witnesses.h"

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

  std::vector<core::Endpoint> Choose(std::uint64_t suspect)
  {
    return core::ChooseWitnesses(BackendId{ suspect },
                                 this->Health,
                                 this->steering.backends(),
                                 this->random,
                                 this->now);
  }

  core::Endpoint EndpointOf(std::uint64_t id)
  {
    return this->steering.backends().find(BackendId{ id })->endpoint;
  }

  void Hear(std::uint64_t id)
  {
    this->now += 1ms;
    this->Health.onAnswer(BackendId{ id }, this->now);
  }
};

BOOST_FIXTURE_TEST_SUITE(WitnessesTest, WitnessFixture)

BOOST_AUTO_TEST_CASE(the_last_heard_of_its_zone_and_of_another_are_asked)
{
  for (std::uint8_t id = 11; id <= 14; ++id) {
    this->putBackendInZone("near", id);
    this->Hear(id);
  }
  for (std::uint8_t id = 21; id <= 23; ++id) {
    this->putBackendInZone("far", id);
    this->Hear(id);
  }
  const std::vector<core::Endpoint> expected{ this->EndpointOf(13),
                                              this->EndpointOf(23) };
  BOOST_TEST((this->Choose(14) == expected));
}

BOOST_AUTO_TEST_CASE(one_that_is_silent_itself_is_no_witness)
{
  this->Hear(2);
  this->Hear(3);
  this->Health.onOpening(BackendId{ 3 }, this->now);
  this->now += core::kResponseTimeout + 1ms;
  BOOST_TEST((this->Choose(1).front() == this->EndpointOf(2)));
}

BOOST_AUTO_TEST_CASE(where_none_was_heard_some_are_drawn_and_never_itself)
{
  for (int round = 0; round < 50; ++round) {
    const std::vector<core::Endpoint> chosen = this->Choose(1);
    BOOST_TEST(!chosen.empty());
    BOOST_TEST(std::count(chosen.begin(), chosen.end(), this->EndpointOf(1)) ==
               0);
  }
}

BOOST_AUTO_TEST_CASE(one_that_is_not_registered_has_no_witnesses)
{
  BOOST_TEST(this->Choose(99).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
