/// Placement of connection attempts while backends are warming up.
#include "core/constants.h"
#include "core/token_steering.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::DropReason;
using core::RefuseReason;

/// A fleet of one daemon, which uses a third of the warm-up rate limit: two of
/// six attempts per second.
struct WarmUpFixture : TokenFixture
{
  static constexpr double kWarmUpRate = 6;

  WarmUpFixture()
  {
    this->steering.setFleetSize(1);
    this->SetWarmUpRate(2, kWarmUpRate);
  }

  void SetWarmUpRate(core::ConfigurationVersion version, double perSecond)
  {
    core::RouteSet set = makeRoutes(version, { { 1, "web" } });
    set.services.push_back({ "web", 5s, perSecond });
    this->steering.routes().offer(set, this->now);
  }

  void PutWarmingUp(std::uint8_t id)
  {
    core::Registration registration = makeRegistration(id, "web", 1, id);
    registration.remainingWarmUp = 5s;
    this->putBackend(id, registration);
  }

  /// Returns how many of the attempts of one second go to backend 4.
  int CountAtBackend4(std::uint16_t firstPort)
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

BOOST_FIXTURE_TEST_SUITE(WarmUpOpeningsTest, WarmUpFixture)

// Guards against all daemons choosing a new backend for its few open flows.
BOOST_AUTO_TEST_CASE(warming_backend_gets_at_most_its_rate)
{
  this->PutWarmingUp(4);
  BOOST_TEST(this->CountAtBackend4(100) == 2);
  this->now += 5s;
  BOOST_TEST(this->CountAtBackend4(200) > 2);
}

BOOST_AUTO_TEST_CASE(without_a_rate_limit_a_warming_backend_gets_its_share)
{
  this->SetWarmUpRate(3, 0);
  this->PutWarmingUp(4);
  BOOST_TEST(this->CountAtBackend4(100) > 4);
}

BOOST_AUTO_TEST_CASE(if_all_backends_warm_up_openings_are_delayed_then_refused)
{
  for (std::uint8_t id = 1; id <= 3; ++id) {
    this->PutWarmingUp(id);
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

// The random sample of candidates may not contain the only warm backend.
BOOST_AUTO_TEST_CASE(single_warm_backend_of_many_is_found)
{
  for (std::uint8_t id = 1; id <= 100; ++id) {
    this->PutWarmingUp(id);
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
