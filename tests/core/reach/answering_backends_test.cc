#include "core/reach/answering_backends.h"

#include <boost/test/unit_test.hpp>

#include "core/constants.h"
#include "support/core_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using namespace std::chrono_literals;

struct AnsweringFixture
{
  core::AnsweringBackends Backends;
  core::Time Now = 100s;
  core::Endpoint Route = endpoint(90, 1, 443);
  core::Endpoint Backend = endpoint(1, 1, 8000);
};

BOOST_FIXTURE_TEST_SUITE(AnsweringBackendsTest, AnsweringFixture)

BOOST_AUTO_TEST_CASE(an_answer_counts_for_its_own_route)
{
  this->Backends.OnAnswer(this->Route, this->Backend, this->Now);
  BOOST_REQUIRE(this->Backends.Find(this->Route, this->Now).size() == 1U);
  const core::Endpoint other = endpoint(90, 1, 8080);
  BOOST_TEST(this->Backends.Find(other, this->Now).empty());
}

BOOST_AUTO_TEST_CASE(an_answer_is_forgotten_before_the_address_is_used_again)
{
  this->Backends.OnAnswer(this->Route, this->Backend, this->Now);
  this->Now += core::kAnswerProves;
  BOOST_TEST(this->Backends.Find(this->Route, this->Now).empty());
  const core::BackendId id = core::UnregisteredIdOf(this->Backend);
  BOOST_TEST((this->Backends.FindById(id) == this->Backend));
  this->Backends.Expire(this->Now);
  BOOST_TEST(!this->Backends.FindById(id).has_value());
}

BOOST_AUTO_TEST_CASE(what_is_remembered_is_bounded)
{
  for (std::size_t i = 0; i <= core::kMostAnsweringBackends; ++i) {
    const auto port = static_cast<std::uint16_t>(1 + i);
    this->Backends.OnAnswer(this->Route, endpoint(1, 1, port), this->Now);
  }
  BOOST_TEST(this->Backends.Find(this->Route, this->Now).size() ==
             core::kMostAnsweringBackends);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
