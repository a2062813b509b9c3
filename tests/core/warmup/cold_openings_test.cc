/// Where openings go while back ends are cold that bear only few.
#include "core/constants.h"
#include "core/token_steering.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::DropReason;
using core::RefuseReason;

/// One daemon that is all there is; cold back ends bear six openings a second,
/// and two are what it means to use.
struct ColdFixture : TokenFixture
{
  static constexpr double kBears = 6;

  ColdFixture()
  {
    this->steering.setFleetSize(1);
    this->SetBound(2, kBears);
  }

  void SetBound(core::ConfigurationVersion version, double perSecond)
  {
    core::RouteSet set = makeRoutes(version, { { 1, "web" } });
    set.services.push_back({ "web", 5s, perSecond });
    this->steering.routes().offer(set, this->now);
  }

  void PutCold(std::uint8_t id)
  {
    core::Registration registration = makeRegistration(id, "web", 1, id);
    registration.warmUpLeft = 5s;
    this->putBackend(id, registration);
  }

  /// Count openings within a second that go to the back end with number 4.
  int CountAtFourth(std::uint16_t firstPort)
  {
    int count = 0;
    for (std::uint16_t port = firstPort; port < firstPort + 50; ++port) {
      this->now += 20ms;
      const core::Verdict verdict = this->open(port);
      const auto* forward = std::get_if<core::ForwardToBackend>(&verdict);
      count += forward && forward->backend.id == BackendId{ 4 } ? 1 : 0;
    }
    return count;
  }
};

BOOST_FIXTURE_TEST_SUITE(ColdOpeningsTest, ColdFixture)

// It had the fewest open flows, so every daemon chose it at once.
BOOST_AUTO_TEST_CASE(a_cold_back_end_gets_what_it_bears_and_others_the_rest)
{
  this->PutCold(4);
  BOOST_TEST(this->CountAtFourth(100) == 2);
  this->now += 5s;
  BOOST_TEST(this->CountAtFourth(200) > 2);
}

BOOST_AUTO_TEST_CASE(without_a_bound_a_cold_back_end_gets_its_part)
{
  this->SetBound(3, 0);
  this->PutCold(4);
  BOOST_TEST(this->CountAtFourth(100) > 4);
}

BOOST_AUTO_TEST_CASE(where_all_are_cold_openings_wait_and_the_last_is_refused)
{
  for (std::uint8_t id = 1; id <= 3; ++id) {
    this->PutCold(id);
  }
  int placed = 0;
  for (std::uint16_t port = 100; port < 120; ++port) {
    this->now += 20ms;
    const core::Verdict verdict = this->open(port);
    placed += std::holds_alternative<core::ForwardToBackend>(verdict) ? 1 : 0;
  }
  BOOST_TEST(placed == 6);
  BOOST_TEST((dropReasonOf(this->open(200)) == DropReason::kPaced));
  BOOST_TEST(
    (refuseReasonOf(this->open(200, core::kMaxOpeningRetransmissions)) ==
     RefuseReason::kWarmingUp));
  this->now += core::kWarmUpWindow;
  BOOST_TEST(std::holds_alternative<core::ForwardToBackend>(
    this->open(201, core::kMaxOpeningRetransmissions)));
}

// 32 back ends are drawn to be compared; none of them may be the one that is
// warm.
BOOST_AUTO_TEST_CASE(the_one_warm_back_end_of_many_is_found)
{
  for (std::uint8_t id = 1; id <= 100; ++id) {
    this->PutCold(id);
  }
  this->steering.setFleetSize(core::kMaxFleetSize);
  this->putBackend(101, makeRegistration(101, "web", 1, 101));
  for (std::uint16_t port = 100; port < 140; ++port) {
    this->now += 100ms;
    BOOST_TEST(std::holds_alternative<core::ForwardToBackend>(
      this->open(port, core::kMaxOpeningRetransmissions)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
