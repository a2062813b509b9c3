#include "core/load/load_meter.h"

#include <boost/test/unit_test.hpp>

#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::OpeningOutcome;

struct MeterFixture
{
  core::LoadMeter Meter;
  core::Time Now = 100s;
  core::LoadKey Key{ core::serviceIdOf("web"), core::zoneIdOf("a") };

  static core::FlowFingerprint FlowOf(std::uint64_t client)
  {
    return core::FlowFingerprint{ client };
  }

  core::ZoneLoad Get() const
  {
    const std::vector<core::ZoneLoad> loads = this->Meter.GetLoads(this->Now);
    BOOST_REQUIRE(loads.size() <= 1U);
    return loads.empty() ? core::ZoneLoad{} : loads[0];
  }

  void EndOpening(OpeningOutcome outcome)
  {
    core::OpeningResult result;
    result.Service = this->Key.first;
    result.Zone = this->Key.second;
    result.Outcome = outcome;
    this->Meter.OnOpeningEnded(result, this->Now);
  }

  void Wait(core::Duration span)
  {
    this->Now += span;
    this->Meter.OnTick(this->Now);
  }

  void LearnResponseTime(core::Duration time)
  {
    for (std::size_t i = 0; i < core::kMinResponseSamples; ++i) {
      this->Meter.OnRequest(FlowOf(1), this->Key, this->Now);
      this->Now += time;
      this->Meter.OnResponse(FlowOf(1), this->Now);
    }
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(load_meter_test)

BOOST_FIXTURE_TEST_CASE(requests_are_in_flight_until_their_response,
                        MeterFixture)
{
  this->Meter.OnOpening(FlowOf(1), this->Key, this->Now);
  BOOST_TEST(this->Get().InFlight == 1U);
  this->Meter.OnResponse(FlowOf(1), this->Now);
  BOOST_TEST(this->Get().InFlight == 0U);
  this->Meter.OnRequest(FlowOf(1), this->Key, this->Now);
  this->Meter.OnRequest(FlowOf(1), this->Key, this->Now);
  this->Meter.OnRequest(FlowOf(2), this->Key, this->Now);
  BOOST_TEST(this->Get().InFlight == 2U);
  this->Meter.OnResponse(FlowOf(1), this->Now);
  this->Meter.OnResponse(FlowOf(1), this->Now);
  this->Meter.OnFlowEnded(FlowOf(2));
  BOOST_TEST(this->Get().InFlight == 0U);
}

BOOST_FIXTURE_TEST_CASE(openings_and_rejections_are_counted_for_one_second,
                        MeterFixture)
{
  for (int i = 0; i < 10; ++i) {
    this->Meter.OnOpening(FlowOf(1), this->Key, this->Now);
    this->EndOpening(i % 2 == 0 ? OpeningOutcome::kRejected
                                : OpeningOutcome::kServed);
    this->Wait(100ms);
  }
  this->EndOpening(OpeningOutcome::kReset);
  this->EndOpening(OpeningOutcome::kUnanswered);
  BOOST_TEST(this->Get().OpeningsInSecond >= 8U);
  BOOST_TEST(this->Get().OpeningsInSecond <= 10U);
  BOOST_TEST(this->Get().RejectedInSecond >= 5U);
  BOOST_TEST(this->Get().RejectedInSecond <= 6U);
  this->Wait(1200ms);
  BOOST_TEST(this->Get().OpeningsInSecond == 0U);
  this->Wait(5s);
  BOOST_TEST(this->Meter.GetLoads(this->Now).empty());
}

BOOST_FIXTURE_TEST_CASE(requests_without_response_expire, MeterFixture)
{
  this->Meter.OnOpening(FlowOf(1), this->Key, this->Now);
  this->Meter.OnRequest(FlowOf(2), this->Key, this->Now);
  this->Wait(core::kOpeningTimeout);
  BOOST_TEST(this->Get().InFlight == 1U);
  this->Wait(core::kMaxRequestTimeout);
  BOOST_TEST(this->Get().InFlight == 0U);
  this->Wait(core::kRequestRetention);
  this->Meter.OnResponse(FlowOf(2), this->Now);
  BOOST_TEST(this->Meter.GetLoads(this->Now).empty());
}

BOOST_FIXTURE_TEST_CASE(requests_expire_sooner_when_responses_are_fast,
                        MeterFixture)
{
  this->LearnResponseTime(100ms);
  this->Meter.OnRequest(FlowOf(2), this->Key, this->Now);
  this->Wait(250ms);
  BOOST_TEST(this->Get().InFlight == 1U);
  this->Wait(100ms);
  BOOST_TEST(this->Get().InFlight == 0U);
}

BOOST_FIXTURE_TEST_CASE(slower_responses_extend_the_request_timeout,
                        MeterFixture)
{
  this->LearnResponseTime(40ms);
  for (std::uint64_t client = 2; client < 40; ++client) {
    this->Meter.OnRequest(FlowOf(client), this->Key, this->Now);
    this->Wait(400ms);
    this->Meter.OnResponse(FlowOf(client), this->Now);
  }
  this->Meter.OnRequest(FlowOf(1), this->Key, this->Now);
  this->Wait(600ms);
  BOOST_TEST(this->Get().InFlight == 1U);
}

BOOST_FIXTURE_TEST_CASE(steering_counts_forwarded_requests, TokenFixture)
{
  core::LoadMeter meter;
  this->steering.setLoadMeter(&meter);
  const auto inFlight = [&meter, this] {
    std::uint32_t sum = 0;
    for (const core::ZoneLoad& load : meter.GetLoads(this->now)) {
      sum += load.InFlight;
    }
    return sum;
  };
  const core::BackendId backend = backendOf(this->open(1));
  BOOST_TEST(inFlight() == 1U);
  this->send(1, backend, 1, 0);
  BOOST_TEST(inFlight() == 0U);
  this->send(1, backend, 1, 100);
  BOOST_TEST(inFlight() == 1U);
  this->send(1, backend, 900, 0, 1100);
  BOOST_TEST(inFlight() == 0U);
  this->send(1, backend, 900, 100, 1100);
  core::PacketSummary closing = packet(1, core::PacketKind::kClosing);
  closing.token = core::HashTokenOf(backend);
  this->steering.onPacket(closing, this->now);
  BOOST_TEST(inFlight() == 0U);
  const std::vector<core::ZoneLoad> loads = meter.GetLoads(this->now);
  BOOST_REQUIRE_EQUAL(loads.size(), 1U);
  BOOST_TEST((loads[0].Service == core::serviceIdOf("web")));
  BOOST_TEST((loads[0].Zone == core::zoneIdOf("a")));
  BOOST_TEST(loads[0].OpeningsInSecond == 1U);
}

BOOST_FIXTURE_TEST_CASE(warming_up_and_evacuated_backends_have_no_slots,
                        TokenFixture)
{
  const core::LoadKey key{ core::serviceIdOf("web"), core::zoneIdOf("a") };
  core::BackendRegistry& backends = this->steering.backends();
  BOOST_TEST(backends.countSlots(this->now).at(key) == 6U);
  core::Registration warmingUp = makeRegistration(4, "web", 1, 4);
  warmingUp.remainingWarmUp = 2s;
  this->putBackend(4, warmingUp);
  BOOST_TEST(backends.countSlots(this->now).at(key) == 6U);
  BOOST_TEST(backends.countSlots(this->now + 3s).at(key) == 8U);
  backends.putEvacuation("op/evacuate/a", "a", ++this->revision);
  BOOST_TEST(backends.countSlots(this->now).count(key) == 0U);
  BOOST_TEST(backends.nameOf(key.first) == "web");
  BOOST_TEST(backends.nameOf(key.second) == "a");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cobaltgauge::tests
